/// `Room` is an amount of processor time, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Room {
    /// Processor time, in millicores.
    pub cpu_millicores: u64,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Accelerators.
    pub gpus: u64,
}

impl Room {
    /// Checks if `other` fits into it.
    #[must_use]
    pub fn covers(self, other: Self) -> bool {
        self.cpu_millicores >= other.cpu_millicores
            && self.memory_mb >= other.memory_mb
            && self.gpus >= other.gpus
    }

    /// Returns the sum of both.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_add(other.cpu_millicores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            gpus: self.gpus.saturating_add(other.gpus),
        }
    }

    /// Returns what is left without `other`, not below nothing.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_sub(other.cpu_millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }
}
