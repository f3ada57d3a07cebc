//! Client accounts with limits in the simulation of a shard.

use std::sync::Arc;

use persimmongate_core::account::{Account, Directory, Limit};
use persimmongate_core::journal::Record;
use persimmongate_core::limit::Notice;
use persimmongate_core::sched::Event;

use super::World;
use super::fixture::config;

/// Creates accounts of which each may have a number of cores in use.
pub(crate) fn accounts(cores: &[(&str, u64)]) -> Directory {
    let account = |(name, cores): &(&str, u64)| Account {
        name: (*name).into(),
        keys: Vec::new(),
        weight: 1.0,
        limit: Limit {
            cpu_millicores: Some(cores * 1_000),
            ..Limit::default()
        },
    };
    Directory::new(cores.iter().map(account).collect())
}

impl World {
    /// Changes the accounts of the configuration, which the newest leader learns at once.
    pub(crate) fn set_accounts(&mut self, accounts: Directory) {
        self.accounts = accounts.clone();
        let config = config(None).with_accounts(accounts);
        let leader = self.leaders.len() - 1;
        self.deliver(leader, Event::Config(Arc::new(config)));
    }

    /// Puts a configuration with client accounts, each with its weight and no limit, in force.
    pub(crate) fn set_weights(&mut self, weights: &[(&str, f64)]) {
        let account = |(name, weight): &(&str, f64)| Account {
            name: (*name).into(),
            keys: Vec::new(),
            weight: *weight,
            limit: Limit::default(),
        };
        self.set_accounts(Directory::new(weights.iter().map(account).collect()));
    }

    /// Tells a new leader of the units that the log has.
    pub(super) fn deliver_loans(&mut self, leader: usize) {
        let loans = self.ledger.loans();
        let loans = loans.map(|(_, account, loan)| Notice::Loan(account.clone(), loan));
        for notice in loans.collect::<Vec<_>>() {
            self.deliver(leader, Event::Limit(notice));
        }
    }

    /// Appends a record of the lender to the partition of the shard, from which its leader reads it.
    pub(crate) fn receive_units(&mut self, record: &Record) {
        self.offset += 1;
        self.ledger.apply(record);
        let notice = match record {
            Record::Lent(shard, account, _) => {
                Notice::Loan(account.clone(), self.ledger.loan(*shard, account))
            }
            Record::Recall(_, recalls) => Notice::Recalled(recalls.clone()),
            _ => return,
        };
        let leader = self.leaders.len() - 1;
        if self.is_current(leader) {
            self.deliver(leader, Event::Limit(notice));
        }
    }

    /// Returns the processor time that the runs of an account reserve on the workers, in millicores.
    pub(crate) fn used_by(&self, account: &str) -> u64 {
        let runs = self.workers.values().filter(|worker| worker.is_up);
        let runs = runs.flat_map(|worker| worker.runs.iter());
        let owned = runs.filter(|(task, _)| {
            let job = self.jobs.get(&task.job);
            job.is_some_and(|job| job.account.as_deref() == Some(account))
        });
        owned.map(|(_, run)| run.resources.cpu_millicores).sum()
    }
}
