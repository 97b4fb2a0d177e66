//! What the tests of several modules share.

use std::time::Duration;

use crate::link::Judgement;
use crate::timing::LinkTiming;

/// Times of a small deployment.
pub fn timing() -> LinkTiming {
    LinkTiming {
        row_interval: Duration::from_secs(1),
        leader_lease: Duration::from_secs(3),
        report_interval: Duration::from_secs(3),
        clock_difference: Duration::from_millis(50),
    }
}

/// The judgement that is the default of the service.
pub const JUDGEMENT: Judgement = Judgement {
    phi_down: 8.0,
    damping: true,
};
