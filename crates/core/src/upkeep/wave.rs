use std::time::{Duration, Instant};

use crate::ids;
use crate::map::Set;

/// `Wave` is the maintenance of a set of hosts, as operators ask for it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Wave {
    /// Number of the wave.
    pub number: ids::WaveNumber,
    /// Hosts to maintain.
    pub hosts: Vec<ids::Host>,
    /// Time in which all are to be maintained.
    pub time_limit: Duration,
    /// Hosts that may be down for it at once.
    pub max_down: usize,
}

/// Time that a host takes to be freed of tasks and to be maintained.
const CYCLE: Duration = Duration::from_secs(5);
/// Share of a wave's time, in percent, in which it is planned to end; hosts fail meanwhile.
const TIME_PERCENT: u32 = 50;

/// `Tour` is a wave with how far it is.
#[derive(Debug)]
pub(super) struct Tour {
    pub(super) wave: Wave,
    pub(super) done: Set<ids::Host>,
    /// Time at which it was asked for, as far as this process knows.
    pub(super) asked: Instant,
    /// What operators were told: nothing, that it runs, or that it is complete.
    pub(super) told: Option<bool>,
}

impl Tour {
    pub(super) fn new(wave: Wave, asked: Instant) -> Self {
        Self {
            wave,
            done: Set::default(),
            asked,
            told: None,
        }
    }

    /// Gets how many hosts must be under way at once for the wave to end in time.
    pub(super) fn pace(&self, now: Instant, open: usize) -> usize {
        let end = self.asked + self.wave.time_limit * TIME_PERCENT / 100;
        let left = end.saturating_duration_since(now).max(CYCLE);
        let rounds = usize::try_from(left.as_millis() / CYCLE.as_millis()).unwrap_or(1);
        // As many as fit into the time, and one that waits for its tasks meanwhile.
        (open.div_ceil(rounds) + 1).min(self.wave.max_down + self.wave.max_down.div_ceil(2))
    }
}
