//! Queue of one service: deficit round robin over callers; by urgency, then deadline, within a
//! caller.

use std::collections::{BTreeSet, VecDeque};
use std::time::Instant;

use crate::ids;
use crate::map::Map;
use crate::request::{Request, Urgency};

/// Order within a caller's queue.
type Rank = (Urgency, Instant, ids::Request);

const URGENCY_COUNT: usize = 3;

/// `Queue` holds the requests of one service that wait for a slot.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    callers: Map<ids::Caller, Backlog>,
    /// Callers with queued requests in round-robin order.
    rotation: VecDeque<ids::Caller>,
    /// Sum of the weights of the callers with queued requests.
    total_weight: u32,
    /// Requests by their latest start time.
    start_deadlines: BTreeSet<(Instant, ids::Request)>,
}

/// `Backlog` holds the queued requests of one caller.
#[derive(Clone, Debug)]
struct Backlog {
    requests: BTreeSet<Rank>,
    /// Number of requests of each urgency.
    counts: [u32; URGENCY_COUNT],
    /// Requests that the caller may start per turn.
    weight: u32,
    /// Requests that the caller may still start in the current turn.
    deficit: u32,
}

impl Backlog {
    fn new(weight: u32) -> Self {
        Self {
            requests: BTreeSet::new(),
            counts: [0; URGENCY_COUNT],
            weight: weight.max(1),
            deficit: 0,
        }
    }
}

impl Queue {
    /// Adds a request that must start by `start_by`; `weight` applies if its caller has none
    /// queued.
    pub fn push(&mut self, request: &Request, start_by: Instant, weight: u32) {
        let caller_queue = self
            .callers
            .entry(request.caller.clone())
            .or_insert_with(|| {
                self.rotation.push_back(request.caller.clone());
                let caller_queue = Backlog::new(weight);
                self.total_weight += caller_queue.weight;
                caller_queue
            });
        if caller_queue.requests.insert(rank(request)) {
            caller_queue.counts[urgency_index(request.urgency)] += 1;
        }
        self.start_deadlines.insert((start_by, request.id));
    }

    /// Removes a cancelled or expired request; returns whether it was queued.
    pub fn remove(&mut self, request: &Request, start_by: Instant) -> bool {
        let Some(caller_queue) = self.callers.get_mut(&request.caller) else {
            return false;
        };
        let removed = caller_queue.requests.remove(&rank(request));
        if removed {
            caller_queue.counts[urgency_index(request.urgency)] -= 1;
        }
        if caller_queue.requests.is_empty() {
            self.total_weight -= caller_queue.weight;
            self.callers.remove(&request.caller);
            self.rotation.retain(|caller| *caller != request.caller);
        }
        self.start_deadlines.remove(&(start_by, request.id));
        removed
    }

    /// Returns the next request without removing it.
    #[must_use]
    pub fn peek(&self) -> Option<ids::Request> {
        let caller_queue = self.callers.get(self.rotation.front()?)?;
        caller_queue
            .requests
            .first()
            .map(|(_, _, request)| *request)
    }

    /// Removes and returns the next request. A caller starts as many requests per turn as its
    /// weight.
    pub fn pop(&mut self, start_by: Instant) -> Option<ids::Request> {
        let caller = self.rotation.front()?;
        let caller_queue = self.callers.get_mut(caller)?;
        if caller_queue.deficit == 0 {
            caller_queue.deficit = caller_queue.weight;
        }
        let (urgency, _, request) = caller_queue.requests.pop_first()?;
        caller_queue.counts[urgency_index(urgency)] -= 1;
        caller_queue.deficit -= 1;
        if caller_queue.requests.is_empty() {
            self.total_weight -= caller_queue.weight;
            self.callers.remove(caller);
            self.rotation.pop_front();
        } else if caller_queue.deficit == 0 {
            self.rotation.rotate_left(1);
        }
        self.start_deadlines.remove(&(start_by, request));
        Some(request)
    }

    /// Estimates how many queued requests would start before a new one of a caller.
    #[must_use]
    pub fn count_ahead(&self, caller: &ids::Caller, urgency: Urgency, weight: u32) -> u32 {
        let total = u32::try_from(self.len()).unwrap_or(u32::MAX);
        let Some(caller_queue) = self.callers.get(caller) else {
            // In one round the queued callers start `total_weight` requests and this caller
            // `weight`; the estimate is the number of the others' requests for each of its own.
            return (self.total_weight / weight.max(1)).min(total);
        };
        let ahead: u32 = caller_queue.counts[..=urgency_index(urgency)].iter().sum();
        (ahead.saturating_mul(self.total_weight) / caller_queue.weight).min(total)
    }

    /// Returns a request whose latest start time has passed.
    #[must_use]
    pub fn first_expired(&self, now: Instant) -> Option<ids::Request> {
        let (start_by, request) = self.start_deadlines.first()?;
        (*start_by <= now).then_some(*request)
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.start_deadlines.len()
    }

    /// Returns whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.start_deadlines.is_empty()
    }
}

fn rank(request: &Request) -> Rank {
    (request.urgency, request.deadline, request.id)
}

fn urgency_index(urgency: Urgency) -> usize {
    match urgency {
        Urgency::Urgent => 0,
        Urgency::Normal => 1,
        Urgency::Batch => 2,
    }
}
