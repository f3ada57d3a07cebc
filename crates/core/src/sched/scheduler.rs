use std::sync::Arc;
use std::time::{Duration, Instant};

use super::belief::Census;
use super::crash::Crash;
use super::event::{Action, Event};
use super::graph::Graph;
use super::load::Arrivals;
use super::near::Near;
use super::payload::Payloads;
use super::pool::{Position, Tally};
use super::recovery::{CONFIRMATION_VALIDITY, Recovery, START_VALIDITY};
use super::share::Sharing;
use super::worker::Worker;
use crate::ids;
use crate::job::Task;
use crate::limit::{Borrower, Report};
use crate::locality;
use crate::map::{Map, Set};
use crate::queue::Config;

/// `Options` holds the identity of the leader and the limits of its workers.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of the shard.
    pub shard: ids::Shard,
    /// Process that leads the shard.
    pub node: ids::Instance,
    /// Longest lease that a worker accepts.
    pub max_lease: Duration,
    /// Longest time that a worker takes to stop a run after it accepted the stop.
    pub stop_timeout: Duration,
    /// Factor by which tasks take longer away from their data, in thousandths; 1,000 or less is none.
    pub remote_slowdown: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            shard: 0,
            node: ids::Instance::new(),
            max_lease: Duration::from_secs(10),
            stop_timeout: Duration::from_millis(900),
            remote_slowdown: locality::UNIT,
        }
    }
}

/// `Scheduler` is the state machine that places the tasks of one shard on workers during one term.
#[derive(Debug)]
pub struct Scheduler {
    pub(super) options: Options,
    pub(super) term: ids::Term,
    pub(super) config: Arc<Config>,
    pub(super) workers: Map<ids::Worker, Worker>,
    pub(super) jobs: Map<ids::Job, Graph>,
    pub(super) recovery: Recovery,
    /// Workers with a drain request, whether they are listed or not.
    pub(super) draining: Set<ids::Worker>,
    /// Latest time at which a read of the log showed no newer term.
    pub(super) term_confirmed_at: Instant,
    /// Exits recorded by the append in flight: worker, its start time and the exit's sequence
    /// number. `None` while no append is in flight.
    pub(super) pending_acknowledgements: Option<Vec<(ids::Worker, u64, u64)>>,
    /// Detached payloads whose jobs are not known yet.
    pub(super) payloads: Payloads,
    /// Jobs whose end the append in flight records, so that their payloads are not needed after it.
    pub(super) unneeded_payloads: Vec<ids::Job>,
    /// Drained workers that the next append records.
    pub(super) newly_drained: Vec<ids::Worker>,
    /// Workers that wait to be free of other tasks, each with the task that is to run alone on it, and since
    /// when.
    pub(super) reservations: Map<ids::Worker, (Task, Instant)>,
    /// Recent crashes of workers.
    pub(super) crashes: Vec<Crash>,
    /// Tasks with a crash that the next append records.
    pub(super) unrecorded_crashes: Vec<Task>,
    /// Tasks with a crash that the append in flight records.
    pub(super) recorded_crashes: Vec<Task>,
    /// Requests to the policy service in flight.
    pub(super) advice_in_flight: usize,
    /// Jobs with idle tasks, in the order of rank.
    pub(super) ranked_jobs: Vec<Position>,
    /// Time at which `ranked_jobs` was last built.
    pub(super) ranked_at: Instant,
    /// Whether something changed that may allow a task to start.
    pub(super) needs_placement: bool,
    /// Time of the latest pass that placed tasks.
    pub(super) placed_at: Option<Instant>,
    /// Whether `Event::PlacementDue` is to come.
    pub(super) is_placement_scheduled: bool,
    /// Number of passes over all workers and waiting jobs that placed tasks.
    pub(super) placement_passes: usize,
    /// Position at which the next pass goes on with the jobs that the latest one did not look at, by service.
    pub(super) placement_cursors: Map<ids::Service, Position>,
    /// What the latest pass made of the waiting jobs, by service.
    pub(super) tallies: Map<ids::Service, Tally>,
    /// Time of the latest log line about them, by service.
    pub(super) tallies_logged_at: Map<ids::Service, Instant>,
    /// Waits for places near the data.
    pub(super) near: Near,
    /// Time of day at the latest event, in milliseconds since the Unix epoch.
    pub(super) unix_ms: u64,
    /// Time of the latest heartbeat record.
    pub(super) heartbeat_at: Instant,
    /// Time of the latest append.
    pub(super) appended_at: Instant,
    /// Work of recently accepted jobs.
    pub(super) arrivals: Arrivals,
    /// Rates of client accounts, and hosts on their way.
    pub(super) sharing: Sharing,
    /// Units of the accounts' limits that the shard has.
    pub(super) borrower: Borrower,
    /// Whether a worker has reported a newer term.
    pub(super) is_fenced: bool,
}

impl Scheduler {
    /// Creates a scheduler for a new term.
    ///
    /// `has_predecessor` is false when the shard had no leader before; `predecessor_resigned` is
    /// true when the previous leader recorded that it sends no further requests. Both decide how
    /// long the scheduler waits for workers that it can't reach.
    #[must_use]
    pub fn new(
        options: Options,
        term: ids::Term,
        has_predecessor: bool,
        predecessor_resigned: bool,
        now: Instant,
    ) -> Self {
        Self {
            borrower: Borrower::new(options.shard),
            options,
            term,
            config: Arc::default(),
            workers: Map::default(),
            jobs: Map::default(),
            recovery: Recovery::new(has_predecessor, predecessor_resigned, now),
            draining: Set::default(),
            term_confirmed_at: now,
            pending_acknowledgements: None,
            payloads: Payloads::default(),
            unneeded_payloads: Vec::new(),
            newly_drained: Vec::new(),
            reservations: Map::default(),
            crashes: Vec::new(),
            unrecorded_crashes: Vec::new(),
            recorded_crashes: Vec::new(),
            advice_in_flight: 0,
            ranked_jobs: Vec::new(),
            ranked_at: now,
            needs_placement: false,
            placed_at: None,
            is_placement_scheduled: false,
            placement_passes: 0,
            placement_cursors: Map::default(),
            tallies: Map::default(),
            tallies_logged_at: Map::default(),
            near: Near::default(),
            unix_ms: 0,
            heartbeat_at: now,
            appended_at: now,
            arrivals: Arrivals::default(),
            sharing: Sharing::default(),
            is_fenced: false,
        }
    }

    /// Applies an event and appends the resulting actions to `actions`.
    ///
    /// `unix_ms` is the time of day in milliseconds since the Unix epoch.
    pub fn step(&mut self, now: Instant, unix_ms: u64, event: Event, actions: &mut Vec<Action>) {
        self.unix_ms = unix_ms;
        if self.is_fenced {
            return;
        }
        self.handle_event(now, event, actions);
        self.log_recovery(now, actions);
        if self.needs_placement && self.may_start(now) {
            self.place_if_due(now, actions);
        }
        self.flush(now, actions);
        if let Some(records) = self.borrower.next_delivery(now) {
            actions.push(Action::NotifyLender(records));
        }
    }

    /// Checks if the term was confirmed recently enough to renew leases and to stop runs.
    pub(super) fn may_act(&self, now: Instant) -> bool {
        self.is_confirmed_within(now, CONFIRMATION_VALIDITY)
    }

    /// Checks if the log was read recently enough to start tasks.
    pub(super) fn may_start(&self, now: Instant) -> bool {
        self.is_confirmed_within(now, START_VALIDITY)
    }

    fn is_confirmed_within(&self, now: Instant, validity: Duration) -> bool {
        !self.is_fenced && now.saturating_duration_since(self.term_confirmed_at) < validity
    }

    /// Returns the service whose workers currently run the tasks of a job.
    pub(super) fn service_of<'a>(&'a self, graph: &'a Graph) -> &'a ids::Service {
        let queue = self.config.queue(&graph.job.queue);
        queue.map_or(&graph.job.service, |queue| &queue.service)
    }

    /// Returns what the latest pass found of each account with a limit that has units or work in the shard.
    #[must_use]
    pub fn limits(&self) -> &[Report] {
        self.borrower.reports()
    }

    /// Returns counts for operators: workers, those that are listed and those that may get tasks,
    /// runs, open jobs, idle long-running tasks, workers that have not yet answered under this
    /// term, passes of placement over all workers and waiting jobs in this term, and jobs that the
    /// latest pass left waiting and those of them that it did not look at; waits for a place near the data,
    /// those that ended there, their milliseconds, and tasks that started away from their data.
    #[must_use]
    pub fn counts(&self, now: Instant) -> [(&'static str, usize); 14] {
        let census = Census::of(now, self.workers.values());
        let runs = self.workers.values().map(|worker| worker.runs.len()).sum();
        let open = self.jobs.values().filter(|graph| !graph.is_over());
        let unexamined = self.tallies.values().map(|tally| tally.unexamined).sum();
        [
            ("workers", census.known),
            ("listed", census.listed),
            ("eligible", census.eligible),
            ("runs", runs),
            ("jobs", open.count()),
            ("idle_long_running", self.idle_long_running_count()),
            ("unsettled", self.unconfirmed_count()),
            ("placement_passes", self.placement_passes),
            ("waiting_jobs", self.ranked_jobs.len()),
            ("unexamined_jobs", unexamined),
            ("place_waits", self.near.tally.waits),
            ("place_waits_paid", self.near.tally.paid),
            (
                "place_wait_ms",
                usize::try_from(self.near.tally.waited.as_millis()).unwrap_or(usize::MAX),
            ),
            ("tasks_away", self.near.tally.away),
        ]
    }
}
