//! Reclaiming the guaranteed share of a team from teams that use more than theirs.

use std::collections::HashMap;
use std::time::Duration;

use super::releases::RELEASE_WAIT_MIN_S;
use super::View;
use crate::cluster::Job;
use crate::model::Resources;
use crate::sched::order::QueueEntry;

/// Without an objective on the start of work within a guarantee: how long it waits for capacity
/// that is released anyway before work of another team, of the same priority, is preempted for
/// it. The progress of preempted work is often lost.
const RECLAIM_DELAY: Duration = Duration::from_secs(60);

/// Whether a job within its team's guarantee may preempt work of other teams now.
pub(super) fn may_reclaim(view: View, entry: &QueueEntry) -> bool {
    let waited = view.now.saturating_duration_since(entry.job.submitted_at);
    let delay = match view.policy.guarantee_objective {
        Some(within) => within.saturating_sub(crate::time::secs(RELEASE_WAIT_MIN_S)),
        None => RECLAIM_DELAY,
    };
    entry.guaranteed && waited >= delay
}

/// Whether a team uses more than its guarantee even without a task of the victim.
pub(super) fn exceeded_without(
    view: View,
    team_use: &HashMap<&str, Resources>,
    victim: &Job,
) -> bool {
    let team = victim.spec.team.as_str();
    let task = &victim.spec.task_resources;
    team_use.get(team).is_some_and(|sum| {
        let mut rest = *sum;
        rest.sub(task);
        view.policy.exceeds_guarantee(team, &rest, task)
    })
}
