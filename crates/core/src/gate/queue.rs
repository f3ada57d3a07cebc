//! Queue of one service: deficit round robin over callers, urgency and deadline inside a caller.

use std::collections::{BTreeSet, VecDeque};
use std::time::Instant;

use crate::ids;
use crate::map::Map;
use crate::request::{Request, Urgency};

type Rank = (Urgency, Instant, ids::Request);

/// `Queue` holds the requests of one service that wait for a slot.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    lanes: Map<ids::Caller, Lane>,
    /// Callers with queued requests in the order of their turns.
    turns: VecDeque<ids::Caller>,
    deadlines: BTreeSet<(Instant, ids::Request)>,
}

/// `Lane` holds the requests of one caller.
#[derive(Clone, Debug, Default)]
struct Lane {
    requests: BTreeSet<Rank>,
    /// Requests that the caller may still start in this turn.
    deficit: u32,
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, request: &Request) {
        let lane = self.lanes.entry(request.caller.clone()).or_default();
        if lane.requests.is_empty() {
            self.turns.push_back(request.caller.clone());
        }
        lane.requests.insert(rank(request));
        self.deadlines.insert((request.deadline, request.id));
    }

    /// Removes a request that is cancelled or late.
    pub fn remove(&mut self, request: &Request) -> bool {
        let Some(lane) = self.lanes.get_mut(&request.caller) else {
            return false;
        };
        let removed = lane.requests.remove(&rank(request));
        if lane.requests.is_empty() {
            self.lanes.remove(&request.caller);
            self.turns.retain(|caller| *caller != request.caller);
        }
        self.deadlines.remove(&(request.deadline, request.id));
        removed
    }

    /// Takes the next request; a caller starts as many in a turn as its weight says.
    pub fn pop(&mut self, weight: impl Fn(&ids::Caller) -> u32) -> Option<ids::Request> {
        let caller = self.turns.front()?.clone();
        let lane = self.lanes.get_mut(&caller)?;
        if lane.deficit == 0 {
            lane.deficit = weight(&caller).max(1);
        }
        let (_, deadline, request) = lane.requests.pop_first()?;
        lane.deficit -= 1;
        self.deadlines.remove(&(deadline, request));
        if lane.requests.is_empty() {
            self.lanes.remove(&caller);
            self.turns.pop_front();
        } else if lane.deficit == 0 {
            self.turns.rotate_left(1);
        }
        Some(request)
    }

    /// Gets a request whose deadline has passed.
    #[must_use]
    pub fn late(&self, now: Instant) -> Option<ids::Request> {
        let (deadline, request) = self.deadlines.first()?;
        (*deadline <= now).then_some(*request)
    }

    /// Gets the number of requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.deadlines.len()
    }

    /// Gets whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.deadlines.is_empty()
    }
}

fn rank(request: &Request) -> Rank {
    (request.urgency, request.deadline, request.id)
}
