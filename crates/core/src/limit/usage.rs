use super::Amount;
use crate::ids;
use crate::map::Map;

/// `Usage` is what the runs of each account reserve on the workers of a shard.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    amounts: Map<ids::Account, Amount>,
    /// What may be in use by any account.
    unattributed: Amount,
    /// Whether there may be runs of which nothing is known.
    is_unknown: bool,
}

impl Usage {
    /// Adds a run of an account.
    pub fn add(&mut self, account: &ids::Account, amount: Amount) {
        match self.amounts.get_mut(account) {
            Some(known) => *known = known.plus(amount),
            None => {
                self.amounts.insert(account.clone(), amount);
            }
        }
    }

    /// Adds what a run of any account may reserve; it counts for each.
    pub fn add_unattributed(&mut self, amount: Amount) {
        self.unattributed = self.unattributed.plus(amount);
    }

    /// Records that there may be runs of which nothing is known.
    pub fn set_unknown(&mut self) {
        self.is_unknown = true;
    }

    /// Checks if there may be runs of which nothing is known.
    #[must_use]
    pub fn is_unknown(&self) -> bool {
        self.is_unknown
    }

    /// Returns what the runs of an account reserve that are known to be its own.
    #[must_use]
    pub fn attributed(&self, account: &ids::Account) -> Amount {
        self.amounts.get(account).copied().unwrap_or_default()
    }

    /// Returns what runs may reserve that may belong to any account; `None` if nothing is known of some.
    #[must_use]
    pub fn unattributed(&self) -> Option<Amount> {
        (!self.is_unknown).then_some(self.unattributed)
    }

    /// Returns what the runs of an account may reserve.
    #[must_use]
    pub fn of(&self, account: &ids::Account) -> Amount {
        self.attributed(account).plus(self.unattributed)
    }
}
