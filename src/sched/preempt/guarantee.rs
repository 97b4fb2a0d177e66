//! Reclaims the guaranteed share of a team from teams that use more than their own.

use std::collections::HashMap;
use std::time::Duration;

use super::releases::RELEASE_WAIT_MIN_S;
use super::SchedulingView;
use crate::cluster::Job;
use crate::model::Resources;
use crate::sched::order::QueueEntry;

/// How long a job within a guarantee waits for capacity that running tasks release, before it
/// preempts tasks of another team whose priority is not lower. It applies if the settings have no
/// objective on the start of such jobs. Preemption often loses progress.
const RECLAIM_DELAY: Duration = Duration::from_secs(60);

/// Whether the job is within its team's guarantee and has waited long enough to preempt tasks of
/// other teams.
pub(super) fn may_reclaim(view: SchedulingView, entry: &QueueEntry) -> bool {
    let waiting_time = view.now.saturating_duration_since(entry.job.submitted_at);
    let delay = match view.policy.guarantee_objective {
        Some(within) => within.saturating_sub(crate::time::secs(RELEASE_WAIT_MIN_S)),
        None => RECLAIM_DELAY,
    };
    entry.guaranteed && waiting_time >= delay
}

/// Whether the victim's team would still exceed its guarantee after the termination of one task of
/// the victim.
pub(super) fn exceeds_guarantee_without(
    view: SchedulingView,
    team_use: &HashMap<&str, Resources>,
    victim: &Job,
) -> bool {
    let team = victim.spec.team.as_str();
    let task = &victim.spec.task_resources;
    team_use.get(team).is_some_and(|current_use| {
        let mut remaining_use = *current_use;
        remaining_use.sub(task);
        view.policy.exceeds_guarantee(team, &remaining_use, task)
    })
}
