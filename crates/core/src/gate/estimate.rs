//! Estimates from what was observed: the time that requests take and the rate at which they start.

use std::time::{Duration, Instant};

/// Weight of the newest value in a mean.
const MEAN_GAIN: f64 = 0.05;
/// Weight of the newest value in a deviation.
const DEVIATION_GAIN: f64 = 0.1;
/// Deviations that a request may take longer than the mean.
const DEVIATIONS: f64 = 3.0;
/// Weight of the newest window in a rate.
const RATE_GAIN: f64 = 0.3;
/// Length of a window in which starts are counted.
const WINDOW: Duration = Duration::from_millis(250);

/// `Span` estimates how long requests take.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Span {
    /// Mean and deviation in seconds.
    values: Option<(f64, f64)>,
}

impl Span {
    /// Notes that a request took a time.
    pub(crate) fn note(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        let (mean, deviation) = self.values.unwrap_or((took, took / 2.0));
        let error = took - mean;
        self.values = Some((
            mean + MEAN_GAIN * error,
            deviation + DEVIATION_GAIN * (error.abs() - deviation),
        ));
    }

    /// Gets the mean.
    pub(crate) fn mean(&self) -> Option<Duration> {
        self.values.map(|(mean, _)| Duration::from_secs_f64(mean))
    }

    /// Gets a time that few requests exceed.
    pub(crate) fn high(&self) -> Option<Duration> {
        let high = |(mean, deviation)| Duration::from_secs_f64(mean + DEVIATIONS * deviation);
        self.values.map(high)
    }
}

/// `Rate` estimates how many requests start in a second while others wait.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Rate {
    /// Start of the window.
    since: Option<Instant>,
    starts: u32,
    /// Whether the queue was empty at some time in the window.
    idle: bool,
    per_second: Option<f64>,
}

impl Rate {
    /// Notes a start.
    pub(crate) fn note_start(&mut self) {
        self.starts = self.starts.saturating_add(1);
    }

    /// Notes that nothing waits, so the starts do not show what is possible.
    pub(crate) fn note_idle(&mut self) {
        self.idle = true;
    }

    /// Ends a window that is over.
    pub(crate) fn tick(&mut self, now: Instant) {
        let Some(since) = self.since else {
            self.since = Some(now);
            return;
        };
        let passed = now.saturating_duration_since(since);
        if passed < WINDOW {
            return;
        }
        let seen = f64::from(self.starts) / passed.as_secs_f64();
        self.per_second = match self.per_second {
            Some(rate) if self.idle => Some(rate.max(seen)),
            Some(rate) => Some(rate + RATE_GAIN * (seen - rate)),
            None if self.idle => None,
            None => Some(seen),
        };
        self.since = Some(now);
        self.starts = 0;
        self.idle = false;
    }

    /// Gets the time until a request starts that has others ahead of it, when that is known.
    pub(crate) fn wait(&self, ahead: u32) -> Option<Duration> {
        let rate = self.per_second.filter(|rate| *rate > 0.0)?;
        Duration::try_from_secs_f64(f64::from(ahead) / rate).ok()
    }
}
