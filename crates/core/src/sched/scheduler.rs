use std::sync::Arc;
use std::time::{Duration, Instant};

use super::event::{Action, Event};
use super::load::Arrivals;
use super::rank::Rank;
use super::recovery::Recovery;
use super::state::JobState;
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
    pub(super) jobs: Map<ids::Job, JobState>,
    pub(super) recovery: Recovery,
    /// Workers that are to be freed, listed or not.
    pub(super) draining: Set<ids::Worker>,
    /// Latest time at which the log had no newer term.
    pub(super) confirmed_at: Instant,
    /// Ends that the append under way records: worker, life and number.
    pub(super) pending_acknowledgements: Option<Vec<(ids::Worker, u64, u64)>>,
    /// Workers that the log is told to be free at the next append.
    pub(super) newly_drained: Vec<ids::Worker>,
    /// Questions to the policy service under way.
    pub(super) advice_in_flight: usize,
    /// Jobs that wait, in the order of rank, with the time at which the order was made.
    pub(super) ranked_jobs: Vec<(Rank, ids::Job)>,
    pub(super) ranked_at: Instant,
    /// Whether something changed that may let a task start.
    pub(super) needs_placement: bool,
    /// Time of day at the latest event, in milliseconds since the epoch.
    pub(super) unix_ms: u64,
    pub(super) heartbeat_at: Instant,
    /// Time of the latest append.
    pub(super) appended_at: Instant,
    /// Work of the jobs that came lately.
    pub(super) arrivals: Arrivals,
    /// Whether a worker has seen a newer term.
    pub(super) is_fenced: bool,
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
            jobs: Map::default(),
            recovery: Recovery::new(succeeds, resigned, now),
            draining: Set::default(),
            confirmed_at: now,
            pending_acknowledgements: None,
            newly_drained: Vec::new(),
            advice_in_flight: 0,
            ranked_jobs: Vec::new(),
            ranked_at: now,
            needs_placement: false,
            unix_ms: 0,
            heartbeat_at: now,
            appended_at: now,
            arrivals: Arrivals::default(),
            is_fenced: false,
        }
    }

    /// Takes an event in at a time of the runtime's clock and of the day.
    pub fn step(&mut self, now: Instant, wall: u64, event: Event, actions: &mut Vec<Action>) {
        self.unix_ms = wall;
        if self.is_fenced {
            return;
        }
        self.handle_event(now, event, actions);
        if self.needs_placement && self.may_act(now) {
            self.needs_placement = false;
            self.place_tasks(now, actions);
        }
        self.flush(now, actions);
    }

    /// Checks if the term was confirmed lately enough to give orders.
    pub(super) fn may_act(&self, now: Instant) -> bool {
        !self.is_fenced
            && now.saturating_duration_since(self.confirmed_at)
                < super::recovery::CONFIRMATION_VALIDITY
    }

    /// Gets the service whose workers run a job now.
    pub(super) fn service_of(&self, work: &JobState) -> ids::Service {
        let queue = self.config.queue(&work.job.queue);
        queue.map_or_else(|| work.job.service.clone(), |queue| queue.service.clone())
    }

    /// Gets a summary for operators: workers, runs, jobs, and workers that did not answer yet.
    #[must_use]
    pub fn counts(&self) -> [(&'static str, usize); 4] {
        let runs = self.workers.values().map(|worker| worker.runs.len()).sum();
        let open = self.jobs.values().filter(|work| !work.is_over());
        [
            ("workers", self.workers.len()),
            ("runs", runs),
            ("jobs", open.count()),
            ("unsettled", self.unconfirmed_count()),
        ]
    }
}
