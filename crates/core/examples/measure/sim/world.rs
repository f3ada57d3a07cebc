//! State and event loop of a run: arrivals, exchanges and workers on a simulated clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use persimmongate_core::gate::{Action, Event, Gate, Options};
use persimmongate_core::ids;
use persimmongate_core::map::Map;
use persimmongate_core::request::{Repeatability, Request, make_key};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::log::{Log, clock};
use super::plan::{Mode, Plan, SLOTS, ZONES};
use super::setup;
use super::{Baseline, Stats};

pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Callers of each service; the first one sends the additional requests of a flood.
const CALLERS_PER_SERVICE: u32 = 4;
/// Time after the last arrival in which open requests end.
const COOLDOWN: Duration = Duration::from_secs(45);

/// `Dispatcher` is the code that admits and dispatches requests on an entry host.
#[derive(Clone, Debug)]
pub(crate) enum Dispatcher {
    Gate(Box<Gate>),
    Baseline(Baseline),
}

impl Dispatcher {
    fn step(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match self {
            Self::Gate(gate) => gate.step(now, event, actions),
            Self::Baseline(baseline) => baseline.step(now, event, actions),
        }
    }
}

/// `Timer` is what happens at a scheduled time; calls, workers and entry hosts are indices.
#[derive(Debug)]
pub(super) enum Timer {
    /// The next request for a service arrives.
    Arrive(usize),
    /// An event reaches an incarnation of an entry host.
    Deliver(usize, u32, Box<Event>),
    /// The caller cancels a call.
    Cancel(usize),
    /// A claim of an entry host reaches the log.
    Claim(usize, ids::Request, ids::IdempotencyKey),
    /// An entry host chosen at random restarts.
    Crash,
    /// A call ends on a worker, if the worker's outage count is still the same.
    Complete(usize, usize, u64),
    /// A fault of the plan sets a worker's mode.
    ApplyFault(usize),
    /// A call reaches a worker.
    ReachWorker(usize, usize),
    /// The caller sends a call again.
    Resend(usize),
    /// An entry host gets its periodic tick.
    Tick(usize),
}

/// `Call` is a request of a caller.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) service: usize,
    /// Whether the caller is not the one that floods.
    pub(super) is_steady: bool,
    pub(super) entry: usize,
    pub(super) submitted_at: Duration,
    pub(super) deadline: Duration,
    pub(super) work_time: Duration,
    /// Whether the request breaks off on each worker that runs it.
    pub(super) is_poison: bool,
    pub(super) key: ids::IdempotencyKey,
    pub(super) run_count: u32,
    pub(super) outcome: Option<&'static str>,
}

/// `Worker` is a backend server.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub(super) mode: Mode,
    pub(super) busy_slots: u16,
    /// Number of times that the worker went down; a call that ran before gets no answer.
    pub(super) outage_count: u64,
    /// Exchanges that entry hosts have open with the worker.
    pub(super) open_exchanges: u32,
    pub(super) max_open_exchanges: u32,
    pub(super) max_busy_slots: u16,
}

/// `World` is the state of a run.
pub(crate) struct World {
    pub(crate) plan: Plan,
    /// Instant that corresponds to time zero of the run.
    pub(super) started_at: Instant,
    pub(super) now: Duration,
    timer_count: u64,
    /// Times of the timers, with the order of their creation and their key in `timers`.
    timer_queue: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    timers: Map<usize, Timer>,
    pub(super) dispatchers: Vec<Dispatcher>,
    /// Number of restarts of each entry host.
    pub(super) incarnations: Vec<u32>,
    /// State with which each entry host starts.
    pub(super) initial_dispatchers: Vec<Dispatcher>,
    pub(super) log: Log,
    pub(super) rng: ChaCha8Rng,
    /// Number of runs of each non-idempotent key.
    pub(super) run_counts: Map<ids::IdempotencyKey, u32>,
    pub(super) workers: Vec<Worker>,
    pub(super) worker_indices: Map<ids::Host, usize>,
    pub(super) calls: Vec<Call>,
    /// Random numbers of the arrivals, one stream for each service, so that a flood of one service
    /// does not change the arrivals of the others.
    arrival_rngs: Vec<ChaCha8Rng>,
    pub(crate) service_stats: Vec<Stats>,
    /// Requests that got the answer of another request.
    pub(crate) wrong_answers: u64,
    /// Requests that were reported as not run although they ran.
    pub(crate) false_not_run: u64,
    /// Non-idempotent requests that ran more than once.
    pub(crate) second_runs: u64,
    /// Requests with more than one outcome.
    pub(crate) second_outcomes: u64,
}

impl World {
    /// Creates a run; `make_dispatcher` creates the dispatcher of each entry host from its options
    /// and a seed.
    pub(crate) fn new(
        plan: Plan,
        seed: u64,
        make_dispatcher: impl Fn(Options, u64) -> Dispatcher,
    ) -> Self {
        let started_at = tokio::time::Instant::now().into_std();
        let worker_count = plan
            .deployment
            .services
            .iter()
            .map(|service| service.worker_count)
            .sum();
        let worker = Worker {
            mode: Mode::Healthy,
            busy_slots: 0,
            outage_count: 0,
            open_exchanges: 0,
            max_open_exchanges: 0,
            max_busy_slots: 0,
        };
        let build_dispatcher = |entry: usize| {
            let options = Options {
                zone: setup::zone_name(entry % ZONES),
                instance: setup::entry_name(entry),
                ..Options::default()
            };
            make_dispatcher(options, seed + entry as u64)
        };
        let service_count = plan.deployment.services.len();
        let initial_dispatchers: Vec<Dispatcher> =
            (0..plan.entry_count).map(build_dispatcher).collect();
        let mut world = Self {
            started_at,
            now: Duration::ZERO,
            timer_count: 0,
            timer_queue: BinaryHeap::new(),
            timers: Map::default(),
            dispatchers: initial_dispatchers.clone(),
            incarnations: vec![0; plan.entry_count],
            initial_dispatchers,
            log: Log::new(plan.entry_count),
            rng: ChaCha8Rng::seed_from_u64(seed),
            run_counts: Map::default(),
            workers: vec![worker; worker_count],
            worker_indices: (0..worker_count)
                .map(|worker| (setup::host_name(worker), worker))
                .collect(),
            calls: Vec::new(),
            arrival_rngs: (0..service_count as u64)
                .map(|service| ChaCha8Rng::seed_from_u64(seed * 1000 + service))
                .collect(),
            service_stats: vec![Stats::default(); service_count],
            wrong_answers: 0,
            false_not_run: 0,
            second_runs: 0,
            second_outcomes: 0,
            plan,
        };
        world.schedule_initial();
        world
    }

    fn schedule_initial(&mut self) {
        for entry in 0..self.dispatchers.len() {
            self.apply_initial_changes(entry);
            self.schedule(
                TICK_INTERVAL * u32::try_from(entry).unwrap_or(0) / 9,
                Timer::Tick(entry),
            );
        }
        for service in 0..self.service_stats.len() {
            self.schedule(self.plan.first_arrival, Timer::Arrive(service));
        }
        if let Some(chaos) = self.plan.chaos {
            self.schedule(self.plan.first_arrival + chaos.crash_interval, Timer::Crash);
        }
        for fault in 0..self.plan.faults.len() {
            self.schedule(self.plan.faults[fault].applies_at, Timer::ApplyFault(fault));
        }
    }

    /// Tells an entry host about all members, pools and hosts.
    pub(super) fn apply_initial_changes(&mut self, entry: usize) {
        for change in setup::initial_changes(self.plan.deployment, self.plan.entry_count) {
            self.step(entry, Event::Change(change));
        }
    }

    pub(super) fn schedule(&mut self, delay: Duration, timer: Timer) {
        self.timer_count += 1;
        let timer_id = usize::try_from(self.timer_count).unwrap_or(0);
        self.timer_queue
            .push(Reverse((self.now + delay, self.timer_count, timer_id)));
        self.timers.insert(timer_id, timer);
    }

    /// Runs the simulation to its end.
    ///
    /// # Panics
    ///
    /// Panics if a request has no outcome at the end.
    pub(crate) fn run(&mut self) {
        let end = self.plan.last_arrival + COOLDOWN;
        while let Some(Reverse((fires_at, _, timer_id))) = self.timer_queue.pop() {
            if fires_at > end {
                break;
            }
            self.now = fires_at;
            if let Some(timer) = self.timers.remove(&timer_id) {
                self.fire(timer);
            }
        }
        let unfinished = self
            .calls
            .iter()
            .filter(|call| call.outcome.is_none())
            .count();
        assert_eq!(unfinished, 0, "every request has an outcome");
    }

    /// Returns the highest numbers of busy slots and of open exchanges on one worker.
    pub(crate) fn max_in_use(&self) -> (u16, u32) {
        let busy_slots = self
            .workers
            .iter()
            .map(|worker| worker.max_busy_slots)
            .max();
        let open_exchanges = self
            .workers
            .iter()
            .map(|worker| worker.max_open_exchanges)
            .max();
        (busy_slots.unwrap_or(0), open_exchanges.unwrap_or(0))
    }

    fn fire(&mut self, timer: Timer) {
        match timer {
            Timer::Arrive(service) => self.submit_next(service),
            Timer::Deliver(entry, incarnation, event) => {
                if let Event::ExchangeEnded { host, .. } = &*event {
                    let worker = self.worker_indices[host];
                    self.workers[worker].open_exchanges -= 1;
                }
                // An event for an earlier incarnation of the entry host is dropped.
                if self.incarnations[entry] == incarnation {
                    self.step(entry, *event);
                }
            }
            Timer::Cancel(call) => self.cancel(call),
            Timer::Claim(entry, request, key) => self.claim(entry, request, key),
            Timer::Crash => self.crash(),
            Timer::Complete(call, worker, outage_count) => {
                self.complete_run(call, worker, outage_count);
            }
            Timer::ApplyFault(fault) => {
                let fault = self.plan.faults[fault];
                let worker = &mut self.workers[fault.worker];
                worker.mode = fault.mode;
                if fault.mode == Mode::Unreachable {
                    worker.outage_count += 1;
                    worker.busy_slots = 0;
                }
            }
            Timer::Resend(call) => self.resend(call),
            Timer::ReachWorker(call, worker) => self.reach_worker(call, worker),
            Timer::Tick(entry) => {
                self.step(entry, Event::Tick);
                self.schedule(TICK_INTERVAL, Timer::Tick(entry));
            }
        }
    }

    /// Submits a request to a service and schedules the next one.
    fn submit_next(&mut self, service_index: usize) {
        if self.now >= self.plan.last_arrival {
            return;
        }
        let service = self.plan.deployment.services[service_index];
        let demand_factor = self.plan.demand_factor(service_index, self.now);
        let rng = &mut self.arrival_rngs[service_index];
        #[expect(clippy::cast_precision_loss, reason = "a few workers")]
        let slots = service.worker_count as f64 * f64::from(SLOTS);
        let mean_work = Duration::from_millis(service.mean_work_ms);
        let arrival_rate = self.plan.load * demand_factor * slots / mean_work.as_secs_f64();
        let arrival_gap: f64 = -(1.0 - rng.random::<f64>()).ln() / arrival_rate;
        let is_flooding = rng.random::<f64>() * demand_factor >= 1.0;
        let caller = if is_flooding {
            0
        } else {
            rng.random_range(0..CALLERS_PER_SERVICE)
        };
        let call_id = self.calls.len();
        let call = Call {
            service: service_index,
            is_steady: caller != 0,
            entry: rng.random_range(0..self.dispatchers.len()),
            submitted_at: self.now,
            deadline: self.now + Duration::from_millis(service.deadline_ms),
            work_time: mean_work.mul_f64(rng.random_range(0.5..1.5)),
            is_poison: rng.random::<f64>() < self.plan.poison_share,
            key: make_key(clock(self.now), call_id as u128),
            run_count: 0,
            outcome: None,
        };
        let is_cancelled = rng.random::<f64>() < self.plan.cancel_share;
        let cancel_delay = mean_work.mul_f64(rng.random_range(0.0..2.0));
        self.calls.push(call);
        self.service_stats[service_index].arrived += 1;
        self.service_stats[service_index].steady_callers.1 += u64::from(caller != 0);
        if is_cancelled {
            self.schedule(cancel_delay, Timer::Cancel(call_id));
        }
        self.schedule(
            Duration::from_secs_f64(arrival_gap),
            Timer::Arrive(service_index),
        );
        self.submit(call_id, caller);
    }

    /// Sends a call to its entry host.
    pub(super) fn submit(&mut self, call_id: usize, caller: u32) {
        let call = &self.calls[call_id];
        let service = self.plan.deployment.services[call.service];
        let repeatability = if service.is_idempotent {
            Repeatability::Idempotent
        } else {
            Repeatability::Once(call.key)
        };
        let request = Request {
            id: call_id as u64,
            service: service.name.into(),
            caller: format!("caller-{caller}").into(),
            urgency: service.urgency,
            repeatability,
            deadline: self.started_at + call.deadline,
            path: Bytes::new(),
            body: Bytes::new(),
        };
        let entry = call.entry;
        self.step(entry, Event::Arrive(request));
    }

    pub(super) fn step(&mut self, entry: usize, event: Event) {
        let mut actions = Vec::new();
        self.dispatchers[entry].step(self.started_at + self.now, event, &mut actions);
        for action in actions {
            self.execute(entry, action);
        }
    }
}
