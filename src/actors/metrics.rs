//! The actor that writes all counters and histograms to the log at level debug: they cannot be queried
//! after the process has ended.

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::prelude::*;
use tracing::{debug, enabled, Level};

use crate::service::Shared;

/// Time between two log entries with metrics.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Logs all metrics at a regular interval, but only if level debug is enabled when the actor starts.
pub struct MetricsActor {
    shared: Arc<Shared>,
}

impl MetricsActor {
    /// The counters and histograms are read from `shared` at each log entry.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    fn log(&self) {
        let view = self.shared.metrics_view(Instant::now());
        match serde_json::to_string(&view) {
            Ok(metrics) => debug!(metrics, "metrics"),
            Err(error) => debug!(%error, "encoding metrics failed"),
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
