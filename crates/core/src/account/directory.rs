use bytes::Bytes;

use super::Account;
use crate::ids;
use crate::map::Map;

/// `Directory` is the accounts of a configuration, found by name and by key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Directory {
    accounts: Vec<Account>,
    /// Positions of the accounts by name.
    positions: Map<ids::Account, usize>,
}

impl Directory {
    /// Creates a directory. Of accounts with the same name, the first counts.
    #[must_use]
    pub fn new(accounts: Vec<Account>) -> Self {
        let mut positions = Map::default();
        for (position, account) in accounts.iter().enumerate() {
            positions.entry(account.name.clone()).or_insert(position);
        }
        Self {
            accounts,
            positions,
        }
    }

    /// Checks if there are no accounts, so that no caller needs a key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Iterates over the accounts.
    pub fn iter(&self) -> impl Iterator<Item = &Account> {
        self.accounts.iter()
    }

    /// Finds an account by its name.
    #[must_use]
    pub fn get(&self, name: &ids::Account) -> Option<&Account> {
        let position = self.positions.get(name)?;
        self.accounts.get(*position)
    }

    /// Finds the account that a key belongs to.
    #[must_use]
    pub fn authenticate(&self, key: &Bytes) -> Option<&Account> {
        let has_key = |account: &&Account| account.keys.contains(key);
        self.accounts.iter().find(has_key)
    }
}
