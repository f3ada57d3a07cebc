use std::time::{Duration, Instant};

use super::division::{Division, Entry, Turn, divide, spare};
use super::{Ledger, Loan, WHOLE};
use crate::ids;
use crate::journal::{Demand, Recall, Record, Units};
use crate::map::{Map, Set};

/// Shortest time between two rounds of lending, so that one append holds what several shards asked for: about the time
/// that an append takes.
const LEND_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two requests to a shard to return units of an account; shorter than the time for which the shard
/// follows one.
const RECALL_INTERVAL: Duration = Duration::from_secs(1);
/// Units that the lender likes to have at hand. When it has less, shards return what they have no use for.
const RESERVE: Units = WHOLE / 8;
/// Units that the lender keeps when it lends more than a shard asks for. While there is more, a shard gets
/// one part in [`EXTRA_DIVISOR`] of it beyond its demand, so that it need not ask again while nobody comes near the limit.
const EXTRA_RESERVE: Units = WHOLE / 4;
/// Divisor of the units beyond [`EXTRA_RESERVE`] that gives what a shard gets beyond its demand.
const EXTRA_DIVISOR: Units = 4;
/// Time after which a count of lent units is sent again to a shard that does not know it.
const COPY_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of accounts in one request to return units.
const MAX_RECALLS: usize = 256;

/// `Event` is an input of the lender.
#[derive(Clone, Debug)]
pub enum Event {
    /// A shard asks for units; its earlier demands no longer hold.
    Demand(ids::Shard, Vec<Demand>),
    /// The count of the units of an account that a shard has returned.
    Returned(ids::Shard, ids::Account, Units),
    /// The log has stored the counts of lent units of an append.
    Recorded(Vec<(ids::Shard, ids::Account, Units)>),
    /// The delay of `Action::Schedule` has passed.
    Due,
    /// Periodic tick for repeated requests.
    Tick,
}

/// `Action` is an output of the lender.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Record counts of lent units in the lender's partition, and report it as `Event::Recorded`.
    Record(Vec<Record>),
    /// Append records to the partition of a shard, for its leader.
    Send(ids::Shard, Vec<Record>),
    /// Deliver `Event::Due` after a delay.
    Schedule(Duration),
}

/// `Lender` lends the units of all accounts to shards, in the term of its leader.
///
/// It knows nothing of the limits: units are shares of whatever limit is in force.
#[derive(Debug, Default)]
pub struct Lender {
    accounts: Map<ids::Account, Map<ids::Shard, Entry>>,
    /// Accounts whose shards lack units.
    short: Set<ids::Account>,
    /// Accounts to look at in the next round.
    changed: Set<ids::Account>,
    lent_at: Option<Instant>,
    is_scheduled: bool,
}

impl Lender {
    /// Creates the lender of a new term from the counts in its partition, which has all that older terms have lent.
    #[must_use]
    pub fn new(ledger: &Ledger) -> Self {
        let mut lender = Self::default();
        for (shard, account, loan) in ledger.loans() {
            let entry = lender.entry(shard, account);
            entry.loan = loan;
            entry.recorded = loan.lent;
        }
        for (shard, demands) in ledger.demands() {
            lender.set_demands(shard, demands);
        }
        lender
    }

    /// Applies an event and appends the resulting actions to `actions`.
    pub fn step(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Demand(shard, demands) => {
                self.set_demands(shard, &demands);
                self.repeat_copies(now, shard, &demands, actions);
            }
            Event::Returned(shard, account, returned) => {
                let loan = Loan { lent: 0, returned };
                self.entry(shard, &account).loan.merge(loan);
                self.changed.insert(account);
            }
            Event::Recorded(counts) => self.handle_recorded(now, &counts, actions),
            Event::Due => self.is_scheduled = false,
            Event::Tick => self.changed.extend(self.short.iter().cloned()),
        }
        self.lend_if_due(now, actions);
    }

    /// Returns the units that a shard has of an account, as the lender knows.
    #[must_use]
    pub fn outstanding(&self, shard: ids::Shard, account: &ids::Account) -> Units {
        let entry = self.accounts.get(account).and_then(|e| e.get(&shard));
        entry.map_or(0, |entry| entry.loan.outstanding())
    }

    /// Counts the accounts of which shards lack units.
    #[must_use]
    pub fn short_count(&self) -> usize {
        self.short.len()
    }

    fn entry(&mut self, shard: ids::Shard, account: &ids::Account) -> &mut Entry {
        let entries = self.accounts.entry(account.clone()).or_default();
        entries.entry(shard).or_default()
    }

    fn set_demands(&mut self, shard: ids::Shard, demands: &[Demand]) {
        for (account, entries) in &mut self.accounts {
            let entry = entries.get_mut(&shard);
            if entry.is_some_and(Entry::withdraw) {
                self.changed.insert(account.clone());
            }
        }
        for demand in demands {
            let units = demand.units.min(WHOLE);
            let entry = self.entry(shard, &demand.account);
            entry.wanted = Some(units);
            entry.first_need = demand.first_need.min(units);
            entry.used = demand.used;
            entry.used_at = None;
            self.changed.insert(demand.account.clone());
        }
    }

    /// Tells a shard again of units that it does not know of: it may have been told by a leader that the log fenced,
    /// or not at all.
    fn repeat_copies(
        &mut self,
        now: Instant,
        shard: ids::Shard,
        demands: &[Demand],
        actions: &mut Vec<Action>,
    ) {
        let mut copies = Vec::new();
        for demand in demands {
            let entry = self.entry(shard, &demand.account);
            let is_recent = |at: Instant| now.saturating_duration_since(at) < COPY_RETRY_INTERVAL;
            if entry.recorded > demand.lent && !entry.copied_at.is_some_and(is_recent) {
                entry.copied_at = Some(now);
                copies.push(Record::Lent(shard, demand.account.clone(), entry.recorded));
            }
        }
        if !copies.is_empty() {
            actions.push(Action::Send(shard, copies));
        }
    }

    fn handle_recorded(
        &mut self,
        now: Instant,
        counts: &[(ids::Shard, ids::Account, Units)],
        actions: &mut Vec<Action>,
    ) {
        let mut copies: Map<ids::Shard, Vec<Record>> = Map::default();
        for (shard, account, units) in counts {
            let entry = self.entry(*shard, account);
            entry.recorded = entry.recorded.max(*units);
            entry.copied_at = Some(now);
            let copy = Record::Lent(*shard, account.clone(), *units);
            copies.entry(*shard).or_default().push(copy);
        }
        let sends = copies.into_iter();
        actions.extend(sends.map(|(shard, records)| Action::Send(shard, records)));
    }

    fn lend_if_due(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.changed.is_empty() {
            return;
        }
        let due_at = self.lent_at.map(|lent_at| lent_at + LEND_INTERVAL);
        if let Some(due_at) = due_at.filter(|due_at| *due_at > now) {
            if !std::mem::replace(&mut self.is_scheduled, true) {
                actions.push(Action::Schedule(due_at - now));
            }
            return;
        }
        self.lent_at = Some(now);
        let mut records = Vec::new();
        let mut recalls: Map<ids::Shard, Vec<Recall>> = Map::default();
        for account in std::mem::take(&mut self.changed) {
            let Some(entries) = self.accounts.get_mut(&account) else {
                continue;
            };
            let division = divide(now, entries);
            lend(&account, entries, division, &mut records);
            recall(now, &account, entries, division, &mut recalls);
            let is_short = division != Division::Unlimited;
            if is_short {
                self.short.insert(account);
            } else {
                self.short.remove(&account);
            }
        }
        if !records.is_empty() {
            actions.push(Action::Record(records));
        }
        for (shard, mut recalls) in recalls {
            recalls.truncate(MAX_RECALLS);
            let record = Record::Recall(shard, recalls);
            actions.push(Action::Send(shard, vec![record]));
        }
    }
}

/// Lends units of an account to the shards that ask for them: in the order of their turns, or those with the fewest
/// units first.
fn lend(
    account: &ids::Account,
    entries: &mut Map<ids::Shard, Entry>,
    division: Division,
    records: &mut Vec<Record>,
) {
    if division == Division::Exceeded {
        return;
    }
    let mut spare = spare(entries);
    let is_short = division != Division::Unlimited;
    let mut takers: Vec<(&ids::Shard, &mut Entry)> = entries
        .iter_mut()
        .filter(|(_, entry)| entry.unmet() > 0)
        .collect();
    takers.sort_by_key(|(shard, entry)| {
        let turn =
            (division == Division::Turns).then_some((entry.turn == Turn::Over, entry.turn_number));
        (turn, entry.loan.outstanding(), **shard)
    });
    for (shard, entry) in takers {
        let most = entry.max_units.saturating_sub(entry.loan.outstanding());
        // Units for what runs were never spare.
        let uncovered = entry.uncovered();
        let beyond = entry.unmet().min(most).saturating_sub(uncovered).min(spare);
        let units = uncovered + beyond;
        if units > 0 {
            spare -= beyond;
            let extra = spare.saturating_sub(EXTRA_RESERVE) / EXTRA_DIVISOR;
            let extra = if is_short { 0 } else { extra };
            spare -= extra;
            let units = units + extra;
            entry.loan.lent = entry.loan.lent.saturating_add(units);
            records.push(Record::Lent(*shard, account.clone(), entry.loan.lent));
        }
    }
}

/// Asks the shards that have units of an account to return some, if units are short or the reserve is low.
fn recall(
    now: Instant,
    account: &ids::Account,
    entries: &mut Map<ids::Shard, Entry>,
    division: Division,
    recalls: &mut Map<ids::Shard, Vec<Recall>>,
) {
    let is_short = division != Division::Unlimited;
    if !is_short && spare(entries) >= RESERVE {
        return;
    }
    for (shard, entry) in entries {
        let max_units = is_short.then_some(entry.max_units);
        let is_in_force = |(at, known): (Instant, Option<Units>)| {
            let is_recent = now.saturating_duration_since(at) < RECALL_INTERVAL;
            let holds = match division {
                Division::Unlimited => true,
                Division::Level => known.is_some(),
                Division::Turns | Division::Exceeded => known == max_units,
            };
            is_recent && holds
        };
        // A shard that gets units now has none to return.
        let has_none = entry.loan.outstanding() == 0
            || (entry.unmet() > 0 && max_units.is_some_and(|max| entry.loan.outstanding() <= max));
        if has_none || entry.recalled.is_some_and(is_in_force) {
            continue;
        }
        entry.recalled = Some((now, max_units));
        recalls.entry(*shard).or_default().push(Recall {
            account: account.clone(),
            max_units,
            returned: entry.loan.returned,
        });
    }
}
