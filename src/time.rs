//! Conversions of time, and the bound on how clocks differ.

use std::time::{Duration, SystemTime};

/// Clocks of two machines may drift apart by this part.
pub const CLOCK_DRIFT: f64 = 0.0005;

/// Turns a number of seconds from outside into a duration; nonsense becomes zero.
pub fn secs(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(Duration::ZERO)
}

/// Milliseconds since 1970; zero for a time before it.
pub fn unix_ms(time: SystemTime) -> u64 {
    let since = time.duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
