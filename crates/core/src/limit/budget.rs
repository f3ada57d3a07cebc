use super::Amount;
use crate::ids;
use crate::map::Map;

/// `Budget` is what each account with a limit may still start in one pass of placement, and what was held back.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    accounts: Map<ids::Account, Entry>,
}

/// `Entry` is the budget of one account.
#[derive(Clone, Debug)]
struct Entry {
    room: Amount,
    limit: Amount,
    /// Whether one task may start that exceeds the limit: nothing of the account runs on any worker.
    may_exceed: bool,
    /// What was started in the pass.
    taken: Amount,
    held_back: Amount,
    /// What the first task or gang needs that was held back.
    first_need: Option<Amount>,
}

impl Budget {
    /// Sets what an account may start, and its limit. `may_exceed` tells whether the shard has the whole limit and
    /// nothing in use.
    pub(super) fn insert(
        &mut self,
        account: ids::Account,
        room: Amount,
        limit: Amount,
        may_exceed: bool,
    ) {
        let entry = Entry {
            room,
            limit,
            may_exceed,
            taken: Amount::default(),
            held_back: Amount::default(),
            first_need: None,
        };
        self.accounts.insert(account, entry);
    }

    /// Returns how many tasks of an account may start that each need an amount. A task that exceeds the limit by
    /// itself may run alone.
    #[must_use]
    pub fn max_starts(&self, account: Option<&ids::Account>, need: Amount) -> u64 {
        if self.accounts.is_empty() {
            return u64::MAX;
        }
        let entry = account.and_then(|account| self.accounts.get(account));
        entry.map_or(u64::MAX, |entry| {
            let count = entry.room.fit_count(need);
            let is_oversized = entry.limit.fit_count(need) == 0;
            count.max(u64::from(entry.may_exceed && is_oversized))
        })
    }

    /// Counts starts of an account.
    pub fn take(&mut self, account: Option<&ids::Account>, amount: Amount) {
        if let Some(entry) = account.and_then(|account| self.accounts.get_mut(account)) {
            entry.room = entry.room.minus(amount);
            entry.taken = entry.taken.plus(amount);
            entry.may_exceed = false;
        }
    }

    /// Records a number of tasks that did not start because of the limit of their account, each of which needs an
    /// amount. What comes after them waits as well, so that small tasks don't keep a large one from its turn.
    pub fn hold_back(&mut self, account: Option<&ids::Account>, need: Amount, count: u64) {
        if let Some(entry) = account.and_then(|account| self.accounts.get_mut(account)) {
            entry.held_back = entry.held_back.plus(need.times(count));
            entry.first_need.get_or_insert(need);
            entry.room = Amount::default();
        }
    }

    /// Records a gang that did not start because of the limit of its account. A gang that exceeds the limit can
    /// never start, so nothing waits for it.
    pub fn hold_back_gang(&mut self, account: Option<&ids::Account>, need: Amount) {
        let entry = account.and_then(|account| self.accounts.get(account));
        if entry.is_some_and(|entry| entry.limit.fit_count(need) > 0) {
            self.hold_back(account, need, 1);
        }
    }

    /// Returns what tasks of an account reserve that were started in the pass.
    #[must_use]
    pub fn taken(&self, account: &ids::Account) -> Amount {
        let entry = self.accounts.get(account);
        entry.map(|entry| entry.taken).unwrap_or_default()
    }

    /// Returns what tasks of an account would have reserved that did not start because of its limit.
    #[must_use]
    pub fn held_back(&self, account: &ids::Account) -> Amount {
        let entry = self.accounts.get(account);
        entry.map(|entry| entry.held_back).unwrap_or_default()
    }

    /// Returns what the first task or gang of an account needs that did not start because of its limit.
    #[must_use]
    pub fn first_need(&self, account: &ids::Account) -> Amount {
        let entry = self.accounts.get(account);
        entry.and_then(|entry| entry.first_need).unwrap_or_default()
    }
}
