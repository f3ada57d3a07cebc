//! Checks of what workers report, before the scheduler computes with it.

use super::event::{Exit, Inventory, Report, Status};
use super::worker::Resources;
use crate::job::{MAX_CPU_MILLICORES, MAX_GPUS, MAX_MEMORY_MB};

/// Largest number of a run or an exit and largest time that is believed. Each reader of a body can
/// represent it, and sums with it don't overflow.
pub(super) const MAX_NUMBER: u64 = 1 << 53;

impl Resources {
    /// Checks if a worker may have these resources.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.cpu_millicores <= MAX_CPU_MILLICORES
            && self.memory_mb <= MAX_MEMORY_MB
            && self.gpus <= MAX_GPUS
    }
}

impl Report {
    /// Checks if a worker may have published this entry.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.address.port() != 0 && self.started_at_ms <= MAX_NUMBER && self.capacity.is_valid()
    }
}

impl Inventory {
    /// Checks if the times in the answer are in range. Without them the whole answer is of no use.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.started_at_ms <= MAX_NUMBER && self.clock_ms <= MAX_NUMBER
    }
}

impl Status {
    /// Checks if the number of the run is in range.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.run <= MAX_NUMBER
    }
}

impl Exit {
    /// Checks if the numbers of the exit and of its run are in range.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.sequence <= MAX_NUMBER && self.run <= MAX_NUMBER
    }
}
