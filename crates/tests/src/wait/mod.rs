//! Polling until a condition holds.

use std::time::Duration;

use actix_rt::time::{Instant, sleep};

/// Time between two checks of the condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which the test fails.
const TIMEOUT: Duration = Duration::from_mins(2);

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics if the condition does not hold within two minutes.
pub async fn wait_until(description: &str, mut condition: impl AsyncFnMut() -> bool) {
    let started_at = Instant::now();
    while !condition().await {
        assert!(
            started_at.elapsed() < TIMEOUT,
            "timed out waiting for {description}"
        );
        sleep(POLL_INTERVAL).await;
    }
}
