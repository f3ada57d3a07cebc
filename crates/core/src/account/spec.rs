use std::fmt;

use super::Key;
use crate::ids;

/// `Account` is a client account of the configuration.
#[derive(Clone, PartialEq)]
pub struct Account {
    /// Name of the account.
    pub name: ids::Account,
    /// Keys that callers of the account present. They are secrets and appear in no log line and no dump.
    pub keys: Vec<Key>,
    /// Share of the account when all accounts together want more than there is, relative to those of the
    /// others. It is also the rate, in jobs per second, up to which its jobs come before those of accounts
    /// that exceed theirs.
    pub weight: f64,
    /// What the tasks of the account may reserve at once on all workers of all services.
    pub limit: Limit,
}

/// `Limit` is the resources that an account may have in use; `None` for a resource without a limit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Limit {
    /// Processor time, in millicores.
    pub cpu_millicores: Option<u64>,
    /// Memory, in MB.
    pub memory_mb: Option<u64>,
    /// Accelerators.
    pub gpus: Option<u64>,
}

impl fmt::Debug for Account {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Account")
            .field("name", &self.name)
            .field("keys", &self.keys.len())
            .field("weight", &self.weight)
            .field("limit", &self.limit)
            .finish()
    }
}

impl Limit {
    /// Checks if no resource is limited.
    #[must_use]
    pub fn is_unlimited(&self) -> bool {
        *self == Self::default()
    }
}
