//! Conversions of time, and the bound on how clocks differ.

use std::time::{Duration, SystemTime};

/// Bound on the relative drift between the clocks of two machines: 0.5 ms per second.
pub const CLOCK_DRIFT: f64 = 0.0005;

/// Converts a number of seconds from a setting or a message; zero if it is negative, not finite or too
/// large.
pub fn secs(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(Duration::ZERO)
}

/// Milliseconds since the Unix epoch; zero for an earlier time.
pub fn unix_ms(time: SystemTime) -> u64 {
    let since_epoch = time.duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.map_or(0, |since_epoch| since_epoch.as_millis() as u64)
}
