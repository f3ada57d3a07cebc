use std::fmt;
use std::hash::{BuildHasher, RandomState};

use super::{Account, Key};
use crate::ids;
use crate::map::Map;

/// `Directory` is the accounts of a configuration, found by name and by key.
#[derive(Clone, Default)]
pub struct Directory {
    accounts: Vec<Account>,
    /// Whether accounts are configured, even if there are none, so that callers need keys.
    requires_keys: bool,
    /// Positions of the accounts by name.
    positions: Map<ids::Account, usize>,
    /// Hash function with random parameters of its own, so that callers can't know which hashes are near each other.
    hasher: RandomState,
    /// Keys with the positions of their accounts, by the hash of the key.
    keys: Map<u64, Vec<(Key, usize)>>,
}

impl Directory {
    /// Creates the directory of a configuration that has accounts.
    ///
    /// Of accounts with the same name, the first counts, with the keys of all. A key of several accounts belongs to the
    /// one whose name sorts first, whatever the order in which they are given.
    #[must_use]
    pub fn new(mut accounts: Vec<Account>) -> Self {
        accounts.sort_by(|one, other| one.name.cmp(&other.name));
        accounts.dedup_by(|next, kept| {
            let is_same = next.name == kept.name;
            if is_same {
                kept.keys.append(&mut next.keys);
            }
            is_same
        });
        let mut directory = Self {
            requires_keys: true,
            ..Self::default()
        };
        for (position, account) in accounts.iter().enumerate() {
            let name = account.name.clone();
            directory.positions.insert(name, position);
            for key in &account.keys {
                let hash = directory.hasher.hash_one(key);
                let keys = directory.keys.entry(hash).or_default();
                if keys.iter().all(|(known, _)| known != key) {
                    keys.push((key.clone(), position));
                }
            }
        }
        Self {
            accounts,
            ..directory
        }
    }

    /// Checks if there are no accounts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Checks if callers of queues that are not open need the key of an account.
    #[must_use]
    pub fn requires_keys(&self) -> bool {
        self.requires_keys
    }

    /// Iterates over the accounts, in the order of their names.
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
    ///
    /// The time depends on the keyed hash of the key, which callers can't compute, and not on how much of the key is
    /// that of an account.
    #[must_use]
    pub fn authenticate(&self, key: &Key) -> Option<&Account> {
        let keys = self.keys.get(&self.hasher.hash_one(key))?;
        let (_, position) = keys.iter().find(|(known, _)| known == key)?;
        self.accounts.get(*position)
    }

    /// Iterates over the keys that several accounts claim, as the account that has the key and one that doesn't get it.
    pub fn conflicts(&self) -> impl Iterator<Item = (&Account, &Account)> {
        let keys = self
            .iter()
            .flat_map(|account| account.keys.iter().map(move |key| (account, key)));
        keys.filter_map(|(account, key)| {
            let owner = self.authenticate(key)?;
            (owner.name != account.name).then_some((owner, account))
        })
    }
}

impl fmt::Debug for Directory {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Directory")
            .field("accounts", &self.accounts)
            .field("requires_keys", &self.requires_keys)
            .finish_non_exhaustive()
    }
}

impl PartialEq for Directory {
    fn eq(&self, other: &Self) -> bool {
        self.accounts == other.accounts && self.requires_keys == other.requires_keys
    }
}
