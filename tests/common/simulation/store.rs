//! The simulated key-value store, and the faults between it and a controller.

use super::*;

/// Purpose of a store request, which decides what follows its response.
#[derive(Clone, Debug)]
pub(super) enum RequestPurpose {
    Load,
    Read,
    Poll(String),
    Grant,
    Elect(u64),
    Renew(u64),
    Revoke,
    Write(RecordKind, Term),
    Submit(String),
    CancelRead(String),
    Cancel(String),
    Probe,
}

#[derive(Clone, Debug)]
pub(super) enum StoreRequest {
    Load,
    Read(u64),
    Grant,
    Renew(u64),
    Revoke(u64),
    Commit(Transaction),
}

#[derive(Clone, Debug)]
pub(super) enum StoreResponse {
    Rows(Vec<KeyValue>, u64),
    Events(Vec<WatchEvent>, u64),
    Lease(u64),
    Acknowledged,
    LeaseExpired,
    TransactionOutcome(TransactionOutcome),
    Failed(StoreError),
}

impl StoreResponse {
    pub(super) fn failure(&self) -> Option<&StoreError> {
        match self {
            Self::Failed(error) | Self::TransactionOutcome(TransactionOutcome::Failed(error)) => {
                Some(error)
            }
            _ => None,
        }
    }
}

#[derive(Default)]
pub(super) struct Store {
    pub(super) revision: u64,
    /// Value, version and lease, by key.
    pub(super) keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    /// All changes, with their revisions.
    pub(super) events: Vec<(u64, WatchEvent)>,
    /// Expiry times, by lease.
    pub(super) leases: BTreeMap<u64, f64>,
    pub(super) next_lease: u64,
}

impl Store {
    pub(super) fn expire(&mut self, now_s: f64) {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, until)| **until < now_s)
            .map(|(id, _)| *id)
            .collect();
        expired.iter().for_each(|id| self.revoke(*id));
    }

    pub(super) fn revoke(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let attached = self.keys.iter().filter(|(_, entry)| entry.2 == Some(lease));
        let attached: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        if attached.is_empty() {
            return;
        }
        self.revision += 1;
        for key in attached {
            self.apply_change(&Change::delete(key));
        }
    }

    pub(super) fn apply_change(&mut self, change: &Change) {
        let version = self.revision;
        let event = match change {
            Change::Put { key, value, lease } => {
                self.keys
                    .insert(key.clone(), (value.clone(), version, *lease));
                WatchEvent {
                    put_key: Some(key.clone()),
                    deleted_key: None,
                    value: Some(value.clone()),
                    version,
                }
            }
            Change::Delete { key } => {
                if self.keys.remove(key).is_none() {
                    return;
                }
                WatchEvent {
                    put_key: None,
                    deleted_key: Some(key.clone()),
                    value: None,
                    version,
                }
            }
        };
        self.events.push((version, event));
    }

    pub(super) fn commit(&mut self, transaction: &Transaction) -> TransactionOutcome {
        let failed: Vec<String> = transaction
            .conditions
            .iter()
            .filter(|c| self.keys.get(&c.key).map_or(0, |entry| entry.1) != c.version)
            .map(|condition| condition.key.clone())
            .collect();
        let revision = self.revision;
        if !failed.is_empty() {
            return TransactionOutcome::Conflict { failed, revision };
        }
        let leases = transaction
            .changes
            .iter()
            .filter_map(|change| match change {
                Change::Put { lease, .. } => *lease,
                Change::Delete { .. } => None,
            });
        if leases
            .into_iter()
            .any(|lease| !self.leases.contains_key(&lease))
        {
            return TransactionOutcome::Failed(StoreError::LeaseExpired);
        }
        self.revision += 1;
        transaction
            .changes
            .iter()
            .for_each(|change| self.apply_change(change));
        TransactionOutcome::Committed(self.revision)
    }
}

impl Simulation {
    pub(super) fn send_store_request(
        &mut self,
        index: usize,
        request: StoreRequest,
        purpose: RequestPurpose,
    ) {
        let incarnation = self.controllers[index].incarnation;
        let sent_s = self.now_s;
        self.send(Message::ToStore(
            index,
            incarnation,
            request,
            purpose,
            sent_s,
        ));
    }

    pub(super) fn handle_store_request(
        &mut self,
        index: usize,
        incarnation: u64,
        request: StoreRequest,
        purpose: RequestPurpose,
        sent_s: f64,
    ) {
        let refused = self
            .refused
            .is_some_and(|(affected, until)| affected == index && self.now_s < until);
        let read_lost = self
            .reads_lost
            .is_some_and(|(affected, until)| affected == index && self.now_s < until);
        if read_lost && matches!(request, StoreRequest::Load | StoreRequest::Read(_)) {
            let remaining_s = (sent_s + STORE_TIMEOUT_S - self.now_s).max(0.0);
            let unknown = StoreResponse::Failed(StoreError::OutcomeUnknown);
            self.deliver_after(
                remaining_s,
                Message::FromStore(index, incarnation, unknown, purpose, sent_s),
            );
            return;
        }
        if let Some(unknown) = self.apply_store_link_fault(index, &request) {
            let remaining_s = (sent_s + STORE_TIMEOUT_S - self.now_s).max(0.0);
            self.deliver_after(
                remaining_s,
                Message::FromStore(index, incarnation, unknown, purpose, sent_s),
            );
            return;
        }
        let has_changes = matches!(&request, StoreRequest::Commit(transaction) if !transaction.changes.is_empty());
        let write_refused = has_changes && self.now_s < self.writes_refused_until;
        let response = if self.now_s < self.store_out_until || refused || write_refused {
            StoreResponse::Failed(StoreError::Refused(503))
        } else {
            self.store.expire(self.now_s);
            if let StoreRequest::Commit(transaction) = &request {
                if self.loses_response(transaction) {
                    let remaining_s = (sent_s + STORE_TIMEOUT_S - self.now_s).max(0.0);
                    let unknown = StoreResponse::Failed(StoreError::OutcomeUnknown);
                    self.deliver_after(
                        remaining_s,
                        Message::FromStore(index, incarnation, unknown, purpose, sent_s),
                    );
                    return;
                }
            }
            self.execute_store_request(request)
        };
        let mut after = self.draw_latency();
        let (delay_max_s, until) = self.store_delay;
        if self.now_s < until {
            after += self.rng.random_range(0.0..delay_max_s);
        }
        // A response after the timeout counts as missing.
        let remaining_s = (sent_s + STORE_TIMEOUT_S - self.now_s).max(0.0);
        if after > remaining_s {
            let unknown = StoreResponse::Failed(StoreError::OutcomeUnknown);
            self.deliver_after(
                remaining_s,
                Message::FromStore(index, incarnation, unknown, purpose, sent_s),
            );
        } else {
            self.deliver_after(
                after,
                Message::FromStore(index, incarnation, response, purpose, sent_s),
            );
        }
    }

    /// Whether a transaction gets no response; in that case it is applied here or scheduled for later.
    fn loses_response(&mut self, transaction: &Transaction) -> bool {
        let (share, at_once, until) = self.late_writes;
        if self.now_s >= until || !self.rng.random_bool(share) {
            return false;
        }
        if at_once {
            self.store.commit(transaction);
        } else {
            let after = self.rng.random_range(2.0..12.0);
            self.deliver_after(after, Message::LateWrite(transaction.clone()));
        }
        true
    }

    pub(super) fn execute_store_request(&mut self, request: StoreRequest) -> StoreResponse {
        match request {
            StoreRequest::Load => {
                let rows = self
                    .store
                    .keys
                    .iter()
                    .map(|(key, (value, version, _))| KeyValue {
                        key: key.clone(),
                        value: value.clone(),
                        version: *version,
                    });
                StoreResponse::Rows(rows.collect(), self.store.revision)
            }
            StoreRequest::Read(after) => {
                let newer = self
                    .store
                    .events
                    .iter()
                    .filter(|(revision, _)| *revision > after);
                let newer = newer.map(|(_, event)| event.clone()).collect();
                StoreResponse::Events(newer, self.store.revision)
            }
            StoreRequest::Grant => {
                self.store.next_lease += 1;
                let id = self.store.next_lease;
                self.store
                    .leases
                    .insert(id, self.now_s + LEADER_LEASE_MIN.as_secs_f64());
                StoreResponse::Lease(id)
            }
            StoreRequest::Renew(id) => match self.store.leases.get_mut(&id) {
                Some(until) => {
                    *until = self.now_s + LEADER_LEASE_MIN.as_secs_f64();
                    StoreResponse::Acknowledged
                }
                None => StoreResponse::LeaseExpired,
            },
            StoreRequest::Revoke(id) => {
                self.store.revoke(id);
                StoreResponse::Acknowledged
            }
            StoreRequest::Commit(transaction) => {
                StoreResponse::TransactionOutcome(self.store.commit(&transaction))
            }
        }
    }
}
