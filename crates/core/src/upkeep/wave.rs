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
/// Estimated time to drain the hosts of a pool with long-running tasks: of a step one or two tasks at a time stop and
/// work again elsewhere, about two seconds each. Hosts of the wave that drain meanwhile get none of these tasks, so
/// that none moves twice.
const MIGRATION_CYCLE: Duration = Duration::from_secs(20);
/// Share of a wave's time limit, in percent, within which it is planned to end. The rest is headroom for
/// hosts that fail meanwhile.
const PLANNED_TIME_PERCENT: u32 = 50;

/// `Rollout` is a requested wave with its progress.
#[derive(Debug)]
pub(super) struct Rollout {
    pub(super) wave: Wave,
    /// Hosts of the wave, for look-ups.
    members: Set<ids::Host>,
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
            members: wave.hosts.iter().cloned().collect(),
            wave,
            maintained: Set::default(),
            requested_at,
            reported_complete: None,
        }
    }

    /// Checks if a host belongs to the wave and was not maintained.
    pub(super) fn is_open(&self, host: &ids::Host) -> bool {
        self.members.contains(host) && !self.maintained.contains(host)
    }

    /// Returns the number of hosts to drain or maintain at once so that the wave ends in time.
    ///
    /// `remaining` is the number of hosts that were not maintained yet.
    pub(super) fn concurrency(&self, now: Instant, remaining: usize) -> usize {
        let max_down = self.wave.max_down;
        let most = max_down.saturating_add(max_down.div_ceil(2));
        if now >= self.planned_end() {
            // Hosts that return from their maintenance keep none of the last ones waiting.
            return most;
        }
        // One host more than the time requires is drained while the others are maintained.
        (remaining.div_ceil(self.rounds(now, HOST_CYCLE)) + 1).min(most)
    }

    /// Returns the number of hosts with long-running tasks to drain at once in the pool of one service.
    ///
    /// `remaining` is the number of such hosts that were not maintained yet.
    pub(super) fn migrations(&self, now: Instant, remaining: usize) -> usize {
        let needed = remaining.div_ceil(self.rounds(now, MIGRATION_CYCLE));
        needed.min(self.wave.max_down)
    }

    fn planned_end(&self) -> Instant {
        let time_limit = self.wave.time_limit.min(MAX_TIME_LIMIT);
        self.requested_at + time_limit * PLANNED_TIME_PERCENT / 100
    }

    /// Returns how often a time fits into what is left until the planned end; 1 at least.
    fn rounds(&self, now: Instant, cycle: Duration) -> usize {
        let time_left = self.planned_end().saturating_duration_since(now).max(cycle);
        usize::try_from(time_left.as_millis() / cycle.as_millis()).unwrap_or(1)
    }
}
