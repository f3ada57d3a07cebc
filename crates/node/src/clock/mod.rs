//! The runtime's clock, which tests can pause and advance, and the time of day.

use std::time::Instant;

/// Returns the current time of the runtime's monotonic clock.
#[must_use]
pub fn now() -> Instant {
    actix_rt::time::Instant::now().into_std()
}

/// Returns the time of day in milliseconds since the Unix epoch; it may jump.
#[must_use]
pub fn unix_ms() -> u64 {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}
