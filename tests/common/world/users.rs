//! The model's users: they submit, ask, cancel, and remember what they were told.

use super::*;

pub(super) struct Wanted {
    pub(super) spec: JobSpec,
    pub(super) run_s: f64,
    pub(super) told_accepted: Option<f64>,
    pub(super) asked_to_cancel: bool,
    pub(super) told_cancelled: Option<f64>,
    pub(super) told_done: Option<f64>,
    pub(super) cancel_at_end: bool,
}

impl World {
    pub fn want(&mut self, spec: JobSpec, run_s: f64) {
        let id = spec.id.to_string();
        let (share, until) = self.cancel_at_end;
        let cancel_at_end = self.t < until && self.rng.random_bool(share);
        let wanted = Wanted {
            spec,
            run_s,
            told_accepted: None,
            asked_to_cancel: false,
            told_cancelled: None,
            told_done: None,
            cancel_at_end,
        };
        self.jobs.insert(id.clone(), wanted);
        self.submit(&id);
    }

    pub(super) fn submit(&mut self, id: &str) {
        let Some(node) = self.some_node() else {
            return;
        };
        let job = JobRecord {
            verdict: Verdict::Accepted,
            tasks: self.jobs[id].spec.tasks,
            description: Some(JobDescription {
                spec: self.jobs[id].spec.clone(),
                submitted_ms: self
                    .wall()
                    .duration_since(SystemTime::UNIX_EPOCH)
                    .unwrap()
                    .as_millis() as u64,
                started: false,
                hosts: None,
            }),
        };
        let key = keys::job(&JobId::parse(id).unwrap());
        let group = Transaction {
            conditions: vec![Condition::new(key.clone(), 0)],
            changes: vec![Change::put(key, to_value(&job))],
        };
        self.ask(
            node,
            StoreRequest::Multi(group),
            RequestPurpose::Submit(id.to_owned()),
        );
    }

    pub fn cancel(&mut self, id: &str) {
        let Some(node) = self.some_node().filter(|n| self.nodes[*n].loaded) else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(id) {
            job.asked_to_cancel = true;
        }
        let after = self.nodes[node].shared.replica.lock().revision;
        self.ask(
            node,
            StoreRequest::Read(after),
            RequestPurpose::CancelRead(id.to_owned()),
        );
    }

    pub(super) fn poll(&mut self, id: &str) {
        let Some(node) = self.some_node().filter(|n| self.nodes[*n].loaded) else {
            return;
        };
        let after = self.nodes[node].shared.replica.lock().revision;
        self.ask(
            node,
            StoreRequest::Read(after),
            RequestPurpose::Poll(id.to_owned()),
        );
    }

    /// Users' habits in one step.
    pub(super) fn users(&mut self) {
        let ids: Vec<String> = self.jobs.keys().cloned().collect();
        for id in ids {
            let job = &self.jobs[&id];
            let over = job.told_cancelled.is_some() || job.told_done.is_some();
            if job.told_accepted.is_none() && self.rng.random_bool(STEP) {
                self.submit(&id);
            } else if self.rng.random_bool(if over { 0.004 } else { STEP / 4.0 }) {
                self.poll(&id);
            }
            let job = &self.jobs[&id];
            let repeats = job.asked_to_cancel && !over && self.rng.random_bool(STEP);
            let begins = job.cancel_at_end && !job.asked_to_cancel && self.all_completed(&id);
            if repeats || begins {
                self.cancel(&id);
            }
        }
    }

    pub(super) fn all_completed(&self, id: &str) -> bool {
        let tasks = self.jobs[id].spec.tasks;
        (0..tasks).all(|index| self.completed.contains(&format!("{id}/{index}")))
    }

    /// What a user is told, against all that anybody was told before the question was sent.
    pub(super) fn told(&mut self, id: &str, sent: f64, verdict: Option<Verdict>) {
        let job = &self.jobs[id];
        let before = |at: Option<f64>| at.is_some_and(|at| at < sent);
        let fault = match verdict {
            None if before(job.told_accepted) => Some("forgotten"),
            Some(Verdict::Accepted | Verdict::Done) if before(job.told_cancelled) => {
                Some("went_back")
            }
            Some(Verdict::Accepted | Verdict::Cancelled) if before(job.told_done) => {
                Some("went_back")
            }
            Some(Verdict::Cancelled) if !job.asked_to_cancel => Some("went_back"),
            Some(Verdict::Done) if !self.all_completed(id) => Some("not_done"),
            _ => None,
        };
        if let Some(rule) = fault {
            self.break_rule(rule, format!("{id} {verdict:?}"));
        }
        let t = self.t;
        if let Some(job) = self.jobs.get_mut(id) {
            let at = match verdict {
                None => return,
                Some(Verdict::Accepted) => &mut job.told_accepted,
                Some(Verdict::Done) => &mut job.told_done,
                Some(Verdict::Cancelled) => &mut job.told_cancelled,
            };
            at.get_or_insert(t);
            job.told_accepted.get_or_insert(t);
        }
    }
}
