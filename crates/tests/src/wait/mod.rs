//! Waits for a condition.

use std::time::Duration;

use actix_rt::time::{Instant, sleep};

/// Time between two looks.
const PERIOD: Duration = Duration::from_millis(50);
/// Time after which a trial that makes no progress is given up.
const GIVE_UP: Duration = Duration::from_mins(2);

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics when a trial makes no progress.
pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let since = Instant::now();
    while !holds().await {
        assert!(since.elapsed() < GIVE_UP, "no progress: {what}");
        sleep(PERIOD).await;
    }
}
