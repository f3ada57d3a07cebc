//! Tests of the decisions about limits of client accounts: who gets units, and who returns some.

mod borrower;
mod lender;
mod size;

use std::time::{Duration, Instant};

use persimmongate_core::account::{Account, Directory, Limit};
use persimmongate_core::ids;
use persimmongate_core::journal::{Demand, Record, Units};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn demand(units: Units, lent: Units) -> Demand {
    Demand {
        account: "a".into(),
        units,
        lent,
        ..Demand::default()
    }
}

/// Creates accounts that may have 100 cores in use each.
fn directory(names: &[&str]) -> Directory {
    let account = |name: &&str| Account {
        name: (*name).into(),
        keys: Vec::new(),
        weight: 1.0,
        limit: Limit {
            cpu_millicores: Some(100_000),
            ..Limit::default()
        },
    };
    Directory::new(names.iter().map(account).collect())
}

fn lent(shard: ids::Shard, units: Units) -> Record {
    Record::Lent(shard, "a".into(), units)
}

fn start() -> Instant {
    Instant::now()
}
