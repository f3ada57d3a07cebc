//! Queue of one service: deficit round robin over callers, urgency and deadline inside a caller.

use std::collections::{BTreeSet, VecDeque};
use std::time::Instant;

use crate::ids;
use crate::map::Map;
use crate::request::{Request, Urgency};

type Rank = (Urgency, Instant, ids::Request);

/// Number of urgencies.
const URGENCIES: usize = 3;

/// `Queue` holds the requests of one service that wait for a slot.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    lanes: Map<ids::Caller, Lane>,
    /// Callers with queued requests in the order of their turns.
    turns: VecDeque<ids::Caller>,
    /// Sum of the weights of the callers with queued requests.
    weights: u32,
    /// Requests by the time by which they must start.
    latest: BTreeSet<(Instant, ids::Request)>,
}

/// `Lane` holds the requests of one caller.
#[derive(Clone, Debug)]
struct Lane {
    requests: BTreeSet<Rank>,
    /// Requests of each urgency.
    counts: [u32; URGENCIES],
    /// Requests that the caller may start in a turn.
    weight: u32,
    /// Requests that the caller may still start in this turn.
    deficit: u32,
}

impl Lane {
    fn new(weight: u32) -> Self {
        Self {
            requests: BTreeSet::new(),
            counts: [0; URGENCIES],
            weight: weight.max(1),
            deficit: 0,
        }
    }
}

impl Queue {
    /// Adds a request of a caller with a weight; it must start by a time.
    pub fn push(&mut self, request: &Request, start_by: Instant, weight: u32) {
        let lane = self.lanes.entry(request.caller.clone()).or_insert_with(|| {
            self.turns.push_back(request.caller.clone());
            let lane = Lane::new(weight);
            self.weights += lane.weight;
            lane
        });
        if lane.requests.insert(rank(request)) {
            lane.counts[class(request.urgency)] += 1;
        }
        self.latest.insert((start_by, request.id));
    }

    /// Removes a request that is cancelled or late.
    pub fn remove(&mut self, request: &Request, start_by: Instant) -> bool {
        let Some(lane) = self.lanes.get_mut(&request.caller) else {
            return false;
        };
        let removed = lane.requests.remove(&rank(request));
        if removed {
            lane.counts[class(request.urgency)] -= 1;
        }
        if lane.requests.is_empty() {
            self.weights -= lane.weight;
            self.lanes.remove(&request.caller);
            self.turns.retain(|caller| *caller != request.caller);
        }
        self.latest.remove(&(start_by, request.id));
        removed
    }

    /// Gets the next request without taking it; a caller starts as many in a turn as its weight.
    #[must_use]
    pub fn peek(&self) -> Option<ids::Request> {
        let lane = self.lanes.get(self.turns.front()?)?;
        lane.requests.first().map(|(_, _, request)| *request)
    }

    /// Takes the request that comes next.
    pub fn pop(&mut self, start_by: Instant) -> Option<ids::Request> {
        let caller = self.turns.front()?;
        let lane = self.lanes.get_mut(caller)?;
        if lane.deficit == 0 {
            lane.deficit = lane.weight;
        }
        let (urgency, _, request) = lane.requests.pop_first()?;
        lane.counts[class(urgency)] -= 1;
        lane.deficit -= 1;
        if lane.requests.is_empty() {
            self.weights -= lane.weight;
            self.lanes.remove(caller);
            self.turns.pop_front();
        } else if lane.deficit == 0 {
            self.turns.rotate_left(1);
        }
        self.latest.remove(&(start_by, request));
        Some(request)
    }

    /// Gets the number of requests that would start before a new one of a caller.
    #[must_use]
    pub fn count_ahead(&self, caller: &ids::Caller, urgency: Urgency, weight: u32) -> u32 {
        let total = u32::try_from(self.len()).unwrap_or(u32::MAX);
        let Some(lane) = self.lanes.get(caller) else {
            // Each other caller has one turn before.
            return (self.weights / weight.max(1)).min(total);
        };
        let own: u32 = lane.counts[..=class(urgency)].iter().sum();
        (own.saturating_mul(self.weights) / lane.weight).min(total)
    }

    /// Gets a request that can no longer start in time.
    #[must_use]
    pub fn first_expired(&self, now: Instant) -> Option<ids::Request> {
        let (start_by, request) = self.latest.first()?;
        (*start_by <= now).then_some(*request)
    }

    /// Gets the number of requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.latest.len()
    }

    /// Gets whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.latest.is_empty()
    }
}

fn rank(request: &Request) -> Rank {
    (request.urgency, request.deadline, request.id)
}

fn class(urgency: Urgency) -> usize {
    match urgency {
        Urgency::Urgent => 0,
        Urgency::Normal => 1,
        Urgency::Batch => 2,
    }
}
