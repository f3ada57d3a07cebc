//! Moving estimates of request latency and of the rate at which queued requests start.

use std::time::{Duration, Instant};

/// Weight of the newest sample in the mean latency.
const MEAN_GAIN: f64 = 0.05;
/// Weight of the newest sample in the mean absolute deviation.
const DEVIATION_GAIN: f64 = 0.1;
/// Deviations between the mean latency and its upper bound.
const UPPER_BOUND_DEVIATIONS: f64 = 3.0;
/// Weight of the newest window in the start rate.
const RATE_GAIN: f64 = 0.3;
/// Length of the window over which starts are counted.
const RATE_WINDOW: Duration = Duration::from_millis(250);

/// `Latency` estimates how long requests take.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Latency {
    /// Mean and mean absolute deviation in seconds, none before the first sample.
    moments: Option<(f64, f64)>,
}

impl Latency {
    /// Adds a latency sample.
    pub(crate) fn record(&mut self, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64();
        let (mean, deviation) = self.moments.unwrap_or((elapsed, elapsed / 2.0));
        let error = elapsed - mean;
        self.moments = Some((
            mean + MEAN_GAIN * error,
            deviation + DEVIATION_GAIN * (error.abs() - deviation),
        ));
    }

    pub(crate) fn mean(&self) -> Option<Duration> {
        self.moments.map(|(mean, _)| Duration::from_secs_f64(mean))
    }

    /// Returns a latency that few requests exceed.
    pub(crate) fn upper_bound(&self) -> Option<Duration> {
        let bound =
            |(mean, deviation)| Duration::from_secs_f64(mean + UPPER_BOUND_DEVIATIONS * deviation);
        self.moments.map(bound)
    }
}

/// `Rate` estimates how many requests start per second while the queue is not empty.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Rate {
    /// Start of the current window.
    window_start: Option<Instant>,
    starts: u32,
    /// Whether the queue was empty at some time in the current window.
    was_idle: bool,
    per_second: Option<f64>,
}

impl Rate {
    pub(crate) fn record_start(&mut self) {
        self.starts = self.starts.saturating_add(1);
    }

    /// Marks the window as partly idle: with an empty queue the starts show the demand, not the
    /// capacity.
    pub(crate) fn record_idle(&mut self) {
        self.was_idle = true;
    }

    /// Closes the current window if it has lasted long enough and updates the rate from it.
    pub(crate) fn tick(&mut self, now: Instant) {
        let Some(window_start) = self.window_start else {
            self.window_start = Some(now);
            return;
        };
        let passed = now.saturating_duration_since(window_start);
        if passed < RATE_WINDOW {
            return;
        }
        let observed = f64::from(self.starts) / passed.as_secs_f64();
        self.per_second = match self.per_second {
            Some(rate) if self.was_idle => Some(rate.max(observed)),
            Some(rate) => Some(rate + RATE_GAIN * (observed - rate)),
            None if self.was_idle => None,
            None => Some(observed),
        };
        self.window_start = Some(now);
        self.starts = 0;
        self.was_idle = false;
    }

    /// Estimates how long a request waits with `ahead` requests before it, if the rate is known.
    pub(crate) fn wait(&self, ahead: u32) -> Option<Duration> {
        let rate = self.per_second.filter(|rate| *rate > 0.0)?;
        Duration::try_from_secs_f64(f64::from(ahead) / rate).ok()
    }
}
