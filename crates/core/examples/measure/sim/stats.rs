//! Statistics of a run.

use std::time::Duration;

use persimmongate_core::outcome::Outcome;

/// `Stats` holds the request counts and latencies of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stats {
    pub(crate) arrived: u64,
    /// Requests answered before their deadline.
    pub(crate) answered_in_time: u64,
    pub(crate) answered_late: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
    /// Time that workers spent on requests answered in time during a flood, in seconds.
    pub(crate) flood_work_s: f64,
    /// Requests answered in time and all requests, of callers that do not flood.
    pub(crate) steady_callers: (u64, u64),
    pub(crate) send_count: u64,
    /// Requests that workers refused because all slots were busy.
    pub(crate) refused: u64,
    pub(crate) cross_zone_sends: u64,
    /// Times from submission to an answer before the deadline, in microseconds.
    latencies_us: Vec<u64>,
}

impl Stats {
    pub(crate) fn record(&mut self, outcome: &Outcome, latency: Duration, is_in_time: bool) {
        match outcome {
            Outcome::Answered(_) if is_in_time => {
                self.answered_in_time += 1;
                let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
                self.latencies_us.push(micros);
            }
            Outcome::Answered(_) => self.answered_late += 1,
            Outcome::NotRun(_) => self.not_run += 1,
            Outcome::Unknown(_) => self.unknown += 1,
        }
    }

    /// Returns a percentile of the times to an answer, in milliseconds.
    pub(crate) fn percentile(&self, percent: usize) -> u64 {
        let mut sorted = self.latencies_us.clone();
        sorted.sort_unstable();
        let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
        sorted.get(index).map_or(0, |micros| micros / 1000)
    }

    pub(crate) fn merge(&mut self, other: &Self) {
        self.arrived += other.arrived;
        self.answered_in_time += other.answered_in_time;
        self.answered_late += other.answered_late;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.send_count += other.send_count;
        self.refused += other.refused;
        self.cross_zone_sends += other.cross_zone_sends;
        self.latencies_us.extend(&other.latencies_us);
    }
}
