use std::time::{Duration, Instant};

use super::{Amount, Budget, Loan, Notice, Report, Usage, WHOLE};
use crate::account::{Directory, Limit};
use crate::ids;
use crate::journal::{Demand, Recall, Record, Units};
use crate::map::{Map, Set};

/// Divisor of the units in use that gives those that a shard holds beyond them, so that it asks ahead of its need.
const HEADROOM_DIVISOR: Units = 4;
/// Least units that a shard holds beyond those in use.
const MIN_HEADROOM: Units = WHOLE / 32;
/// Units that a shard asks for before it has work of an account, so that its first task need not wait for them: less
/// than the lender has for each of 100 pools.
const INITIAL_UNITS: Units = WHOLE / 128;
/// Least units that a shard returns while nobody lacks them, so that each return is worth its record.
const MIN_RETURN: Units = WHOLE / 64;
/// Time for which a shard goes on returning units after it was asked to: until the lender asks again while units are
/// short.
const RECALL_VALIDITY: Duration = Duration::from_millis(2_500);
/// Shortest time between two demands, so that one tells of all accounts whose work arrived together.
const DEMAND_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a demand that grew a little is sent.
const SMALL_DEMAND_INTERVAL: Duration = Duration::from_millis(500);
/// Growth of a demand that is small.
const SMALL_GROWTH: Units = WHOLE / 64;
/// Time after which a demand that was not met is sent again, as it or the answer may be lost.
const DEMAND_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of accounts in a demand; the others follow when these have got their units.
const MAX_DEMANDS: usize = 128;
/// Maximum number of records that are sent to the lender in one append.
const MAX_DELIVERY: usize = 500;

/// Time after an append for the lender that failed until the next one.
const FAILURE_BACKOFF: Duration = Duration::from_millis(250);
/// Time between two log lines about the accounts whose tasks wait.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of accounts that they name.
const MAX_REPORTS: usize = 5;

/// `Borrower` holds the units of a shard, in the leader's term.
#[derive(Debug, Default)]
pub struct Borrower {
    shard: ids::Shard,
    /// Limits of the configuration, without accounts that have none.
    limits: Map<ids::Account, Limit>,
    accounts: Map<ids::Account, Entry>,
    /// Accounts of which units were returned that the next append records.
    unrecorded: Set<ids::Account>,
    /// Counts of returned units that the append in flight records.
    recording: Vec<(ids::Account, Units)>,
    /// Accounts of which the lender is to be told the count of returned units.
    undelivered: Set<ids::Account>,
    /// Those of which it is being told.
    delivering: Vec<ids::Account>,
    is_delivering: bool,
    /// Time of the latest append for the lender that failed.
    failed_at: Option<Instant>,
    /// Demands that the shard has now.
    demands: Vec<Demand>,
    /// Demands that were sent last, and when; `None` in a new term, as those of an older leader may be in force.
    sent_demands: Option<(Vec<Demand>, Instant)>,
    reports: Vec<Report>,
    /// Time of the latest log line about them.
    reported_at: Option<Instant>,
}

/// `Entry` is the units of one account.
#[derive(Debug, Default)]
struct Entry {
    loan: Loan,
    /// Count of returned units that the log holds.
    recorded: Units,
    /// Latest request for units: the most that the shard may have, and when it was read.
    recall: Option<(Option<Units>, Instant)>,
}

impl Entry {
    fn pressure(&self, now: Instant) -> Pressure {
        let is_in_force = |at: Instant| now.saturating_duration_since(at) < RECALL_VALIDITY;
        match self.recall.filter(|(_, at)| is_in_force(*at)) {
            None => Pressure::None,
            Some((None, _)) => Pressure::Low,
            Some((Some(max), _)) => Pressure::Short(max),
        }
    }
}

/// `Pressure` is how much the units of an account are needed elsewhere.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Pressure {
    /// The shard keeps what it has.
    None,
    /// The lender has few, so that the shard returns what it has no use for.
    Low,
    /// Others lack units, so that the shard may have at most a number and keeps none ahead of its need.
    Short(Units),
}

impl Pressure {
    fn is_short(self) -> bool {
        matches!(self, Self::Short(_))
    }

    /// Returns the most units that the shard may have.
    fn max(self) -> Units {
        match self {
            Self::None | Self::Low => Units::MAX,
            Self::Short(max) => max,
        }
    }

    /// Returns the units that the shard holds beyond those that it wants, so that it seldom has to ask.
    fn headroom(self, wanted: Units) -> Units {
        match self {
            Self::None | Self::Low => (wanted / HEADROOM_DIVISOR).max(MIN_HEADROOM),
            Self::Short(_) => 0,
        }
    }
}

impl Borrower {
    /// Creates the holder of a shard's units in a new term.
    #[must_use]
    pub fn new(shard: ids::Shard) -> Self {
        Self {
            shard,
            ..Self::default()
        }
    }

    /// Applies the accounts of a configuration.
    pub fn set_accounts(&mut self, accounts: &Directory) {
        let limited = accounts
            .iter()
            .filter(|account| !account.limit.is_unlimited());
        // Of accounts with the same name the first counts.
        self.limits.clear();
        for account in limited {
            let limit = accounts.get(&account.name).map(|first| first.limit);
            if let Some(limit) = limit.filter(|limit| !limit.is_unlimited()) {
                self.limits.insert(account.name.clone(), limit);
            }
        }
    }

    /// Checks if no account has a limit and the shard no units, so that nothing needs to be counted.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.limits.is_empty() && self.accounts.is_empty()
    }

    /// Applies what the log says about the units.
    pub fn handle(&mut self, now: Instant, notice: Notice) {
        match notice {
            Notice::Loan(account, loan) => {
                let entry = self.accounts.entry(account).or_default();
                let has_more = loan.lent > entry.loan.lent;
                entry.loan.merge(loan);
                // What the lender lends after its request is meant to be used.
                if let Some((Some(max), _)) = entry.recall.as_mut().filter(|_| has_more) {
                    *max = entry.loan.outstanding().max(*max);
                }
                entry.recorded = entry.recorded.max(loan.returned);
            }
            Notice::Recalled(recalls) => {
                for recall in recalls {
                    self.handle_recall(now, recall);
                }
            }
            // The units stay here, unused in this term: the next leader does not know that they were to go.
            Notice::Unrecorded(account) => self.recording.retain(|(known, _)| *known != account),
            Notice::Delivered(is_stored) => {
                self.is_delivering = false;
                let delivered = std::mem::take(&mut self.delivering);
                if !is_stored {
                    self.undelivered.extend(delivered);
                    self.sent_demands = None;
                    self.failed_at = Some(now);
                }
            }
        }
    }

    fn handle_recall(&mut self, now: Instant, recall: Recall) {
        let Some(entry) = self.accounts.get_mut(&recall.account) else {
            return;
        };
        entry.recall = Some((recall.max_units, now));
        if entry.recorded > recall.returned {
            self.undelivered.insert(recall.account);
        }
    }

    /// Returns what each account may start, given what its runs reserve now.
    #[must_use]
    pub fn budget(&self, now: Instant, usage: &Usage) -> Budget {
        let mut budget = Budget::default();
        for (account, limit) in &self.limits {
            let entry = self.accounts.get(account);
            let held = entry.map_or(0, |entry| entry.loan.outstanding());
            let max = entry.map_or(Units::MAX, |entry| entry.pressure(now).max());
            let allowance = Amount::share(limit, held.min(max));
            let used = usage.of(account);
            let room = if usage.is_unknown() {
                Amount::default()
            } else {
                allowance.minus(used)
            };
            let has_all = held >= WHOLE && used == Amount::default() && !usage.is_unknown();
            budget.insert(
                account.clone(),
                room,
                Amount::share(limit, WHOLE),
                has_all && max >= WHOLE,
            );
        }
        budget
    }

    /// Decides after a pass of placement which units the shard asks for and which it returns.
    pub fn review(&mut self, now: Instant, usage: &Usage, budget: &Budget) {
        self.demands.clear();
        self.reports.clear();
        let mut shortfalls = Vec::new();
        for (account, limit) in &self.limits {
            let known = usage.attributed(account).plus(budget.taken(account));
            let held_back = budget.held_back(account);
            let wanted = known.plus(held_back).units(limit);
            let entry = self.accounts.get(account);
            let loan = entry.map(|entry| entry.loan).unwrap_or_default();
            if wanted == 0 && loan == Loan::default() {
                let demand = Demand {
                    account: account.clone(),
                    units: INITIAL_UNITS,
                    ..Demand::default()
                };
                shortfalls.push((INITIAL_UNITS, demand));
            }
            if wanted == 0 && loan.outstanding() == 0 {
                continue;
            }
            let used = known.unbounded_units(limit);
            let pressure = entry.map_or(Pressure::None, |entry| entry.pressure(now));
            let headroom = pressure.headroom(wanted);
            if wanted > 0 && wanted + headroom / 2 > loan.outstanding() {
                let demand = Demand {
                    account: account.clone(),
                    units: (wanted + headroom).min(WHOLE),
                    lent: loan.lent,
                    first_need: budget.first_need(account).units(limit),
                    used: if used > loan.outstanding() { used } else { 0 },
                };
                if demand.units > loan.outstanding() {
                    let most = demand.units.max(demand.used);
                    shortfalls.push((most - loan.outstanding(), demand));
                }
            }
            self.reports.push(Report {
                account: account.clone(),
                used: known,
                unconfirmed: usage.unattributed(),
                held_back,
                allowance: Amount::share(limit, loan.outstanding()),
                limit: Amount::share(limit, WHOLE),
            });
        }
        if usage.is_unknown() {
            return;
        }
        shortfalls.sort_by(|a, b| (b.0, &a.1.account).cmp(&(a.0, &b.1.account)));
        let demands = shortfalls.into_iter().map(|(_, demand)| demand);
        self.demands = demands.take(MAX_DEMANDS).collect();
        self.return_units(now, usage, budget);
    }

    /// Returns the units that the lender asks for and that no run needs. They count as gone at once.
    fn return_units(&mut self, now: Instant, usage: &Usage, budget: &Budget) {
        for (account, entry) in &mut self.accounts {
            let pressure = entry.pressure(now);
            if pressure == Pressure::None {
                continue;
            }
            let (wanted, used) = self.limits.get(account).map_or((0, 0), |limit| {
                let known = usage.attributed(account).plus(budget.taken(account));
                let wanted = known.plus(budget.held_back(account)).units(limit);
                let used = usage.of(account).plus(budget.taken(account));
                (wanted, used.units(limit))
            });
            let kept = wanted + pressure.headroom(wanted);
            let kept = kept.min(pressure.max()).max(used);
            let excess = entry.loan.outstanding().saturating_sub(kept);
            if excess >= MIN_RETURN || (excess > 0 && pressure.is_short()) {
                entry.loan.returned = entry.loan.returned.saturating_add(excess);
                self.unrecorded.insert(account.clone());
            }
        }
    }

    /// Returns the records that the next append of the leader is to hold.
    pub fn take_records(&mut self) -> Vec<Record> {
        for account in std::mem::take(&mut self.unrecorded) {
            if let Some(entry) = self.accounts.get(&account) {
                self.recording.push((account, entry.loan.returned));
            }
        }
        let records = self.recording.iter();
        let records = records
            .map(|(account, returned)| Record::Returned(self.shard, account.clone(), *returned));
        records.collect()
    }

    /// Applies that the log has stored the records of the latest append.
    pub fn handle_recorded(&mut self) {
        for (account, returned) in std::mem::take(&mut self.recording) {
            if let Some(entry) = self.accounts.get_mut(&account) {
                entry.recorded = entry.recorded.max(returned);
            }
            self.undelivered.insert(account);
        }
    }

    /// Returns records to append to the partition of the lender, at most one append at a time.
    pub fn next_delivery(&mut self, now: Instant) -> Option<Vec<Record>> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < FAILURE_BACKOFF;
        if self.is_delivering || self.failed_at.is_some_and(is_recent) {
            return None;
        }
        let mut records = Vec::new();
        let accounts: Vec<ids::Account> = self.undelivered.iter().cloned().collect();
        for account in accounts.into_iter().take(MAX_DELIVERY) {
            self.undelivered.remove(&account);
            if let Some(entry) = self.accounts.get(&account) {
                records.push(Record::Returned(
                    self.shard,
                    account.clone(),
                    entry.recorded,
                ));
                self.delivering.push(account);
            }
        }
        if self.is_demand_due(now) {
            records.push(Record::Demand(self.shard, self.demands.clone()));
            self.sent_demands = Some((self.demands.clone(), now));
        }
        self.is_delivering = !records.is_empty();
        self.is_delivering.then_some(records)
    }

    fn is_demand_due(&self, now: Instant) -> bool {
        let Some((sent, sent_at)) = &self.sent_demands else {
            return !self.limits.is_empty() || !self.demands.is_empty();
        };
        let age = now.saturating_duration_since(*sent_at);
        if age < DEMAND_INTERVAL {
            return false;
        }
        let growth = |demand: &Demand| {
            let known = sent.iter().find(|sent| sent.account == demand.account);
            let growth = known.map_or(WHOLE, |sent| demand.units.saturating_sub(sent.units));
            let known_use = known.map_or(0, |sent| sent.used);
            let has_changed = growth > 0
                || demand.used != known_use
                || known.is_some_and(|sent| demand.first_need != sent.first_need);
            growth.max(demand.used.abs_diff(known_use)) >= SMALL_GROWTH
                || (has_changed && age >= SMALL_DEMAND_INTERVAL)
        };
        let is_withdrawn = |demand: &Demand| {
            let entry = self.accounts.get(&demand.account);
            let held = entry.map_or(0, |entry| entry.loan.outstanding());
            let is_wanted = || self.demands.iter().any(|d| d.account == demand.account);
            demand.units > held && !is_wanted()
        };
        self.demands.iter().any(growth)
            || sent.iter().any(is_withdrawn)
            || (!self.demands.is_empty() && age >= DEMAND_RETRY_INTERVAL)
    }

    /// Returns the accounts to write log lines about: those whose tasks wait because of their limits, at intervals.
    pub fn due_reports(&mut self, now: Instant) -> Vec<Report> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < REPORT_INTERVAL;
        if self.reported_at.is_some_and(is_recent) {
            return Vec::new();
        }
        let mut reports = Report::top(&self.reports, MAX_REPORTS);
        reports.retain(|report| report.held_back != Amount::default());
        if !reports.is_empty() {
            self.reported_at = Some(now);
        }
        reports
    }

    /// Returns what the latest pass found of each account that has units or work, for operators.
    #[must_use]
    pub fn reports(&self) -> &[Report] {
        &self.reports
    }
}
