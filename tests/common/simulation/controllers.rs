//! The simulated controllers: production state and logic, driven by the simulation instead of actors.

use super::*;

pub(super) struct Controller {
    pub(super) name: String,
    pub(super) shared: Arc<Shared>,
    /// Number of the process: a restart increments it.
    pub(super) incarnation: u64,
    pub(super) is_running: bool,
    pub(super) restart_at: f64,
    /// Time until which the process is paused.
    pub(super) paused_until: f64,
    pub(super) replica_loaded: bool,
    /// Whether a read of the store has no response yet.
    pub(super) reading: bool,
    pub(super) next_read_at: f64,
    pub(super) next_election_at: f64,
    /// Whether the grant of a lease or an election transaction has no response yet.
    pub(super) electing: bool,
    /// Whether a lease renewal has no response yet.
    pub(super) renewing: bool,
    pub(super) next_cycle_at: f64,
    /// Term of the last scheduling cycle, and the time by which the next one is due.
    pub(super) cycle_due: Option<(Term, f64)>,
    /// Time until which no records are written, after a failed write.
    pub(super) writes_paused_until: f64,
    pub(super) next_fleet_step_at: f64,
    pub(super) unmet_demand: Vec<UnmetDemand>,
    pub(super) requests: OutstandingRequests,
    /// Requests to the cloud that have no outcome yet.
    pub(super) cloud_responses_awaited: usize,
    pub(super) capacity_backoff: CapacityBackoff,
    /// Messages that arrived while the process was paused.
    pub(super) held_messages: Vec<Message>,
    pub(super) forwarding_state: ForwardingState,
    pub(super) links: ControllerLinks,
}

impl Simulation {
    pub(super) fn new_controller(&self, number: usize, incarnation: u64) -> Controller {
        let mut settings = self.settings.clone();
        settings.member = format!("knot-{number}");
        let others = (0..3).filter(|other| *other != number);
        settings.peers = others
            .map(|other| Peer {
                member: format!("knot-{other}"),
                zone: "north".to_owned(),
                peer_addr: "127.0.0.1:9".parse().unwrap(),
            })
            .collect();
        let shared = Shared::with_features(settings, self.features());
        *shared.catalog.lock() = Some(Arc::new(machine_types()));
        Controller {
            name: format!("knot-{number}"),
            shared,
            incarnation,
            is_running: true,
            restart_at: 0.0,
            paused_until: 0.0,
            replica_loaded: false,
            reading: false,
            next_read_at: self.now_s,
            next_election_at: self.now_s,
            electing: false,
            renewing: false,
            next_cycle_at: self.now_s,
            cycle_due: None,
            writes_paused_until: 0.0,
            next_fleet_step_at: self.now_s + 1.0,
            unmet_demand: Vec::new(),
            requests: OutstandingRequests::default(),
            cloud_responses_awaited: 0,
            capacity_backoff: CapacityBackoff::default(),
            held_messages: Vec::new(),
            forwarding_state: ForwardingState::default(),
            links: ControllerLinks::default(),
        }
    }

    pub(super) fn handle_store_response(
        &mut self,
        index: usize,
        response: StoreResponse,
        purpose: RequestPurpose,
        sent_s: f64,
    ) {
        let (now, wall_clock) = (self.instant(), self.wall_clock_of(index));
        let sent_at = self.started_at + Duration::from_secs_f64(sent_s);
        let shared = self.controllers[index].shared.clone();
        let error = response.failure().cloned();
        if error.as_ref().is_some_and(StoreError::shows_outage) {
            shared.election.lock().freshness().invalidate(now);
        }
        self.record_store_outcome(index, &purpose, error.as_ref(), sent_s);
        match (&purpose, response) {
            (RequestPurpose::Load, StoreResponse::Rows(rows, revision)) => {
                let changes = shared.replica.lock().load(rows, revision);
                shared.replica_changed_at(&changes, now, wall_clock);
                shared.replica_complete(sent_at);
                self.controllers[index].replica_loaded = true;
            }
            (
                RequestPurpose::Read | RequestPurpose::Poll(_) | RequestPurpose::CancelRead(_),
                StoreResponse::Events(events, revision),
            ) => {
                let changes = shared.replica.lock().apply(&events, revision);
                shared.replica_changed_at(&changes, now, wall_clock);
                shared.replica_complete(sent_at);
            }
            (RequestPurpose::Grant, StoreResponse::Lease(id)) => {
                shared.election.lock().hold_lease(id, sent_at);
                self.send_election(index, id);
                return;
            }
            (RequestPurpose::Renew(id), StoreResponse::Acknowledged) => {
                shared.election.lock().lease_renewed(*id, sent_at)
            }
            (RequestPurpose::Renew(_), StoreResponse::LeaseExpired) => self.step_down(index),
            (RequestPurpose::Write(kind, term), StoreResponse::TransactionOutcome(outcome)) => {
                self.apply_write_outcome(index, kind, *term, &outcome);
            }
            (RequestPurpose::Write(kind, term), StoreResponse::Failed(error)) => {
                self.apply_write_outcome(index, kind, *term, &TransactionOutcome::Failed(error));
            }
            (
                RequestPurpose::Submit(id),
                StoreResponse::TransactionOutcome(TransactionOutcome::Committed(_)),
            ) => {
                // The verdict is checked only against those observed before the request was sent: another
                // user may observe a later verdict before this response arrives.
                self.observe_verdict(id, sent_s, Some(Verdict::Accepted));
            }
            (
                RequestPurpose::Submit(id),
                StoreResponse::TransactionOutcome(TransactionOutcome::Conflict { .. }),
            ) => self.poll(id),
            (
                RequestPurpose::Cancel(id),
                StoreResponse::TransactionOutcome(TransactionOutcome::Committed(_)),
            ) => {
                self.notify_cancellation(index, id);
                self.observe_verdict(id, sent_s, Some(Verdict::Cancelled));
            }
            _ => {}
        }
        self.finish_store_request(index, purpose, error.is_none(), sent_s);
    }

    /// Notifies the other controllers of a recorded cancellation.
    fn notify_cancellation(&mut self, index: usize, id: &str) {
        let shared = self.controllers[index].shared.clone();
        let job = JobId::parse(id).unwrap();
        shared.cancellation_recorded(&job);
        let jobs = shared.cancellations.take();
        let peers_refuse = self.peers_refuse_connections;
        for peer in (0..3).filter(|peer| *peer != index && !peers_refuse) {
            self.send(Message::Cancellation(peer, jobs.clone()));
        }
    }

    /// Marks a store request as finished, and continues the user requests that needed a fresh read.
    fn finish_store_request(
        &mut self,
        index: usize,
        purpose: RequestPurpose,
        succeeded: bool,
        sent_s: f64,
    ) {
        let shared = self.controllers[index].shared.clone();
        match purpose {
            RequestPurpose::Load | RequestPurpose::Read => self.controllers[index].reading = false,
            RequestPurpose::Renew(_) => self.controllers[index].renewing = false,
            RequestPurpose::Grant | RequestPurpose::Elect(_) => {
                self.controllers[index].electing = false;
                self.controllers[index].next_election_at =
                    self.now_s + self.rng.random_range(0.15..0.3);
            }
            RequestPurpose::Poll(id) if succeeded => {
                let verdict = shared.replica.lock().verdict(&JobId::parse(&id).unwrap());
                let verdict = known_verdict(verdict);
                self.observe_verdict(&id, sent_s, verdict);
            }
            RequestPurpose::CancelRead(id) if succeeded => {
                let verdict = shared.replica.lock().verdict(&JobId::parse(&id).unwrap());
                self.handle_cancel_read(index, id, known_verdict(verdict), sent_s);
            }
            _ => {}
        }
    }

    /// Passes the verdict that was read to the handler of the cancellation, which may be delayed.
    fn handle_cancel_read(&mut self, index: usize, id: String, read: Option<Verdict>, sent_s: f64) {
        let (delay_max_s, until) = self.handler_delay;
        if self.now_s >= until {
            self.commit_cancel(index, &id, read, sent_s);
            return;
        }
        let delay_s = self.rng.random_range(0.0..delay_max_s);
        let incarnation = self.controllers[index].incarnation;
        let resumed = Message::ResumedCancellation(index, incarnation, id, read, sent_s);
        self.deliver_after(delay_s, resumed);
    }

    /// Continues a cancellation whose read showed `read`, possibly some time after the read.
    pub(super) fn commit_cancel(
        &mut self,
        index: usize,
        id: &str,
        read: Option<Verdict>,
        sent_s: f64,
    ) {
        if read != Some(Verdict::Accepted) {
            self.observe_verdict(id, sent_s, read);
            return;
        }
        let job = JobId::parse(id).unwrap();
        let shared = self.controllers[index].shared.clone();
        let plan = cancellation::plan(&shared.replica.lock(), &job);
        match plan {
            CancellationPlan::Write(write) => self.send_store_request(
                index,
                StoreRequest::Commit(write.transaction(&job)),
                RequestPurpose::Cancel(id.to_owned()),
            ),
            CancellationPlan::AlreadyFinal(found) => {
                self.observe_verdict(id, sent_s, Some(found.verdict));
            }
            // The user repeats the cancellation.
            CancellationPlan::NotReplicated => {}
        }
    }

    /// Sends the election transaction under a newly granted lease.
    pub(super) fn send_election(&mut self, index: usize, lease: u64) {
        let next_term = NextTerm::of_replica(&self.controllers[index].shared.replica.lock());
        let record = LeaderRecord {
            member: self.controllers[index].name.clone(),
            address: String::new(),
            term: next_term.term,
            lease,
        };
        self.send_store_request(
            index,
            StoreRequest::Commit(next_term.election(&record)),
            RequestPurpose::Elect(lease),
        );
    }

    pub(super) fn step_down(&mut self, index: usize) {
        let shared = &self.controllers[index].shared;
        let mut election = shared.election.lock();
        election.step_down();
        *shared.cluster.lock() = None;
    }

    pub(super) fn step_down_and_revoke_lease(&mut self, index: usize) {
        let lease = self.controllers[index]
            .shared
            .election
            .lock()
            .lease()
            .map(|lease| lease.id());
        self.step_down(index);
        if let Some(lease) = lease {
            self.send_store_request(index, StoreRequest::Revoke(lease), RequestPurpose::Revoke);
        }
    }

    pub(super) fn step_election(&mut self, index: usize) {
        let shared = self.controllers[index].shared.clone();
        let now = self.instant();
        let leader = shared.replica.lock().leader.clone();
        let Some(leader) = leader else {
            let in_backoff = shared.election.lock().in_backoff(now);
            let election_due =
                self.now_s >= self.controllers[index].next_election_at && !in_backoff;
            if !self.controllers[index].electing && election_due && !self.yields_election(index) {
                self.step_down_and_revoke_lease(index);
                self.controllers[index].electing = true;
                self.send_store_request(index, StoreRequest::Grant, RequestPurpose::Grant);
            }
            return;
        };
        self.controllers[index].links.vacant_since = None;
        if shared.election.lock().is_own_record(&leader.record) {
            if shared.election.lock().own_term().is_none() {
                self.recover(index, leader.record.term, leader.version);
            }
            if shared.election.lock().replica_too_stale_to_lead(now) || self.decide_handover(index)
            {
                shared.election.lock().start_backoff(now);
                self.step_down_and_revoke_lease(index);
                return;
            }
            let lease = shared.election.lock().lease().unwrap();
            if !self.controllers[index].renewing
                && now >= lease.renewal_sent_at() + lease_renewal_interval(LEADER_LEASE_MIN)
            {
                self.controllers[index].renewing = true;
                self.send_store_request(
                    index,
                    StoreRequest::Renew(lease.id()),
                    RequestPurpose::Renew(lease.id()),
                );
            }
            return;
        }
        if shared.election.lock().lease().is_some() && !self.controllers[index].electing {
            self.step_down_and_revoke_lease(index);
        }
        let is_of_earlier_incarnation = leader.record.member == self.controllers[index].name;
        if is_of_earlier_incarnation
            && !self.controllers[index].electing
            && self.now_s >= self.controllers[index].next_election_at
        {
            self.controllers[index].next_election_at = self.now_s + 0.2;
            self.send_store_request(
                index,
                StoreRequest::Revoke(leader.record.lease),
                RequestPurpose::Revoke,
            );
        }
    }

    pub(super) fn recover(&mut self, index: usize, term: Term, version: u64) {
        self.terms_started += 1;
        let shared = self.controllers[index].shared.clone();
        let catalog = shared.catalog.lock().clone().unwrap();
        let cluster = Cluster::recover(
            term,
            &shared.settings,
            &shared.replica.lock(),
            catalog,
            self.instant(),
            self.wall_clock(),
        );
        *shared.cluster.lock() = Some(cluster);
        shared
            .election
            .lock()
            .become_leader(Leadership { term, version });
        // Every controller receives the copies that were kept for the next leader.
        for heartbeat in std::mem::take(&mut self.kept_heartbeats) {
            for recipient in 0..3 {
                self.kept_heartbeats_delivered += 1;
                let after = self.rng.random_range(0.0..3.0);
                let heartbeat = Box::new(heartbeat.clone());
                self.deliver_after(after, Message::Heartbeat(recipient, heartbeat, None));
            }
        }
    }

    pub(super) fn apply_write_outcome(
        &mut self,
        index: usize,
        kind: &RecordKind,
        term: Term,
        outcome: &TransactionOutcome,
    ) {
        if !outcome.committed() {
            self.controllers[index].writes_paused_until = self.now_s + 0.4;
        }
        let shared = self.controllers[index].shared.clone();
        let mut guard = shared.cluster.lock();
        if let Some(cluster) = guard.as_mut().filter(|cluster| cluster.term == term) {
            cluster.apply_write_outcome(kind, outcome);
        }
    }

    pub(super) fn run_scheduling_cycle(&mut self, index: usize) {
        let now = self.instant();
        let shared = self.controllers[index].shared.clone();
        let Some(leadership) = shared.election.lock().leadership(now) else {
            return;
        };
        let may_start_tasks = shared.leadership_for_starts(now).is_some();
        let due = self.controllers[index]
            .cycle_due
            .replace((leadership.term, self.now_s + 1.0));
        let commands = {
            let mut guard = shared.cluster.lock();
            let Some(cluster) = guard.as_mut().filter(|state| state.term == leadership.term) else {
                return;
            };
            if let Some((_, due)) = due.filter(|(term, _)| *term == leadership.term) {
                if self.now_s - due > 1.5 {
                    cluster.resume_after_pause(Duration::from_secs_f64(self.now_s - due), now);
                }
            }
            cluster.expire(now);
            let decisions = if may_start_tasks {
                sched::run_cycle(cluster, &self.policy, now)
            } else {
                Decisions::default()
            };
            sched::apply(cluster, &decisions, now);
            cluster.scheduling_needed = false;
            if may_start_tasks {
                self.controllers[index].unmet_demand = decisions.unmet_demand;
            }
            cluster.direct_commands(now)
        };
        if self.now_s >= self.controllers[index].writes_paused_until {
            self.write_due_records(index, &leadership);
        }
        self.send_direct_commands(index, commands);
    }

    /// Writes the records that are due, on condition that the controller still leads.
    fn write_due_records(&mut self, index: usize, leadership: &Leadership) {
        let now = self.instant();
        let shared = self.controllers[index].shared.clone();
        let writes = {
            let replica = shared.replica.lock();
            let mut guard = shared.cluster.lock();
            guard.as_mut().unwrap().due_writes(&replica, now)
        };
        for mut write in writes {
            let condition = Condition::new(keys::LEADER, leadership.version);
            write.transaction.conditions.push(condition);
            let purpose = RequestPurpose::Write(write.kind, leadership.term);
            self.send_store_request(index, StoreRequest::Commit(write.transaction), purpose);
        }
    }

    fn send_direct_commands(&mut self, index: usize, commands: Vec<AddressedCommand>) {
        let now = self.instant();
        for command in commands {
            let (machine, body) = (command.machine.clone(), command.body());
            for command in &body.commands {
                if matches!(command, WorkerCommand::Run { .. }) {
                    self.record_violation("direct_start", format!("{command:?} to {machine}"));
                }
            }
            let incarnation = self.controllers[index].incarnation;
            let machine = machine.0.to_string();
            let message = Message::DirectCommand(
                index,
                incarnation,
                machine,
                body.token,
                body.epoch,
                body.commands,
                now,
            );
            if !self.is_cut_from_workers(index) {
                self.copy_direct_command(&message);
                self.send(message);
            }
        }
    }

    pub(super) fn is_cut_from_workers(&self, index: usize) -> bool {
        self.cut_off
            .is_some_and(|(affected, until)| affected == index && self.now_s < until)
    }

    pub(super) fn step_controller(&mut self, index: usize) {
        if !self.controllers[index].is_running {
            if self.now_s >= self.controllers[index].restart_at {
                let incarnation = self.controllers[index].incarnation + 1;
                self.controllers[index] = self.new_controller(index, incarnation);
                self.raise_incarnation(index, incarnation);
            }
            return;
        }
        if self.controllers[index].paused_until > self.now_s {
            return;
        }
        for message in std::mem::take(&mut self.controllers[index].held_messages) {
            self.deliver(message);
        }
        let now = self.instant();
        let needs_read = self.controllers[index]
            .shared
            .election
            .lock()
            .needs_confirming_read(now);
        let due = self.now_s >= self.controllers[index].next_read_at || needs_read;
        if !self.controllers[index].reading && due {
            self.controllers[index].reading = true;
            self.controllers[index].next_read_at = self.now_s + self.rng.random_range(0.2..1.2);
            if self.controllers[index].replica_loaded {
                let after = self.controllers[index].shared.replica.lock().revision;
                self.send_store_request(index, StoreRequest::Read(after), RequestPurpose::Read);
            } else {
                self.send_store_request(index, StoreRequest::Load, RequestPurpose::Load);
            }
        }
        if self.controllers[index].replica_loaded {
            self.step_election(index);
        }
        self.step_forwarding(index);
        self.step_links(index);
        if self.now_s >= self.controllers[index].next_cycle_at {
            self.controllers[index].next_cycle_at = self.now_s + self.rng.random_range(0.15..0.6);
            self.run_scheduling_cycle(index);
        }
        if self.now_s >= self.controllers[index].next_fleet_step_at {
            self.controllers[index].next_fleet_step_at = self.now_s + 1.0;
            self.step_fleet(index);
        }
    }

    /// Whether a controller processes a message now. A paused controller holds the message until it
    /// resumes. A message for a terminated process, or for another incarnation, is lost.
    pub(super) fn accepts(
        &mut self,
        index: usize,
        incarnation: Option<u64>,
        to_hold: impl Fn() -> Message,
    ) -> bool {
        let state = &mut self.controllers[index];
        if !state.is_running
            || incarnation.is_some_and(|incarnation| incarnation != state.incarnation)
        {
            return false;
        }
        if state.paused_until > self.now_s {
            state.held_messages.push(to_hold());
            return false;
        }
        true
    }

    pub(super) fn leader(&self) -> Option<usize> {
        let leads = |c: &Controller| c.is_running && c.shared.election.lock().own_term().is_some();
        let mut leading: Vec<usize> = (0..3)
            .filter(|index| leads(&self.controllers[*index]))
            .collect();
        leading.sort_by_key(|index| self.controllers[*index].shared.election.lock().own_term());
        leading.pop()
    }

    pub(super) fn draw_running_controller(&mut self) -> Option<usize> {
        let running: Vec<usize> = (0..3)
            .filter(|index| {
                self.controllers[*index].is_running
                    && self.controllers[*index].paused_until <= self.now_s
            })
            .collect();
        (!running.is_empty()).then(|| running[self.rng.random_range(0..running.len())])
    }
}

/// Verdict in a replica that has no limit on final verdicts, and so evicts none.
fn known_verdict(state: VerdictState) -> Option<Verdict> {
    match state {
        VerdictState::Recorded(verdict) => Some(verdict.verdict),
        VerdictState::NoSuchJob => None,
        VerdictState::MayBeEvicted => panic!("an unlimited replica evicted a verdict"),
    }
}
