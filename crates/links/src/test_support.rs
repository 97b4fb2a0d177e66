//! Fixtures shared by the tests of several modules.

use std::time::Duration;

use crate::link::DetectionParams;
use crate::timing::LinkTiming;

/// Timing of a small deployment.
pub fn timing() -> LinkTiming {
    LinkTiming {
        row_interval: Duration::from_secs(1),
        leader_lease: Duration::from_secs(3),
        heartbeat_interval: Duration::from_secs(3),
        clock_skew_max: Duration::from_millis(50),
    }
}

/// The service's default parameters.
pub const DETECTION_PARAMS: DetectionParams = DetectionParams {
    phi_down_threshold: 8.0,
    damping_enabled: true,
};
