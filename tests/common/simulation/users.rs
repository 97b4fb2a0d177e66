//! Simulated users, who submit, poll and cancel jobs, and record the verdicts that they receive.

use super::*;

/// A job, and what its users have requested and observed.
pub(super) struct UserJob {
    pub(super) spec: JobSpec,
    /// Run time of each task.
    pub(super) run_s: f64,
    pub(super) seen_accepted_at: Option<f64>,
    pub(super) cancel_requested: bool,
    pub(super) seen_cancelled_at: Option<f64>,
    pub(super) seen_done_at: Option<f64>,
    pub(super) cancel_at_completion: bool,
}

impl Simulation {
    pub fn submit_job(&mut self, spec: JobSpec, run_s: f64) {
        let id = spec.id.to_string();
        let (share, until) = self.cancel_at_completion;
        let cancel_at_completion = self.now_s < until && self.rng.random_bool(share);
        let job = UserJob {
            spec,
            run_s,
            seen_accepted_at: None,
            cancel_requested: false,
            seen_cancelled_at: None,
            seen_done_at: None,
            cancel_at_completion,
        };
        self.jobs.insert(id.clone(), job);
        self.send_submission(&id);
    }

    pub(super) fn send_submission(&mut self, id: &str) {
        let Some(index) = self.draw_running_controller() else {
            return;
        };
        let record = JobRecord::accepted(self.jobs[id].spec.clone(), self.wall_clock());
        let key = keys::job(&JobId::parse(id).unwrap());
        let transaction = Transaction::put_if_version(key, 0, &record);
        self.send_store_request(
            index,
            StoreRequest::Commit(transaction),
            RequestPurpose::Submit(id.to_owned()),
        );
    }

    pub fn cancel(&mut self, id: &str) {
        let Some(index) = self
            .draw_running_controller()
            .filter(|index| self.controllers[*index].replica_loaded)
        else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(id) {
            job.cancel_requested = true;
        }
        let after = self.controllers[index].shared.replica.lock().revision;
        self.send_store_request(
            index,
            StoreRequest::Read(after),
            RequestPurpose::CancelRead(id.to_owned()),
        );
    }

    pub(super) fn poll(&mut self, id: &str) {
        let Some(index) = self
            .draw_running_controller()
            .filter(|index| self.controllers[*index].replica_loaded)
        else {
            return;
        };
        let after = self.controllers[index].shared.replica.lock().revision;
        self.send_store_request(
            index,
            StoreRequest::Read(after),
            RequestPurpose::Poll(id.to_owned()),
        );
    }

    /// Draws the requests that users send in one step.
    pub(super) fn step_users(&mut self) {
        let ids: Vec<String> = self.jobs.keys().cloned().collect();
        for id in ids {
            let job = &self.jobs[&id];
            let is_ended = job.seen_cancelled_at.is_some() || job.seen_done_at.is_some();
            if job.seen_accepted_at.is_none() && self.rng.random_bool(STEP_S) {
                self.send_submission(&id);
            } else if self
                .rng
                .random_bool(if is_ended { 0.004 } else { STEP_S / 4.0 })
            {
                self.poll(&id);
            }
            let job = &self.jobs[&id];
            let repeats_cancel = job.cancel_requested && !is_ended && self.rng.random_bool(STEP_S);
            let starts_cancel =
                job.cancel_at_completion && !job.cancel_requested && self.all_tasks_completed(&id);
            if repeats_cancel || starts_cancel {
                self.cancel(&id);
            }
        }
    }

    pub(super) fn all_tasks_completed(&self, id: &str) -> bool {
        let tasks = self.jobs[id].spec.tasks;
        (0..tasks).all(|index| self.completed_tasks.contains(&format!("{id}/{index}")))
    }

    /// Records a verdict that a user receives, and checks that it does not contradict any verdict
    /// received before the request was sent.
    pub(super) fn observe_verdict(&mut self, id: &str, sent_s: f64, verdict: Option<Verdict>) {
        let job = &self.jobs[id];
        let before = |at: Option<f64>| at.is_some_and(|at| at < sent_s);
        let violation = match verdict {
            None if before(job.seen_accepted_at) => Some("forgotten"),
            Some(Verdict::Accepted | Verdict::Done) if before(job.seen_cancelled_at) => {
                Some("went_back")
            }
            Some(Verdict::Accepted | Verdict::Cancelled) if before(job.seen_done_at) => {
                Some("went_back")
            }
            Some(Verdict::Cancelled) if !job.cancel_requested => Some("went_back"),
            Some(Verdict::Done) if !self.all_tasks_completed(id) => Some("not_done"),
            _ => None,
        };
        if let Some(rule) = violation {
            self.record_violation(rule, format!("{id} {verdict:?}"));
        }
        let now_s = self.now_s;
        if let Some(job) = self.jobs.get_mut(id) {
            let at = match verdict {
                None => return,
                Some(Verdict::Accepted) => &mut job.seen_accepted_at,
                Some(Verdict::Done) => &mut job.seen_done_at,
                Some(Verdict::Cancelled) => &mut job.seen_cancelled_at,
            };
            at.get_or_insert(now_s);
            job.seen_accepted_at.get_or_insert(now_s);
        }
    }
}
