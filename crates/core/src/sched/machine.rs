use std::sync::Arc;
use std::time::{Duration, Instant};

use super::event::{Action, Event};
use super::load::Offers;
use super::rank::Rank;
use super::settle::Settling;
use super::work::Work;
use super::worker::Worker;
use crate::ids;
use crate::map::{Map, Set};
use crate::queue::Config;

/// `Options` holds the limits of a scheduler.
#[derive(Clone, Debug)]
pub struct Options {
    /// Process that leads.
    pub node: ids::Instance,
    /// Longest lease that a worker accepts.
    pub max_lease: Duration,
    /// Longest time that a worker takes to stop a run.
    pub stop_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            node: ids::Instance::new(),
            max_lease: Duration::from_secs(10),
            stop_timeout: Duration::from_millis(900),
        }
    }
}

/// `Scheduler` decides for the workers and the jobs of one shard in one term.
#[derive(Debug)]
pub struct Scheduler {
    pub(super) options: Options,
    pub(super) term: ids::Term,
    pub(super) config: Arc<Config>,
    pub(super) workers: Map<ids::Worker, Worker>,
    pub(super) works: Map<ids::Job, Work>,
    pub(super) settling: Settling,
    /// Workers that are to be freed, listed or not.
    pub(super) vacating: Set<ids::Worker>,
    /// Latest time at which the log had no newer term.
    pub(super) confirmed: Instant,
    /// Ends that the append under way records: worker, life and number.
    pub(super) pending: Option<Vec<(ids::Worker, u64, u64)>>,
    /// Workers that the log is told to be free at the next append.
    pub(super) freed: Vec<ids::Worker>,
    /// Questions to the policy service under way.
    pub(super) asked: usize,
    /// Jobs that wait, in the order of rank, with the time at which the order was made.
    pub(super) order: Vec<(Rank, ids::Job)>,
    pub(super) ordered: Instant,
    /// Whether something changed that may let a task start.
    pub(super) stirred: bool,
    /// Time of day at the latest event, in milliseconds since the epoch.
    pub(super) wall: u64,
    pub(super) beat: Instant,
    /// Time of the latest append.
    pub(super) flushed: Instant,
    /// Work of the jobs that came lately.
    pub(super) offers: Offers,
    /// Whether a worker has seen a newer term.
    pub(super) fenced: bool,
}

impl Scheduler {
    /// Makes a scheduler for a new term.
    ///
    /// `succeeds` is false when no leader came before; `resigned` is true when the last one said that
    /// it sends nothing more. `offset` is where the claim of the term stands.
    #[must_use]
    pub fn new(
        options: Options,
        term: ids::Term,
        succeeds: bool,
        resigned: bool,
        now: Instant,
    ) -> Self {
        Self {
            options,
            term,
            config: Arc::default(),
            workers: Map::default(),
            works: Map::default(),
            settling: Settling::new(succeeds, resigned, now),
            vacating: Set::default(),
            confirmed: now,
            pending: None,
            freed: Vec::new(),
            asked: 0,
            order: Vec::new(),
            ordered: now,
            stirred: false,
            wall: 0,
            beat: now,
            flushed: now,
            offers: Offers::default(),
            fenced: false,
        }
    }

    /// Takes an event in at a time of the runtime's clock and of the day.
    pub fn step(&mut self, now: Instant, wall: u64, event: Event, actions: &mut Vec<Action>) {
        self.wall = wall;
        if self.fenced {
            return;
        }
        self.apply(now, event, actions);
        if self.stirred && self.may_act(now) {
            self.stirred = false;
            self.place(now, actions);
        }
        self.flush(now, actions);
    }

    /// Checks if the term was confirmed lately enough to give orders.
    pub(super) fn may_act(&self, now: Instant) -> bool {
        !self.fenced && now.saturating_duration_since(self.confirmed) < super::settle::CONFIRM
    }

    /// Gets the service whose workers run a job now.
    pub(super) fn service_of(&self, work: &Work) -> ids::Service {
        let queue = self.config.queue(&work.job.queue);
        queue.map_or_else(|| work.job.service.clone(), |queue| queue.service.clone())
    }

    /// Gets a summary for operators: workers, runs, jobs, and workers that did not answer yet.
    #[must_use]
    pub fn counts(&self) -> [(&'static str, usize); 4] {
        let runs = self.workers.values().map(|worker| worker.runs.len()).sum();
        let open = self.works.values().filter(|work| !work.is_over());
        [
            ("workers", self.workers.len()),
            ("runs", runs),
            ("jobs", open.count()),
            ("unsettled", self.unsettled()),
        ]
    }
}
