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
/// Number of intervals between turns of which the median counts.
const MAX_INTERVALS: usize = 5;
/// Turns that start closer together are taken for one.
const MIN_INTERVAL: Duration = Duration::from_secs(1);
/// Longest interval between turns that is foreseen: hosts that wait for a rarer peak cost more than they save.
const MAX_INTERVAL: Duration = Duration::from_mins(1);
/// Time before the start of a turn from which on hosts move: what a drain, a move and the first answer of the
/// new worker take, and the delay with which the start of a turn shows in the reported demand.
const PREPARATION_TIME: Duration = Duration::from_millis(3_200);
/// Time after its expected start for which a turn is still expected.
const MAX_DELAY: Duration = Duration::from_millis(1_500);

/// `Turn` is a peak of the demand of one service.
#[derive(Clone, Debug)]
struct Turn {
    service: ids::Service,
    started_at: Instant,
    /// Highest demand, in millicores.
    peak: u64,
}

/// `Turns` is the recent turns of the services.
#[derive(Debug, Default)]
pub(super) struct Turns {
    /// Recent turns in the order of their starts.
    recent: VecDeque<Turn>,
    /// Services whose turn has not ended.
    active: Set<ids::Service>,
}

impl Turns {
    /// Adds a sample of the demand of a service, in millicores.
    pub(super) fn add_sample(&mut self, now: Instant, service: &ids::Service, demand: u64) {
        let peak = self.peak().max(demand);
        if self.active.contains(service) {
            let mut turns = self.recent.iter_mut().rev();
            if let Some(turn) = turns.find(|turn| turn.service == *service) {
                turn.peak = turn.peak.max(demand);
            }
            if is_below(demand, END_PERCENT, peak) {
                self.active.remove(service);
            }
        } else if demand > 0 && !is_below(demand, START_PERCENT, peak) {
            self.active.insert(service.clone());
            self.start(now, service, demand);
        }
    }

    fn start(&mut self, now: Instant, service: &ids::Service, demand: u64) {
        if let Some(last) = self.recent.back_mut()
            && last.service == *service
            && now.saturating_duration_since(last.started_at) < MAX_DELAY
        {
            last.peak = last.peak.max(demand);
            return;
        }
        self.recent.push_back(Turn {
            service: service.clone(),
            started_at: now,
            peak: demand,
        });
        if self.recent.len() > MAX_TURNS {
            self.recent.pop_front();
        }
    }

    /// Returns the highest demand of the recent turns, in millicores.
    pub(super) fn peak(&self) -> u64 {
        let peaks = self.recent.iter().map(|turn| turn.peak);
        peaks.max().unwrap_or(0)
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
        // The first samples have no peak to compare with, so that low demand looks like a turn.
        let is_turn = |turn: &&Turn| !is_below(turn.peak, START_PERCENT, peak);
        let turns: Vec<&Turn> = self.recent.iter().filter(is_turn).collect();
        let (Some(last), Some(interval)) = (turns.last(), median_interval(&turns)) else {
            return Vec::new();
        };
        let expected_at = last.started_at + interval;
        let is_due = now + PREPARATION_TIME >= expected_at && now < expected_at + MAX_DELAY;
        if !is_due || interval > MAX_INTERVAL {
            return Vec::new();
        }
        let height = |service: &ids::Service| {
            let own = turns.iter().rev().find(|turn| turn.service == *service);
            own.map_or(peak, |turn| turn.peak)
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
