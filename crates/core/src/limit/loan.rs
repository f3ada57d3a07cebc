use crate::ids;
use crate::journal::{Recall, Units};

/// Number of units that the right to an account's limit is divided into: so many that the share of one is below a
/// millicore for limits of up to 1,000 cores.
pub const WHOLE: Units = 1 << 20;

/// `Loan` is the counts of the units of one account that went between the lender and a shard.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Loan {
    /// Units that the lender has lent, in total.
    pub lent: Units,
    /// Units that the shard has returned, in total.
    pub returned: Units,
}

impl Loan {
    /// Returns the units that the shard has. Counts that are known late make it smaller, never larger, for the shard,
    /// which knows its own returns, and larger for the lender, which knows what it has lent.
    #[must_use]
    pub fn outstanding(self) -> Units {
        self.lent.saturating_sub(self.returned)
    }

    /// Merges counts from another source. Counts only rise, so the larger one is the newer one.
    pub fn merge(&mut self, other: Self) {
        self.lent = self.lent.max(other.lent);
        self.returned = self.returned.max(other.returned);
    }
}

/// `Notice` tells the leader of a shard about the units of its accounts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Notice {
    /// Counts of the units of an account, as the log has them.
    Loan(ids::Account, Loan),
    /// The lender asks for units.
    Recalled(Vec<Recall>),
    /// The log can't store the count of returned units of an account.
    Unrecorded(ids::Account),
    /// The log of the lender has stored what the leader sent to it (true), or may not have.
    Delivered(bool),
}
