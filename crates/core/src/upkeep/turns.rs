//! Forecast of turns: peaks of demand that pass from one service to the next.
//!
//! Load pattern: the services peak one after another, at about equal intervals and in an order that repeats.
//! Moving the hosts of a peak takes as long as a good part of the peak, so they have to be on their way
//! before it begins. A flood that has no period, or a turn that does not come, costs hosts for a short time
//! only, as a forecast ends soon after its time.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::ids;
use crate::map::Set;

/// Demand with which a turn starts, in percent of the highest peak of the recent turns.
const START_PERCENT: u64 = 25;
/// Demand below which a turn has ended, in percent of the same.
const END_PERCENT: u64 = 12;
/// Number of turns that are remembered.
const MAX_TURNS: usize = 16;
/// Number of its own turns of which the highest counts for the next one of a service.
const MAX_OWN_TURNS: usize = 2;
/// Number of intervals between turns of which the median counts.
const MAX_INTERVALS: usize = 5;
/// Turns that start closer together are taken for one.
const MIN_INTERVAL: Duration = Duration::from_secs(1);
/// Longest interval between turns that is foreseen: hosts that wait for a rarer peak cost more than they save.
const MAX_INTERVAL: Duration = Duration::from_mins(1);
/// Time before the start of a turn from which on hosts move: what a drain, a move and the first answer of the
/// new worker take, and the delay with which the start of a turn shows in the reported demand.
const PREPARATION_TIME: Duration = Duration::from_millis(3_200);
/// Time after the end of a turn within which the service of the next one has asked for hosts, if that has begun.
const SUCCESSION_TIME: Duration = Duration::from_secs(3);
/// Time after its expected start for which a turn is still expected.
const MAX_DELAY: Duration = Duration::from_millis(1_500);

/// `Sample` is the demand of a service at a time, in millicores.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    /// What its tasks use, or the work that arrived in the latest second if that is more.
    pub(super) demand: u64,
    /// Work that arrives in a second, averaged over most of a short peak.
    pub(super) height: u64,
    /// Work that arrived in the latest second.
    pub(super) arrived: u64,
    /// Work that arrives in a second, averaged over a little more than a second.
    pub(super) arriving: u64,
}

/// `Turn` is a peak of the demand of one service.
#[derive(Clone, Debug)]
struct Turn {
    service: ids::Service,
    started_at: Instant,
    /// Its height: the work that arrived in a second, averaged over most of a short peak, in millicores. What tasks use
    /// may be more, while the work of an outage is done.
    peak: u64,
    /// Time at which work last arrived as in a turn.
    arrived_at: Instant,
    /// Highest demand, in millicores, which tells a turn from low demand sooner.
    highest: u64,
}

impl Turn {
    fn add_sample(&mut self, now: Instant, sample: &Sample) {
        if !is_below(sample.arrived, START_PERCENT, self.peak) {
            self.arrived_at = now;
        }
        self.peak = self.peak.max(sample.height);
        self.highest = self.highest.max(sample.demand);
    }
}

/// `Turns` is the recent turns of the services.
#[derive(Clone, Debug, Default)]
pub(super) struct Turns {
    /// Recent turns in the order of their starts.
    recent: VecDeque<Turn>,
    /// Services whose turn has not ended.
    active: Set<ids::Service>,
}

impl Turns {
    /// Adds a sample of the demand of a service.
    pub(super) fn add_sample(&mut self, now: Instant, service: &ids::Service, sample: &Sample) {
        let peak = self.peak().max(sample.demand);
        if self.active.contains(service) {
            let mut turns = self.recent.iter_mut().rev();
            if let Some(turn) = turns.find(|turn| turn.service == *service) {
                turn.add_sample(now, sample);
            }
            // The last tasks of a turn may take longer than the turns of the other services together.
            let has_last_tasks = is_below(sample.arriving, END_PERCENT, peak)
                && is_below(sample.demand, START_PERCENT, peak);
            if has_last_tasks || is_below(sample.demand, END_PERCENT, peak) {
                self.active.remove(service);
            }
        } else if sample.demand > 0 && !is_below(sample.demand, START_PERCENT, peak) {
            self.active.insert(service.clone());
            self.start(now, service, sample);
        }
    }

    fn start(&mut self, now: Instant, service: &ids::Service, sample: &Sample) {
        if let Some(last) = self.recent.back_mut()
            && last.service == *service
            && now < (last.started_at + MAX_DELAY).max(last.arrived_at + SUCCESSION_TIME)
        {
            // Callers, or the leader that reports their work, were held up for a moment.
            last.add_sample(now, sample);
            return;
        }
        let mut turn = Turn {
            service: service.clone(),
            started_at: now,
            peak: 0,
            arrived_at: now,
            highest: 0,
        };
        turn.add_sample(now, sample);
        self.recent.push_back(turn);
        if self.recent.len() > MAX_TURNS {
            self.recent.pop_front();
        }
    }

    /// Returns the highest demand of the recent turns, in millicores.
    pub(super) fn peak(&self) -> u64 {
        let peaks = self.recent.iter().map(|turn| turn.peak);
        peaks.max().unwrap_or(0)
    }

    /// Returns the height that the turn of a service is known to reach, in millicores: that of its own recent turns,
    /// or else that of the others; 0 if there was none.
    pub(super) fn height(&self, service: &ids::Service) -> u64 {
        let own = self.turns().into_iter().rev();
        let own = own.filter(|turn| turn.service == *service);
        let own: Vec<u64> = own.take(MAX_OWN_TURNS).map(|turn| turn.peak).collect();
        // The turn that has just begun has not reached its height.
        let is_known = own.len() > 1 || !self.active.contains(service);
        let highest = own.into_iter().max().filter(|_| is_known);
        highest.unwrap_or_else(|| self.peak_of_others(service))
    }

    /// Checks if the start of the next turn is foreseen.
    pub(super) fn are_foreseen(&self) -> bool {
        let interval = median_interval(&self.turns());
        interval.is_some_and(|interval| interval <= MAX_INTERVAL)
    }

    /// Checks if a service has its turn and its work still arrives as in a turn.
    pub(super) fn is_in_turn(&self, service: &ids::Service, arriving: u64) -> bool {
        self.active.contains(service) && !is_below(arriving, START_PERCENT, self.height(service))
    }

    /// Checks if the turn of a service ended less than `time` ago, and the next one is not known to come later than
    /// within `time`.
    pub(super) fn awaits_successor(
        &self,
        now: Instant,
        service: &ids::Service,
        time: Duration,
    ) -> bool {
        let turns = self.turns();
        let own = turns.iter().rev().find(|turn| turn.service == *service);
        let has_ended_within = |time| own.is_some_and(|turn: &&Turn| now < turn.arrived_at + time);
        let next = median_interval(&turns)
            .zip(turns.last())
            .map(|(interval, last)| last.started_at + interval);
        match turns.last() {
            Some(last) if last.service == *service => {
                has_ended_within(time) && next.is_none_or(|next| next <= now + time)
            }
            // The service of a turn that has just begun may not have asked for its hosts.
            Some(_) => has_ended_within(SUCCESSION_TIME),
            None => false,
        }
    }

    /// Checks if a demand is high enough for the start of a turn.
    pub(super) fn is_start(&self, demand: u64) -> bool {
        !is_below(demand, START_PERCENT, self.peak())
    }

    /// Returns the highest demand of the recent turns of other services, in millicores.
    pub(super) fn peak_of_others(&self, service: &ids::Service) -> u64 {
        let others = self.recent.iter().filter(|turn| turn.service != *service);
        let highest = others.map(|turn| turn.peak).max().unwrap_or(0);
        // Without a turn of another service there is only its low demand.
        if is_below(highest, START_PERCENT, self.peak()) {
            0
        } else {
            highest
        }
    }

    /// Returns the recent turns without those that were none.
    fn turns(&self) -> Vec<&Turn> {
        let peak = self.peak();
        // The first samples have no peak to compare with, so that low demand looks like a turn.
        let is_turn = |turn: &&Turn| !is_below(turn.highest, START_PERCENT, peak);
        self.recent.iter().filter(is_turn).collect()
    }

    /// Returns the services whose turn is about to start, each with the demand for which hosts are kept ready, in
    /// millicores.
    ///
    /// Until a turn has been seen to follow another, the services that had none yet share the hosts of one peak.
    pub(super) fn upcoming(
        &self,
        now: Instant,
        services: &[ids::Service],
    ) -> Vec<(ids::Service, u64)> {
        let peak = self.peak();
        let turns = self.turns();
        let (Some(last), Some(interval)) = (turns.last(), median_interval(&turns)) else {
            return Vec::new();
        };
        let expected_at = last.started_at + interval;
        let is_due = now + PREPARATION_TIME >= expected_at && now < expected_at + MAX_DELAY;
        if !is_due || interval > MAX_INTERVAL {
            return Vec::new();
        }
        let height = |service: &ids::Service| {
            let is_known = turns.iter().any(|turn| turn.service == *service);
            if is_known { self.height(service) } else { peak }
        };
        let mut successors = turns.windows(2).rev();
        if let Some(pair) = successors.find(|pair| pair[0].service == last.service) {
            let service = pair[1].service.clone();
            let height = height(&service);
            return vec![(service, height)];
        }
        let is_new = |service: &&ids::Service| turns.iter().all(|turn| turn.service != **service);
        let new: Vec<&ids::Service> = services.iter().filter(is_new).collect();
        if new.is_empty() {
            let first = turns.first().map(|turn| turn.service.clone());
            return first
                .map(|service| (service.clone(), height(&service)))
                .into_iter()
                .collect();
        }
        let share = peak / u64::try_from(new.len()).unwrap_or(1);
        new.into_iter()
            .map(|service| (service.clone(), share))
            .collect()
    }
}

/// Returns the median of the latest intervals between turns; `None` after fewer than two turns.
fn median_interval(turns: &[&Turn]) -> Option<Duration> {
    let intervals = turns
        .windows(2)
        .rev()
        .map(|pair| {
            pair[1]
                .started_at
                .saturating_duration_since(pair[0].started_at)
        })
        .filter(|interval| *interval >= MIN_INTERVAL);
    let mut intervals: Vec<Duration> = intervals.take(MAX_INTERVALS).collect();
    intervals.sort();
    intervals.get(intervals.len() / 2).copied()
}

fn is_below(demand: u64, percent: u64, peak: u64) -> bool {
    u128::from(demand) * 100 < u128::from(peak) * u128::from(percent)
}
