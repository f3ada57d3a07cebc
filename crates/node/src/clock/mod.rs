//! The runtime's clock, which tests pause and advance.

use std::time::Instant;

/// Gets the current time of the runtime.
#[must_use]
pub fn now() -> Instant {
    actix_rt::time::Instant::now().into_std()
}
