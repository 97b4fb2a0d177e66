//! The model's controllers: their own parts run as they are, their actors are played.

use super::*;

pub(super) struct Node {
    pub(super) name: String,
    pub(super) shared: Arc<Shared>,
    pub(super) incarnation: u64,
    pub(super) up: bool,
    pub(super) back_at: f64,
    pub(super) frozen_until: f64,
    pub(super) loaded: bool,
    pub(super) reading: bool,
    pub(super) read_at: f64,
    pub(super) elect_at: f64,
    pub(super) electing: bool,
    pub(super) renewing: bool,
    pub(super) round_at: f64,
    pub(super) round_due: Option<(Term, f64)>,
    pub(super) rest_until: f64,
    pub(super) fleet_at: f64,
    pub(super) unmet_demand: Vec<UnmetDemand>,
    pub(super) market: CapacityBackoff,
    pub(super) held: Vec<Mail>,
    pub(super) forwarded: Forwarded,
    pub(super) links: NodeLinks,
}

impl World {
    pub(super) fn fresh_node(&self, number: usize, incarnation: u64) -> Node {
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
        Node {
            name: format!("knot-{number}"),
            shared,
            incarnation,
            up: true,
            back_at: 0.0,
            frozen_until: 0.0,
            loaded: false,
            reading: false,
            read_at: self.t,
            elect_at: self.t,
            electing: false,
            renewing: false,
            round_at: self.t,
            round_due: None,
            rest_until: 0.0,
            fleet_at: self.t + 1.0,
            unmet_demand: Vec::new(),
            market: CapacityBackoff::default(),
            held: Vec::new(),
            forwarded: Forwarded::default(),
            links: NodeLinks::default(),
        }
    }

    pub(super) fn answered(
        &mut self,
        n: usize,
        answered: StoreResponse,
        why: RequestPurpose,
        sent: f64,
    ) {
        let (now, wall) = (self.instant(), self.wall_of(n));
        let sent_at = self.start + Duration::from_secs_f64(sent);
        let shared = self.nodes[n].shared.clone();
        let failed = answered.failure().cloned();
        if failed.as_ref().is_some_and(StoreError::shows_outage) {
            shared.election.lock().freshness().invalidate(now);
        }
        self.note_store(n, &why, failed.as_ref(), sent);
        match (&why, answered) {
            (RequestPurpose::Load, StoreResponse::Rows(rows, revision)) => {
                let news = shared.replica.lock().load(rows, revision);
                shared.replica_changed_at(&news, now, wall);
                shared.replica_complete(sent_at);
                self.nodes[n].loaded = true;
            }
            (
                RequestPurpose::Read | RequestPurpose::Poll(_) | RequestPurpose::CancelRead(_),
                StoreResponse::Events(events, revision),
            ) => {
                let news = shared.replica.lock().apply(&events, revision);
                shared.replica_changed_at(&news, now, wall);
                shared.replica_complete(sent_at);
            }
            (RequestPurpose::Grant, StoreResponse::Lease(id)) => {
                shared.election.lock().hold_lease(id, sent_at);
                self.stand(n, id);
                return;
            }
            (RequestPurpose::Renew(id), StoreResponse::Fine) => {
                shared.election.lock().lease_renewed(*id, sent_at)
            }
            (RequestPurpose::Renew(_), StoreResponse::LeaseOver) => self.step_down(n),
            (RequestPurpose::Write(kind, term), StoreResponse::TransactionOutcome(outcome)) => {
                self.written(n, kind, *term, &outcome);
            }
            (RequestPurpose::Write(kind, term), StoreResponse::Failed(error)) => {
                self.written(n, kind, *term, &TransactionOutcome::Failed(error));
            }
            (
                RequestPurpose::Submit(id),
                StoreResponse::TransactionOutcome(TransactionOutcome::Committed(_)),
            ) => {
                // The answer reaches the user a little later; by then others may know more.
                self.told(id, sent, Some(Verdict::Accepted));
            }
            (
                RequestPurpose::Submit(id),
                StoreResponse::TransactionOutcome(TransactionOutcome::Conflict { .. }),
            ) => self.poll(id),
            (
                RequestPurpose::Cancel(id),
                StoreResponse::TransactionOutcome(TransactionOutcome::Committed(_)),
            ) => {
                self.notify_cancellation(n, id);
                self.told(id, sent, Some(Verdict::Cancelled));
            }
            _ => {}
        }
        self.request_ended(n, why, failed.is_none(), sent);
    }

    /// A cancellation is on record: the node tells its peers.
    fn notify_cancellation(&mut self, n: usize, id: &str) {
        let shared = self.nodes[n].shared.clone();
        let job = JobId::parse(id).unwrap();
        shared.cancellation_recorded(&job);
        let jobs = shared.cancellations.take();
        let refuse = self.peers_refuse;
        for peer in (0..3).filter(|peer| *peer != n && !refuse) {
            self.send(Mail::Cancelled(peer, jobs.clone()));
        }
    }

    /// What follows the end of a request, whatever its answer was.
    fn request_ended(&mut self, n: usize, why: RequestPurpose, succeeded: bool, sent: f64) {
        let shared = self.nodes[n].shared.clone();
        match why {
            RequestPurpose::Load | RequestPurpose::Read => self.nodes[n].reading = false,
            RequestPurpose::Renew(_) => self.nodes[n].renewing = false,
            RequestPurpose::Grant | RequestPurpose::Elect(_) => {
                self.nodes[n].electing = false;
                self.nodes[n].elect_at = self.t + self.rng.random_range(0.15..0.3);
            }
            RequestPurpose::Poll(id) if succeeded => {
                let verdict = shared.replica.lock().verdict(&JobId::parse(&id).unwrap());
                let verdict = known_verdict(verdict);
                self.told(&id, sent, verdict);
            }
            RequestPurpose::CancelRead(id) if succeeded => self.write_cancellation(n, &id, sent),
            _ => {}
        }
    }

    pub(super) fn write_cancellation(&mut self, n: usize, id: &str, sent: f64) {
        let job = JobId::parse(id).unwrap();
        let shared = self.nodes[n].shared.clone();
        let (verdict, version, live) = {
            let replica = shared.replica.lock();
            let live = replica
                .descriptions
                .get(&job)
                .map(|live| live.record.clone());
            let verdict = known_verdict(replica.verdict(&job));
            (verdict, replica.job_version(&job), live)
        };
        if verdict != Some(Verdict::Accepted) {
            self.told(id, sent, verdict);
            return;
        }
        let record = JobRecord {
            verdict: Verdict::Cancelled,
            tasks: self.jobs[id].spec.tasks,
            description: live,
        };
        let group = Transaction {
            conditions: vec![Condition::new(keys::job(&job), version)],
            changes: vec![Change::put(keys::job(&job), to_value(&record))],
        };
        self.ask(
            n,
            StoreRequest::Multi(group),
            RequestPurpose::Cancel(id.to_owned()),
        );
    }

    /// The election's transaction under a lease just granted.
    pub(super) fn stand(&mut self, n: usize, lease: u64) {
        let (term, version) = {
            let replica = self.nodes[n].shared.replica.lock();
            (Term(replica.term.record.0 + 1), replica.term.version)
        };
        let record = LeaderRecord {
            member: self.nodes[n].name.clone(),
            address: String::new(),
            term,
            lease,
        };
        let group = Transaction {
            conditions: vec![
                Condition::new(keys::LEADER, 0),
                Condition::new(keys::TERM, version),
            ],
            changes: vec![
                Change::Put {
                    key: keys::LEADER.to_owned(),
                    value: to_value(&record),
                    lease: Some(lease),
                },
                Change::put(keys::TERM, to_value(&TermRecord { term })),
            ],
        };
        self.ask(n, StoreRequest::Multi(group), RequestPurpose::Elect(lease));
    }

    pub(super) fn step_down(&mut self, n: usize) {
        let shared = &self.nodes[n].shared;
        let mut election = shared.election.lock();
        election.step_down();
        *shared.cluster.lock() = None;
    }

    pub(super) fn leave_lease(&mut self, n: usize) {
        let lease = self.nodes[n]
            .shared
            .election
            .lock()
            .lease()
            .map(|lease| lease.id());
        self.step_down(n);
        if let Some(lease) = lease {
            self.ask(n, StoreRequest::End(lease), RequestPurpose::End);
        }
    }

    pub(super) fn elect(&mut self, n: usize) {
        let shared = self.nodes[n].shared.clone();
        let now = self.instant();
        let leader = shared.replica.lock().leader.clone();
        let Some(leader) = leader else {
            let in_backoff = shared.election.lock().in_backoff(now);
            let may = self.t >= self.nodes[n].elect_at && !in_backoff;
            if !self.nodes[n].electing && may && !self.yields(n) {
                self.leave_lease(n);
                self.nodes[n].electing = true;
                self.ask(n, StoreRequest::Grant, RequestPurpose::Grant);
            }
            return;
        };
        self.nodes[n].links.vacant_since = None;
        if shared.election.lock().is_own_record(&leader.record) {
            if shared.election.lock().own_term().is_none() {
                self.recover(n, leader.record.term, leader.version);
            }
            if shared.election.lock().replica_too_stale_to_lead(now) || self.outclassed(n) {
                shared.election.lock().start_backoff(now);
                self.leave_lease(n);
                return;
            }
            let lease = shared.election.lock().lease().unwrap();
            if !self.nodes[n].renewing
                && now >= lease.renewal_sent_at() + lease_renewal_interval(LEADER_LEASE_MIN)
            {
                self.nodes[n].renewing = true;
                self.ask(
                    n,
                    StoreRequest::Renew(lease.id()),
                    RequestPurpose::Renew(lease.id()),
                );
            }
            return;
        }
        if shared.election.lock().lease().is_some() && !self.nodes[n].electing {
            self.leave_lease(n);
        }
        let former = leader.record.member == self.nodes[n].name;
        if former && !self.nodes[n].electing && self.t >= self.nodes[n].elect_at {
            self.nodes[n].elect_at = self.t + 0.2;
            self.ask(
                n,
                StoreRequest::End(leader.record.lease),
                RequestPurpose::End,
            );
        }
    }

    pub(super) fn recover(&mut self, n: usize, term: Term, version: u64) {
        self.failovers += 1;
        let shared = self.nodes[n].shared.clone();
        let catalog = shared.catalog.lock().clone().unwrap();
        let cluster = Cluster::recover(
            term,
            &shared.settings,
            &shared.replica.lock(),
            catalog,
            self.instant(),
            self.wall(),
        );
        *shared.cluster.lock() = Some(cluster);
        shared
            .election
            .lock()
            .become_leader(Leadership { term, version });
        // Copies that were kept for the next leader come to every node now.
        for heartbeat in std::mem::take(&mut self.kept) {
            for node in 0..3 {
                self.kept_delivered += 1;
                let after = self.rng.random_range(0.0..3.0);
                let heartbeat = Box::new(heartbeat.clone());
                self.post(after, Mail::Heartbeat(node, heartbeat, None));
            }
        }
    }

    pub(super) fn written(
        &mut self,
        n: usize,
        kind: &RecordKind,
        term: Term,
        outcome: &TransactionOutcome,
    ) {
        if !outcome.committed() {
            self.nodes[n].rest_until = self.t + 0.4;
        }
        let shared = self.nodes[n].shared.clone();
        let mut guard = shared.cluster.lock();
        if let Some(cluster) = guard.as_mut().filter(|c| c.term == term) {
            cluster.apply_write_outcome(kind, outcome);
        }
    }

    pub(super) fn round(&mut self, n: usize) {
        let now = self.instant();
        let shared = self.nodes[n].shared.clone();
        let Some(leadership) = shared.election.lock().leadership(now) else {
            return;
        };
        let starting = shared.leadership_for_starts(now).is_some();
        let due = self.nodes[n]
            .round_due
            .replace((leadership.term, self.t + 1.0));
        let direct = {
            let mut guard = shared.cluster.lock();
            let Some(cluster) = guard.as_mut().filter(|c| c.term == leadership.term) else {
                return;
            };
            if let Some((_, due)) = due.filter(|(term, _)| *term == leadership.term) {
                if self.t - due > 1.5 {
                    cluster.resume_after_pause(Duration::from_secs_f64(self.t - due), now);
                }
            }
            cluster.expire(now);
            let decisions = if starting {
                sched::run_cycle(cluster, &self.policy, now)
            } else {
                Decisions::default()
            };
            sched::apply(cluster, &decisions, now);
            cluster.scheduling_needed = false;
            if starting {
                self.nodes[n].unmet_demand = decisions.unmet_demand;
            }
            cluster.direct_commands(now)
        };
        if self.t >= self.nodes[n].rest_until {
            self.write_due_records(n, &leadership);
        }
        self.send_direct_commands(n, direct);
    }

    /// Writes the records that are due, on condition that the node still leads.
    fn write_due_records(&mut self, n: usize, leadership: &Leadership) {
        let now = self.instant();
        let shared = self.nodes[n].shared.clone();
        let writes = {
            let replica = shared.replica.lock();
            let mut guard = shared.cluster.lock();
            guard.as_mut().unwrap().due_writes(&replica, now)
        };
        for mut write in writes {
            let condition = Condition::new(keys::LEADER, leadership.version);
            write.transaction.conditions.push(condition);
            let why = RequestPurpose::Write(write.kind, leadership.term);
            self.ask(n, StoreRequest::Multi(write.transaction), why);
        }
    }

    fn send_direct_commands(&mut self, n: usize, direct: Vec<AddressedCommand>) {
        let now = self.instant();
        for AddressedCommand { machine, body, .. } in direct {
            let incarnation = self.nodes[n].incarnation;
            let machine = machine.0.to_string();
            let mail = Mail::AddressedCommand(
                n,
                incarnation,
                machine,
                body.token,
                body.epoch,
                body.commands,
                now,
            );
            if !self.cut_from_workers(n) {
                self.send(mail);
            }
        }
    }

    pub(super) fn cut_from_workers(&self, n: usize) -> bool {
        self.cut
            .is_some_and(|(node, until)| node == n && self.t < until)
    }

    pub(super) fn fleet(&mut self, n: usize) {
        let now = self.instant();
        let shared = self.nodes[n].shared.clone();
        if shared.election.lock().leadership(now).is_none() {
            return;
        }
        let list = self.list();
        let incarnation = self.nodes[n].incarnation;
        let actions = {
            let mut guard = shared.cluster.lock();
            let Some(cluster) = guard.as_mut() else {
                return;
            };
            cluster.apply_machine_list(&list, now);
            let unheard = cluster
                .machines
                .values()
                .any(Machine::awaits_first_heartbeat);
            if unheard
                && now.saturating_duration_since(cluster.observing_since) < Duration::from_secs(5)
            {
                return;
            }
            fleet::detect_partitions(cluster, now);
            let actions = fleet::plan(&FleetView {
                cluster,
                policy: &self.policy,
                unmet_demand: &self.nodes[n].unmet_demand,
                capacity_backoff: &self.nodes[n].market,
                idle_policy: IdlePolicy::default(),
                now,
            });
            for action in &actions {
                if let ScalingAction::Release(ids, _) = action {
                    for id in ids {
                        if let Some(machine) = cluster.machines.get_mut(id) {
                            machine.releasing = true;
                        }
                    }
                }
            }
            actions
        };
        for action in actions {
            match action {
                ScalingAction::Rent(pool, count) => {
                    self.send(Mail::Rent(n, incarnation, pool, count))
                }
                ScalingAction::Release(ids, _) => self.send(Mail::Return(n, incarnation, ids)),
            }
        }
    }

    pub(super) fn node(&mut self, n: usize) {
        if !self.nodes[n].up {
            if self.t >= self.nodes[n].back_at {
                let incarnation = self.nodes[n].incarnation + 1;
                self.nodes[n] = self.fresh_node(n, incarnation);
                self.number_incarnation(n, incarnation);
            }
            return;
        }
        if self.nodes[n].frozen_until > self.t {
            return;
        }
        for mail in std::mem::take(&mut self.nodes[n].held) {
            self.deliver(mail);
        }
        let now = self.instant();
        let wants = self.nodes[n]
            .shared
            .election
            .lock()
            .needs_confirming_read(now);
        let due = self.t >= self.nodes[n].read_at || wants;
        if !self.nodes[n].reading && due {
            self.nodes[n].reading = true;
            self.nodes[n].read_at = self.t + self.rng.random_range(0.2..1.2);
            if self.nodes[n].loaded {
                let after = self.nodes[n].shared.replica.lock().revision;
                self.ask(n, StoreRequest::Read(after), RequestPurpose::Read);
            } else {
                self.ask(n, StoreRequest::Load, RequestPurpose::Load);
            }
        }
        if self.nodes[n].loaded {
            self.elect(n);
        }
        self.forward(n);
        self.look_at_links(n);
        if self.t >= self.nodes[n].round_at {
            self.nodes[n].round_at = self.t + self.rng.random_range(0.15..0.6);
            self.round(n);
        }
        if self.t >= self.nodes[n].fleet_at {
            self.nodes[n].fleet_at = self.t + 1.0;
            self.fleet(n);
        }
    }

    /// Whether what came for a node is taken now; held while it stands still, lost with its life.
    pub(super) fn at_node(
        &mut self,
        n: usize,
        incarnation: Option<u64>,
        again: impl Fn() -> Mail,
    ) -> bool {
        let node = &mut self.nodes[n];
        if !node.up || incarnation.is_some_and(|incarnation| incarnation != node.incarnation) {
            return false;
        }
        if node.frozen_until > self.t {
            node.held.push(again());
            return false;
        }
        true
    }

    pub(super) fn leader(&self) -> Option<usize> {
        let leads = |node: &Node| node.up && node.shared.election.lock().own_term().is_some();
        let mut leading: Vec<usize> = (0..3).filter(|n| leads(&self.nodes[*n])).collect();
        leading.sort_by_key(|n| self.nodes[*n].shared.election.lock().own_term());
        leading.pop()
    }

    pub(super) fn some_node(&mut self) -> Option<usize> {
        let up: Vec<usize> = (0..3)
            .filter(|n| self.nodes[*n].up && self.nodes[*n].frozen_until <= self.t)
            .collect();
        (!up.is_empty()).then(|| up[self.rng.random_range(0..up.len())])
    }
}

/// The verdict in a replica without a bound on final verdicts, which evicts none.
fn known_verdict(state: VerdictState) -> Option<Verdict> {
    match state {
        VerdictState::Recorded(verdict) => Some(verdict.verdict),
        VerdictState::NoSuchJob => None,
        VerdictState::MayBeEvicted => panic!("a verdict was evicted"),
    }
}
