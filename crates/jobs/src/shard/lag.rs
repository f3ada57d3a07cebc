use std::time::{Duration, Instant};

use super::leadership::TICK_INTERVAL;

/// Delay of a tick from which on a leader is reported to lag: a renewal that is as late may miss the end of a
/// lease.
const MIN_REPORTED_LAG: Duration = Duration::from_millis(500);

/// `Lag` measures how far a leader is behind its events, by the delay of its ticks.
pub(super) struct Lag {
    ticked_at: Instant,
    /// Longest step since the latest tick, with the kind of its event.
    slowest: (Duration, &'static str),
    steps: u64,
}

/// `Delay` is how late a tick was, with what the leader did since the one before.
pub(super) struct Delay {
    pub(super) lag: Duration,
    pub(super) slowest: (Duration, &'static str),
    pub(super) steps: u64,
}

impl Lag {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            ticked_at: now,
            slowest: (Duration::ZERO, ""),
            steps: 0,
        }
    }

    /// Records the duration of a step.
    pub(super) fn record_step(&mut self, duration: Duration, kind: &'static str) {
        self.steps += 1;
        self.slowest = self.slowest.max((duration, kind));
    }

    /// Records a tick, and returns its delay if the leader lags.
    pub(super) fn record_tick(&mut self, now: Instant) -> Option<Delay> {
        let interval = now.saturating_duration_since(self.ticked_at);
        let ended = std::mem::replace(self, Self::new(now));
        let lag = interval.saturating_sub(TICK_INTERVAL);
        (lag >= MIN_REPORTED_LAG).then_some(Delay {
            lag,
            slowest: ended.slowest,
            steps: ended.steps,
        })
    }
}
