use super::division::{Claim, divide};
use crate::ids;
use crate::map::Map;

/// `Standing` is what a job's account has or has sent without it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Standing {
    /// The account is within its rate and its share, or the job belongs to none.
    #[default]
    Within,
    /// The account has its share of the pool.
    BeyondShare,
    /// The account had sent as much as its rate allows.
    BeyondRate,
}

/// `Entry` is what one account has and wants of a room.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    weight: f64,
    /// Processor time that its tasks have, in millicores.
    running: u64,
    /// Processor time that its waiting tasks want, in millicores.
    waiting: u64,
    /// Its part of the room, in millicores.
    share: u64,
    /// Processor time of its running tasks and of the waiting ones before the next, in millicores.
    claimed: u64,
}

/// `Ledger` is what the client accounts have and want of the room of a pool.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Room for the tasks of accounts, in millicores.
    room: u64,
    entries: Map<ids::Account, Entry>,
}

impl Ledger {
    /// Creates the ledger of a room in millicores: that of the pool's workers without what tasks of no account
    /// have.
    #[must_use]
    pub fn new(room: u64) -> Self {
        Self {
            room,
            entries: Map::default(),
        }
    }

    /// Adds processor time that an account has, in millicores.
    pub fn add_running(&mut self, account: &ids::Account, weight: f64, cpu_millicores: u64) {
        let entry = self.entry(account, weight);
        entry.running = entry.running.saturating_add(cpu_millicores);
    }

    /// Adds processor time that waiting tasks of an account want, in millicores.
    pub fn add_waiting(&mut self, account: &ids::Account, weight: f64, cpu_millicores: u64) {
        let entry = self.entry(account, weight);
        entry.waiting = entry.waiting.saturating_add(cpu_millicores);
    }

    fn entry(&mut self, account: &ids::Account, weight: f64) -> &mut Entry {
        let entry = self.entries.entry(account.clone()).or_default();
        entry.weight = weight;
        entry
    }

    /// Divides the room among the accounts.
    pub fn divide(&mut self) {
        let claim = |entry: &Entry| Claim {
            weight: entry.weight,
            wanted: entry.running.saturating_add(entry.waiting),
        };
        let claims: Vec<Claim> = self.entries.values().map(claim).collect();
        let shares = divide(self.room, &claims);
        for (entry, share) in self.entries.values_mut().zip(shares) {
            entry.share = share;
            entry.claimed = entry.running;
        }
    }

    /// Claims processor time for the waiting tasks of the next job of an account in the order of rank, and returns
    /// whether the job is within the account's share. `running` is what the job has already, in millicores.
    ///
    /// A job is within the share if the account has no more than its share with it, or nothing without it. So a job
    /// that is larger than the share of its account starts as soon as nothing else of the account runs, and goes on;
    /// and an account with many small jobs does not take, job by job, what another with few large ones lacks.
    pub fn claim(&mut self, account: &ids::Account, running: u64, waiting: u64) -> bool {
        let Some(entry) = self.entries.get_mut(account) else {
            return true;
        };
        let others = entry.claimed.saturating_sub(running);
        entry.claimed = entry.claimed.saturating_add(waiting);
        entry.claimed <= entry.share || others == 0
    }
}
