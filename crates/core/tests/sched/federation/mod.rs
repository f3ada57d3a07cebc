//! Simulation of several shards with one lender of the accounts' limits, over a log that keeps its promises.

use std::collections::VecDeque;
use std::time::Duration;

use persimmongate_core::ids;
use persimmongate_core::journal::{Demand, Record, Units};
use persimmongate_core::limit::{Action, Event, Ledger, Lender, Notice};
use persimmongate_core::sched;

use crate::world::World;

/// Time between two looks at all shards.
const SLICE: Duration = Duration::from_millis(5);
/// Slices that an append and the next read of it take.
const APPEND_SLICES: u64 = 4;
/// Slices between two ticks of the lender.
const TICK_SLICES: u64 = 50;

/// `Delivery` is a message on its way.
enum Delivery {
    /// Records of a leader for the lender: position of the shard, leader.
    Notify(usize, usize, Vec<Record>),
    /// Records of a lender for its own partition, by the number of the lender.
    Record(usize, Vec<Record>),
    /// Records of a lender for a shard.
    Send(ids::Shard, Vec<Record>),
    /// The delay of a lender has passed.
    Due(usize),
}

/// `Federation` is shards with a lender.
pub(crate) struct Federation {
    pub(crate) shards: Vec<World>,
    lender: Lender,
    /// Number of the lender; messages of older ones are fenced by the log.
    lender_number: usize,
    /// Whether the lender has processor time.
    pub(crate) is_lender_up: bool,
    /// Whether the lender reaches the log.
    pub(crate) is_lender_served: bool,
    /// Whether the log refuses the records of older lenders.
    pub(crate) has_fencing: bool,
    /// Partition of the fleet.
    ledger: Ledger,
    deliveries: VecDeque<(u64, Delivery)>,
    slice: u64,
    /// Limits in force within the latest seconds, in millicores.
    limits: Vec<(String, u64)>,
    /// Largest task in use, in millicores.
    pub(crate) largest_task: u64,
    used: Vec<u64>,
    pub(crate) violations: Vec<String>,
    /// Appends to partitions of others, by the lender and the shards.
    pub(crate) calls: usize,
}

impl Federation {
    /// Creates a federation in which each shard has a number of workers, of 8 cores each.
    pub(crate) fn new(shard_count: u32, workers: usize, seed: u64, limits: &[(&str, u64)]) -> Self {
        let accounts = crate::world::accounts(limits);
        let shards = (1..=shard_count).map(|shard| {
            let seed = seed * 100 + u64::from(shard);
            World::with_accounts(shard, workers, seed, accounts.clone())
        });
        Self {
            shards: shards.collect(),
            lender: Lender::default(),
            lender_number: 0,
            is_lender_up: true,
            is_lender_served: true,
            has_fencing: true,
            ledger: Ledger::default(),
            deliveries: VecDeque::new(),
            slice: 0,
            limits: limits
                .iter()
                .map(|(name, cores)| ((*name).to_owned(), cores * 1_000))
                .collect(),
            largest_task: 2_000,
            used: vec![0; limits.len()],
            violations: Vec::new(),
            calls: 0,
        }
    }

    /// Changes the limits. The higher of the old and the new one counts until [`Self::settle_limits`].
    pub(crate) fn set_limits(&mut self, limits: &[(&str, u64)]) {
        for ((_, known), (_, cores)) in self.limits.iter_mut().zip(limits) {
            *known = (*known).max(cores * 1_000);
        }
        for shard in &mut self.shards {
            shard.set_accounts(crate::world::accounts(limits));
        }
    }

    /// Lets only the newest limits count.
    pub(crate) fn settle_limits(&mut self, limits: &[(&str, u64)]) {
        for ((_, known), (_, cores)) in self.limits.iter_mut().zip(limits) {
            *known = cores * 1_000;
        }
    }

    /// Replaces the lender by one that knows what its partition holds.
    pub(crate) fn replace_lender(&mut self) {
        self.lender_number += 1;
        self.lender = Lender::new(&self.ledger);
        self.is_lender_up = true;
        self.is_lender_served = true;
    }

    /// Returns the lender as it is, to act as an older one that has not noticed its successor.
    pub(crate) fn take_lender(&mut self) -> Lender {
        std::mem::take(&mut self.lender)
    }

    /// Lets an older lender handle an event, with the number that it had.
    pub(crate) fn step_old_lender(&mut self, number: usize, lender: &mut Lender, event: Event) {
        let mut actions = Vec::new();
        lender.step(self.shards[0].now, event, &mut actions);
        self.perform(number, actions);
    }

    /// Lets a shard ask for units, as its leader would.
    pub(crate) fn demand(&mut self, shard: ids::Shard, demand: Demand) {
        self.receive(Record::Demand(shard, vec![demand]));
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let slices = time.as_millis() / SLICE.as_millis();
        for _ in 0..slices {
            self.advance();
        }
    }

    fn advance(&mut self) {
        self.slice += 1;
        for position in 0..self.shards.len() {
            self.shards[position].run(SLICE);
            for (leader, records) in std::mem::take(&mut self.shards[position].outbox) {
                self.calls += 1;
                self.post(Delivery::Notify(position, leader, records), APPEND_SLICES);
            }
        }
        if self.slice.is_multiple_of(TICK_SLICES) {
            self.step_lender(Event::Tick);
        }
        let due = self.deliveries.iter().position(|(at, _)| *at <= self.slice);
        let mut due = due.and_then(|position| self.deliveries.remove(position));
        while let Some((_, delivery)) = due {
            self.deliver(delivery);
            let next = self.deliveries.iter().position(|(at, _)| *at <= self.slice);
            due = next.and_then(|position| self.deliveries.remove(position));
        }
        self.check();
    }

    fn post(&mut self, delivery: Delivery, slices: u64) {
        self.deliveries.push_back((self.slice + slices, delivery));
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Notify(position, leader, records) => {
                let is_served = self.shards[position].leaders[leader].is_log_reachable;
                if is_served {
                    for record in records {
                        self.receive(record);
                    }
                }
                let event = sched::Event::Limit(Notice::Delivered(is_served));
                self.shards[position].deliver(leader, event);
            }
            Delivery::Record(number, records) => {
                if self.has_fencing && number != self.lender_number {
                    return;
                }
                for record in &records {
                    self.ledger.apply(record);
                }
                let counts = records.into_iter().filter_map(|record| match record {
                    Record::Lent(shard, account, units) => Some((shard, account, units)),
                    _ => None,
                });
                let counts: Vec<(ids::Shard, ids::Account, Units)> = counts.collect();
                if number == self.lender_number {
                    self.step_lender(Event::Recorded(counts));
                } else {
                    for (shard, account, units) in counts {
                        let record = Record::Lent(shard, account, units);
                        self.post(Delivery::Send(shard, vec![record]), APPEND_SLICES);
                    }
                }
            }
            Delivery::Send(shard, records) => {
                let position = shard as usize - 1;
                for record in &records {
                    self.shards[position].receive_units(record);
                }
            }
            Delivery::Due(number) if number == self.lender_number => self.step_lender(Event::Due),
            Delivery::Due(_) => {}
        }
    }

    /// Appends a record to the partition of the fleet, which the lender reads.
    fn receive(&mut self, record: Record) {
        self.ledger.apply(&record);
        match record {
            Record::Demand(shard, demands) => self.step_lender(Event::Demand(shard, demands)),
            Record::Returned(shard, account, units) => {
                self.step_lender(Event::Returned(shard, account, units));
            }
            _ => {}
        }
    }

    fn step_lender(&mut self, event: Event) {
        if !self.is_lender_up || !self.is_lender_served {
            return;
        }
        let mut actions = Vec::new();
        self.lender.step(self.shards[0].now, event, &mut actions);
        self.perform(self.lender_number, actions);
    }

    fn perform(&mut self, number: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Record(records) => {
                    self.post(Delivery::Record(number, records), APPEND_SLICES);
                }
                Action::Send(shard, records) => {
                    self.calls += 1;
                    self.post(Delivery::Send(shard, records), APPEND_SLICES);
                }
                Action::Schedule(wait) => {
                    let slices = wait.as_millis().div_ceil(SLICE.as_millis());
                    let slices = u64::try_from(slices).unwrap();
                    self.post(Delivery::Due(number), slices);
                }
            }
        }
    }

    /// Returns the processor time that an account has in use, in millicores.
    pub(crate) fn used(&self, account: &str) -> u64 {
        self.shards.iter().map(|shard| shard.used_by(account)).sum()
    }

    /// Checks that no start brought an account above its limit.
    fn check(&mut self) {
        for position in 0..self.limits.len() {
            let (account, limit) = self.limits[position].clone();
            let used = self.used(&account);
            // Stricter than the platform, which allows a tenth and one task more.
            let most = limit.max(self.largest_task);
            if used > most && used > self.used[position] {
                let at = self.shards[0].now - self.shards[0].started_at;
                let by_shard: Vec<u64> = self.shards.iter().map(|s| s.used_by(&account)).collect();
                self.violations.push(format!(
                    "{at:?}: {account} has {by_shard:?} in use, limit {limit}"
                ));
            }
            self.used[position] = used;
        }
    }

    /// Returns all violations, those of the shards among them.
    pub(crate) fn violations_found(&self) -> Vec<String> {
        let shards = self.shards.iter().flat_map(World::violations_found);
        self.violations.iter().cloned().chain(shards).collect()
    }
}
