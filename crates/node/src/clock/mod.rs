//! The runtime's clock, which tests pause and advance.

use std::time::Instant;

/// Gets the current time of the runtime.
#[must_use]
pub fn now() -> Instant {
    actix_rt::time::Instant::now().into_std()
}

/// Gets the time of day in milliseconds since the epoch; it may jump.
#[must_use]
pub fn unix_ms() -> u64 {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}
