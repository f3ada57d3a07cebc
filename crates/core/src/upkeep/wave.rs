use std::time::Duration;

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
    pub limit: Duration,
    /// Hosts that may be down for it at once.
    pub cap: usize,
}

/// `Tour` is a wave with how far it is.
#[derive(Debug)]
pub(super) struct Tour {
    pub(super) wave: Wave,
    pub(super) done: Set<ids::Host>,
    /// What operators were told: nothing, that it runs, or that it is complete.
    pub(super) told: Option<bool>,
}

impl Tour {
    pub(super) fn new(wave: Wave) -> Self {
        Self {
            wave,
            done: Set::default(),
            told: None,
        }
    }
}
