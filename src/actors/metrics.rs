//! Writes all figures to the log now and then, at level debug: what a process that has since ended
//! spent its time on can't be asked any more.

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::prelude::*;
use tracing::{debug, enabled, Level};

use crate::service::Shared;

/// Time between two entries.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The actor.
pub struct MetricsActor {
    shared: Arc<Shared>,
}

impl MetricsActor {
    /// Logs the figures of this process.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    fn log(&self) {
        let view = self.shared.metrics_view(Instant::now());
        match serde_json::to_string(&view) {
            Ok(metrics) => debug!(metrics, "metrics"),
            Err(error) => debug!(%error, "cannot encode the metrics"),
        }
    }
}

impl Actor for MetricsActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        if enabled!(Level::DEBUG) {
            context.run_interval(LOG_INTERVAL, |actor, _| actor.log());
        }
    }
}
