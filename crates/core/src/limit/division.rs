//! Division of the units of one account among the shards that ask for them.

use std::time::{Duration, Instant};

use super::{Loan, WHOLE};
use crate::ids;
use crate::journal::Units;
use crate::map::Map;

/// Time for which a shard keeps the units of its turn when there are too few for a task in each shard: long against the
/// time in which units move between shards.
const TURN_DURATION: Duration = Duration::from_secs(1);
/// Time for which a shard's use beyond its units counts without being told again: until the leases of its workers have
/// ended, if nobody leads it any more.
const USE_VALIDITY: Duration = Duration::from_secs(20);

/// `Turn` is the state of a shard while shards take turns.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum Turn {
    /// The shard has no turn.
    #[default]
    Over,
    /// It gets units for its first task.
    Filling,
    /// It has had them since a point in time.
    Filled(Instant),
}

/// `Entry` is the units of one account that one shard has.
#[derive(Debug, Default)]
pub(super) struct Entry {
    pub(super) loan: Loan,
    /// Count of lent units that the log holds.
    pub(super) recorded: Units,
    /// Time at which the shard was last told of it.
    pub(super) copied_at: Option<Instant>,
    /// Units that the shard asks for.
    pub(super) wanted: Option<Units>,
    /// Units that the first task or gang needs that waits for the limit.
    pub(super) first_need: Units,
    /// Units that its use is worth, if that is more than it has.
    pub(super) used: Units,
    /// Time at which the lender first counted this use.
    pub(super) used_at: Option<Instant>,
    /// Most units that the shard may have.
    pub(super) max_units: Units,
    pub(super) turn: Turn,
    /// Number of its latest turn.
    pub(super) turn_number: u64,
    /// Latest request to return units, and the most units that the shard may have by it.
    pub(super) recalled: Option<(Instant, Option<Units>)>,
}

impl Entry {
    /// Returns the units that the shard asks for, or those that it has if it asks for none.
    pub(super) fn wish(&self) -> Units {
        self.wanted.unwrap_or_else(|| self.loan.outstanding())
    }

    /// Removes the demand, and returns whether there was one.
    pub(super) fn withdraw(&mut self) -> bool {
        self.first_need = 0;
        self.used = 0;
        self.used_at = None;
        self.wanted.take().is_some()
    }

    /// Returns the units that others can't have: those of the shard, or as many as its use is worth.
    pub(super) fn committed(&self) -> Units {
        self.loan.outstanding().max(self.used)
    }

    /// Returns the units that the shard lacks for what runs there.
    pub(super) fn uncovered(&self) -> Units {
        self.committed() - self.loan.outstanding()
    }

    /// Drops the use if the shard has not told of it for long.
    pub(super) fn expire_use(&mut self, now: Instant) {
        if self.used > 0 {
            let used_at = *self.used_at.get_or_insert(now);
            if now.saturating_duration_since(used_at) >= USE_VALIDITY {
                self.used = 0;
            }
        }
    }

    pub(super) fn unmet(&self) -> Units {
        let wanted = self.wanted.unwrap_or(0);
        wanted.saturating_sub(self.loan.outstanding())
    }
}

/// Returns the units that shards have or that their use is worth.
fn committed(entries: &Map<ids::Shard, Entry>) -> Units {
    let committed = entries.values().map(Entry::committed);
    committed.fold(0, Units::saturating_add)
}

/// Returns the units that no shard has and no use is worth.
pub(super) fn spare(entries: &Map<ids::Shard, Entry>) -> Units {
    WHOLE.saturating_sub(committed(entries))
}

/// `Division` is how the units of an account are divided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Division {
    /// There are enough for all.
    Unlimited,
    /// Each shard may have as many as any other.
    Level,
    /// Some shards have enough for a task, each in its turn.
    Turns,
    /// What runs is worth more than all units, as the limit has fallen or is new. No shard may start anything.
    Exceeded,
}

/// Sets the most units that each shard may have.
pub(super) fn divide(now: Instant, entries: &mut Map<ids::Shard, Entry>) -> Division {
    for entry in entries.values_mut() {
        entry.expire_use(now);
    }
    if committed(entries) > WHOLE {
        for entry in entries.values_mut() {
            entry.max_units = 0;
            entry.turn = Turn::Over;
        }
        return Division::Exceeded;
    }
    let unmet = entries
        .values()
        .map(|entry| entry.unmet().saturating_sub(entry.uncovered()));
    let unmet = unmet.fold(0, Units::saturating_add);
    let is_short = unmet > spare(entries);
    let level = if is_short { level(entries) } else { WHOLE };
    for entry in entries.values_mut() {
        entry.max_units = level;
    }
    if entries.values().any(|entry| entry.first_need > level) {
        take_turns(now, level, entries);
        return Division::Turns;
    }
    for entry in entries.values_mut() {
        entry.turn = Turn::Over;
    }
    if is_short {
        Division::Level
    } else {
        Division::Unlimited
    }
}

/// Gives all units to the shards that have a turn. The one that has waited longest is next, and none passes it, so that
/// small tasks elsewhere don't keep a large one from its turn.
fn take_turns(now: Instant, level: Units, entries: &mut Map<ids::Shard, Entry>) {
    let mut last_number = entries.values().map(|e| e.turn_number).max().unwrap_or(0);
    for entry in entries.values_mut() {
        let is_over = |since: Instant| now.saturating_duration_since(since) >= TURN_DURATION;
        let is_done = matches!(entry.turn, Turn::Filled(since) if is_over(since));
        if entry.first_need == 0 || is_done {
            entry.turn = Turn::Over;
        }
        entry.max_units = 0;
    }
    let mut order: Vec<(&ids::Shard, &mut Entry)> = entries.iter_mut().collect();
    order.sort_by_key(|(shard, entry)| {
        let (has_turn, waits) = (entry.turn != Turn::Over, entry.first_need > 0);
        (!has_turn, !waits, entry.turn_number, **shard)
    });
    let mut left = WHOLE;
    let mut is_blocked = false;
    for (_, entry) in &mut order {
        let share = entry.wish().min(level.max(entry.first_need)).min(left);
        if entry.first_need == 0 {
            // Nothing waits there, so it is not owed what those before it can't use.
            entry.max_units = if is_blocked { 0 } else { share };
        } else if entry.turn != Turn::Over || (!is_blocked && share >= entry.first_need) {
            if entry.turn == Turn::Over {
                last_number += 1;
                entry.turn_number = last_number;
                entry.turn = Turn::Filling;
            }
            entry.max_units = share;
        } else {
            is_blocked = true;
        }
        left -= entry.max_units;
    }
    for (_, entry) in &mut order {
        if entry.turn != Turn::Over {
            let more = entry.wish().saturating_sub(entry.max_units).min(left);
            entry.max_units += more;
            left -= more;
        }
        if entry.turn == Turn::Filling && entry.loan.outstanding() >= entry.first_need {
            entry.turn = Turn::Filled(now);
        }
    }
}

/// Returns the most units that a shard may have so that all shards have what they ask for or as much as any other.
fn level(entries: &Map<ids::Shard, Entry>) -> Units {
    let wishes = entries.values().map(Entry::wish);
    let mut wishes: Vec<Units> = wishes.filter(|wish| *wish > 0).collect();
    wishes.sort_unstable();
    let mut left = WHOLE;
    let mut shards = wishes.len() as u64;
    for wish in wishes {
        let share = left / shards;
        if wish > share {
            return share;
        }
        left -= wish;
        shards -= 1;
    }
    WHOLE
}
