//! Counts of a run.

use std::time::Duration;

use persimmongate_core::outcome::Outcome;

/// `Tally` counts the outcomes of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) offered: u64,
    /// Answers inside the deadline.
    pub(crate) answered: u64,
    pub(crate) late: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
    /// Time that workers spent on answers given during the flood, in seconds.
    pub(crate) work: f64,
    /// Answers and requests of callers that do not flood.
    pub(crate) calm: (u64, u64),
    pub(crate) sends: u64,
    pub(crate) refused: u64,
    pub(crate) remote: u64,
    /// Times to an answer, in microseconds.
    latencies: Vec<u64>,
}

impl Tally {
    pub(crate) fn note(&mut self, outcome: &Outcome, took: Duration, in_time: bool) {
        match outcome {
            Outcome::Answered(_) if in_time => {
                self.answered += 1;
                let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
                self.latencies.push(micros);
            }
            Outcome::Answered(_) => self.late += 1,
            Outcome::NotRun(_) => self.not_run += 1,
            Outcome::Unknown(_) => self.unknown += 1,
        }
    }

    /// Gets a percentile of the time to an answer, in milliseconds.
    pub(crate) fn percentile(&self, percent: usize) -> u64 {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
        sorted.get(index).map_or(0, |micros| micros / 1000)
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.offered += other.offered;
        self.answered += other.answered;
        self.late += other.late;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.sends += other.sends;
        self.refused += other.refused;
        self.remote += other.remote;
        self.latencies.extend(&other.latencies);
    }
}
