//! Task counts for the admin interface and the state summary.

use super::{Cluster, InstancePhase};
use crate::model::JobId;

impl Cluster {
    /// The numbers of completed and of running tasks of a job; zero for an unknown job.
    pub fn task_counts(&self, id: &JobId) -> (u32, u32) {
        let Some(job) = self.jobs.get(id) else {
            return (0, 0);
        };
        let running = self
            .instances_of(id)
            .into_iter()
            .filter(|(machine, instance)| {
                let machine = self.machines.get(machine);
                let instance = machine.and_then(|machine| machine.instances.get(instance));
                instance.is_some_and(|s| {
                    matches!(
                        s.phase,
                        InstancePhase::Running | InstancePhase::Checkpointing
                    )
                })
            });
        (job.done.len(), running.count() as u32)
    }
}
