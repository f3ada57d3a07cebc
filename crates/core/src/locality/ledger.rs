use std::time::{Duration, Instant};

use super::demand::Demand;
use crate::ids;
use crate::job::Task;
use crate::map::Map;

/// Most tasks and groups of a service that wait, or have waited and not started yet. It bounds what a pass
/// computes for them.
pub const MAX_WAITS: usize = 64;
/// Times the time left to a wait that a place may be expected to take before the wait ends early: forecasts vary
/// from pass to pass.
const TOLERANCE: u32 = 2;

/// `Outcome` is how a wait ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The task started near its data, or the group on one rack.
    Near,
    /// No place came in time.
    Expired,
    /// A place was expected too late for the wait to go on.
    Hopeless,
    /// The rack had no sound worker any more that may run it.
    RackLost,
    /// The task no longer waits to start, as its job has ended.
    Dropped,
}

/// `Wait` is the wait of a task, or of a group, for a place.
#[derive(Clone, Debug)]
pub struct Wait {
    rack: ids::Label,
    began_at: Instant,
    /// Time at which it ends by itself; later estimates don't move it.
    until: Instant,
    expected: Duration,
    /// How and when it ended, if the task has not started since.
    ended: Option<(Outcome, Instant)>,
}

/// `Ending` is a wait that has ended, with what decided it.
#[derive(Clone, Debug)]
pub struct Ending {
    /// Task that waited; the first of a group.
    pub task: Task,
    /// Rack that it waited for; for a group that may run on any one rack, the one expected first.
    pub rack: ids::Label,
    /// Wait that was expected when it began.
    pub expected: Duration,
    /// Longest wait, as it was fixed when it began.
    pub longest: Duration,
    /// Time that it waited.
    pub waited: Duration,
    /// How it ended.
    pub outcome: Outcome,
}

/// `Tally` is the counts of waits and of starts away from the data.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    /// Waits that began.
    pub waits: usize,
    /// Waits that ended near the data, or on one rack.
    pub paid: usize,
    /// Time of all waits that ended.
    pub waited: Duration,
    /// Tasks that started away from their data, or whose group was spread over racks.
    pub away: usize,
}

impl Tally {
    /// Adds the counts of another one.
    pub fn add(&mut self, other: Self) {
        self.waits += other.waits;
        self.paid += other.paid;
        self.waited = self.waited.saturating_add(other.waited);
        self.away += other.away;
    }
}

/// `Ledger` is the waits for places, with the time at which each ends.
#[derive(Debug, Default)]
pub struct Ledger {
    waits: Map<Task, Wait>,
    tally: Tally,
    endings: Vec<Ending>,
}

impl Ledger {
    /// Decides if a task that could only start elsewhere waits on.
    ///
    /// `place` is the rack with the present demand; `None` if no rack can ever take the task.
    pub fn holds(
        &mut self,
        now: Instant,
        task: &Task,
        place: Option<(&ids::Label, Demand)>,
    ) -> bool {
        if let Some(wait) = self.waits.get_mut(task) {
            if wait.ended.is_some() {
                return false;
            }
            let left = wait.until.saturating_duration_since(now);
            let outcome = match place {
                _ if left.is_zero() => {
                    wait.ended = Some((Outcome::Expired, wait.until));
                    return false;
                }
                None => Outcome::RackLost,
                Some((_, demand))
                    if demand.limit().is_none()
                        || demand.expected > left.saturating_mul(TOLERANCE) =>
                {
                    Outcome::Hopeless
                }
                Some((rack, _)) => {
                    wait.rack = rack.clone();
                    return true;
                }
            };
            wait.ended = Some((outcome, now));
            return false;
        }
        let Some((rack, demand)) = place else {
            return false;
        };
        let Some(patience) = demand.patience().filter(|_| self.waits.len() < MAX_WAITS) else {
            return false;
        };
        self.tally.waits += 1;
        let wait = Wait {
            rack: rack.clone(),
            began_at: now,
            until: now + patience,
            expected: demand.expected,
            ended: None,
        };
        self.waits.insert(task.clone(), wait);
        true
    }

    /// Checks if a task has waited and waits no longer.
    #[must_use]
    pub fn has_ended(&self, task: &Task) -> bool {
        self.waits
            .get(task)
            .is_some_and(|wait| wait.ended.is_some())
    }

    /// Records that a task, or a group, starts: near its data or on one rack, or elsewhere with a number of tasks.
    pub fn record_start(&mut self, now: Instant, task: &Task, away: usize) {
        self.tally.away += away;
        if let Some(wait) = self.waits.remove(task) {
            let outcome = if away == 0 {
                Outcome::Near
            } else {
                Outcome::Expired
            };
            self.end(now, task.clone(), wait, outcome);
        }
    }

    /// Ends the waits of tasks that no longer wait to start.
    pub fn retain(&mut self, now: Instant, is_idle: impl Fn(&Task) -> bool) {
        let gone: Vec<Task> = self
            .waits
            .keys()
            .filter(|task| !is_idle(task))
            .cloned()
            .collect();
        for task in gone {
            if let Some(wait) = self.waits.remove(&task) {
                self.end(now, task, wait, Outcome::Dropped);
            }
        }
    }

    fn end(&mut self, now: Instant, task: Task, wait: Wait, outcome: Outcome) {
        // A place elsewhere may come free only after the end of the wait.
        let ended_at = if outcome == Outcome::Expired {
            now.min(wait.until)
        } else {
            now
        };
        let (outcome, ended_at) = wait.ended.unwrap_or((outcome, ended_at));
        let waited = ended_at.saturating_duration_since(wait.began_at);
        self.tally.paid += usize::from(outcome == Outcome::Near);
        self.tally.waited = self.tally.waited.saturating_add(waited);
        self.endings.push(Ending {
            task,
            rack: wait.rack,
            expected: wait.expected,
            longest: wait.until.saturating_duration_since(wait.began_at),
            waited,
            outcome,
        });
    }

    fn pending(&self) -> impl Iterator<Item = &Wait> {
        self.waits.values().filter(|wait| wait.ended.is_none())
    }

    /// Returns the racks that are waited for.
    pub fn racks(&self) -> impl Iterator<Item = &ids::Label> {
        self.pending().map(|wait| &wait.rack)
    }

    /// Returns the time at which the next wait ends by itself.
    #[must_use]
    pub fn next_end(&self) -> Option<Instant> {
        self.pending().map(|wait| wait.until).min()
    }

    /// Checks if it has no waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waits.is_empty()
    }

    /// Takes the counts since the latest call, and the waits that have ended since.
    pub fn take_report(&mut self) -> (Tally, Vec<Ending>) {
        (
            std::mem::take(&mut self.tally),
            std::mem::take(&mut self.endings),
        )
    }
}
