//! Writes all counters and histograms to the log at regular intervals, at level debug: a process that
//! has ended can't be queried any more.

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
    /// Logs the counters and histograms of this process.
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
