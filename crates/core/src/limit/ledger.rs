use super::Loan;
use crate::ids;
use crate::journal::{Demand, Record};
use crate::map::{Map, Set};

/// `Ledger` is the counts of units that the records of a partition hold.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    loans: Map<(ids::Shard, ids::Account), Loan>,
    /// Latest demands of each shard.
    demands: Map<ids::Shard, Vec<Demand>>,
}

impl Ledger {
    /// Applies a record, and returns whether it is about units.
    ///
    /// Records may be read repeatedly and in any order.
    pub fn apply(&mut self, record: &Record) -> bool {
        match record {
            Record::Lent(shard, account, lent) => self.merge(
                *shard,
                account,
                Loan {
                    lent: *lent,
                    returned: 0,
                },
            ),
            Record::Returned(shard, account, returned) => self.merge(
                *shard,
                account,
                Loan {
                    lent: 0,
                    returned: *returned,
                },
            ),
            Record::Demand(shard, demands) => {
                self.demands.insert(*shard, demands.clone());
            }
            Record::Recall(..) => {}
            _ => return false,
        }
        true
    }

    fn merge(&mut self, shard: ids::Shard, account: &ids::Account, loan: Loan) {
        let known = self.loans.entry((shard, account.clone())).or_default();
        known.merge(loan);
    }

    /// Checks if it holds no units.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.loans.is_empty()
    }

    /// Counts the accounts of which there are units.
    #[must_use]
    pub fn account_count(&self) -> usize {
        let accounts: Set<&ids::Account> = self.loans.keys().map(|(_, account)| account).collect();
        accounts.len()
    }

    /// Returns the counts of the units of an account that a shard has.
    #[must_use]
    pub fn loan(&self, shard: ids::Shard, account: &ids::Account) -> Loan {
        let loan = self.loans.get(&(shard, account.clone()));
        loan.copied().unwrap_or_default()
    }

    /// Iterates over the counts.
    pub fn loans(&self) -> impl Iterator<Item = (ids::Shard, &ids::Account, Loan)> {
        let loans = self.loans.iter();
        loans.map(|((shard, account), loan)| (*shard, account, *loan))
    }

    /// Iterates over the latest demands of the shards.
    pub fn demands(&self) -> impl Iterator<Item = (ids::Shard, &[Demand])> {
        let demands = self.demands.iter();
        demands.map(|(shard, demands)| (*shard, demands.as_slice()))
    }
}
