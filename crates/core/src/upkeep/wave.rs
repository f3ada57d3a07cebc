use std::time::{Duration, Instant};

use crate::ids;
use crate::map::Set;

/// `Wave` is a maintenance of a set of hosts that operators request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Wave {
    /// Number of the wave.
    pub number: ids::WaveNumber,
    /// Hosts to maintain.
    pub hosts: Vec<ids::Host>,
    /// Time within which all hosts are to be maintained.
    pub time_limit: Duration,
    /// Maximum number of hosts of the wave that may be down at once.
    pub max_down: usize,
}

/// Longest time limit that is planned with; a wave with a longer one is planned to end within this.
const MAX_TIME_LIMIT: Duration = Duration::from_hours(365 * 24);
/// Estimated time to drain and maintain one host.
const HOST_CYCLE: Duration = Duration::from_secs(5);
/// Share of a wave's time limit, in percent, within which it is planned to end. The rest is headroom for
/// hosts that fail meanwhile.
const PLANNED_TIME_PERCENT: u32 = 50;

/// `Rollout` is a requested wave with its progress.
#[derive(Debug)]
pub(super) struct Rollout {
    pub(super) wave: Wave,
    /// Hosts that were maintained.
    pub(super) maintained: Set<ids::Host>,
    /// Time at which this process read the request.
    pub(super) requested_at: Instant,
    /// Completeness last reported to operators; `None` before the first report.
    pub(super) reported_complete: Option<bool>,
}

impl Rollout {
    pub(super) fn new(wave: Wave, requested_at: Instant) -> Self {
        Self {
            wave,
            maintained: Set::default(),
            requested_at,
            reported_complete: None,
        }
    }

    /// Returns the number of hosts to drain or maintain at once so that the wave ends in time.
    ///
    /// `remaining` is the number of hosts that were not maintained yet.
    pub(super) fn concurrency(&self, now: Instant, remaining: usize) -> usize {
        let time_limit = self.wave.time_limit.min(MAX_TIME_LIMIT);
        let planned_end = self.requested_at + time_limit * PLANNED_TIME_PERCENT / 100;
        let time_left = planned_end.saturating_duration_since(now).max(HOST_CYCLE);
        let rounds = usize::try_from(time_left.as_millis() / HOST_CYCLE.as_millis()).unwrap_or(1);
        // One host more than the time requires is drained while the others are maintained.
        let max_down = self.wave.max_down;
        (remaining.div_ceil(rounds) + 1).min(max_down.saturating_add(max_down.div_ceil(2)))
    }
}
