use super::WHOLE;
use crate::account::Limit;
use crate::journal::Units;

/// `Amount` is an amount of processor time, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Amount {
    /// Processor time, in millicores.
    pub cpu_millicores: u64,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Accelerators.
    pub gpus: u64,
}

impl Amount {
    /// Amount of a resource that has no limit.
    const UNLIMITED: u64 = u64::MAX;

    /// Returns the share of a limit that some units give, rounded down.
    pub(super) fn share(limit: &Limit, units: Units) -> Self {
        let share = |limit: Option<u64>| {
            limit.map_or(Self::UNLIMITED, |limit| {
                let share = u128::from(limit) * u128::from(units.min(WHOLE)) / u128::from(WHOLE);
                u64::try_from(share).unwrap_or(Self::UNLIMITED)
            })
        };
        Self {
            cpu_millicores: share(limit.cpu_millicores),
            memory_mb: share(limit.memory_mb),
            gpus: share(limit.gpus),
        }
    }

    /// Returns the units whose share of a limit covers the amount; at most [`WHOLE`].
    pub(super) fn units(self, limit: &Limit) -> Units {
        self.unbounded_units(limit).min(WHOLE)
    }

    /// Returns the units whose share of a limit would cover the amount, also if they are more than [`WHOLE`].
    pub(super) fn unbounded_units(self, limit: &Limit) -> Units {
        let units = |amount: u64, limit: Option<u64>| match limit {
            None => 0,
            Some(_) if amount == 0 => 0,
            Some(0) => WHOLE,
            Some(limit) => {
                let units = (u128::from(amount) * u128::from(WHOLE)).div_ceil(u128::from(limit));
                Units::try_from(units).unwrap_or(Units::MAX)
            }
        };
        units(self.cpu_millicores, limit.cpu_millicores)
            .max(units(self.memory_mb, limit.memory_mb))
            .max(units(self.gpus, limit.gpus))
    }

    /// Returns how many times `need` fits into the amount.
    pub(crate) fn fit_count(self, need: Self) -> u64 {
        let count = |amount: u64, need: u64| amount.checked_div(need).unwrap_or(u64::MAX);
        count(self.cpu_millicores, need.cpu_millicores)
            .min(count(self.memory_mb, need.memory_mb))
            .min(count(self.gpus, need.gpus))
    }

    /// Returns the sum of two amounts.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_add(other.cpu_millicores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            gpus: self.gpus.saturating_add(other.gpus),
        }
    }

    /// Returns the amount without another, at least 0.
    pub(super) fn minus(self, other: Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_sub(other.cpu_millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }

    /// Returns the amount a number of times.
    #[must_use]
    pub fn times(self, count: u64) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            gpus: self.gpus.saturating_mul(count),
        }
    }
}
