//! One run: arrivals, exchanges and workers on a simulated clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use persimmongate_core::gate::{Action, Event, Gate, Options};
use persimmongate_core::ids;
use persimmongate_core::map::Map;
use persimmongate_core::request::{Kind, Request, make_key};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::log::{Log, clock};
use super::plan::{Mode, Plan, SLOTS, ZONES};
use super::setup;
use super::{Baseline, Stats};

/// Time between two ticks of an entry host.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Callers of each service; the first one floods.
const CALLERS_PER_SERVICE: u32 = 4;
/// Time after the last arrival in which a run ends.
const COOLDOWN: Duration = Duration::from_secs(45);

/// `Door` is the code that decides on an entry host.
#[derive(Clone, Debug)]
pub(crate) enum Dispatcher {
    Gate(Box<Gate>),
    Baseline(Baseline),
}

impl Dispatcher {
    fn step(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match self {
            Self::Gate(gate) => gate.step(now, event, actions),
            Self::Baseline(plain) => plain.step(now, event, actions),
        }
    }
}

/// `Happening` is what comes at a time.
#[derive(Debug)]
pub(super) enum Timer {
    Arrive(usize),
    /// An event for one run of an entry host.
    Deliver(usize, u32, Box<Event>),
    Cancel(usize),
    Claim(usize, ids::Request, ids::IdempotencyKey),
    Crash,
    Complete(usize, usize, u64),
    ApplyFault(usize),
    ReachWorker(usize, usize),
    Resend(usize),
    Tick(usize),
}

/// `Call` is one request of a caller.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) service: usize,
    pub(super) is_steady: bool,
    pub(super) entry: usize,
    pub(super) submitted_at: Duration,
    pub(super) deadline: Duration,
    pub(super) work_time: Duration,
    pub(super) is_poison: bool,
    pub(super) key: ids::IdempotencyKey,
    pub(super) run_count: u32,
    pub(super) outcome: Option<&'static str>,
}

/// `Worker` is one backend server.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub(super) mode: Mode,
    pub(super) busy_slots: u16,
    /// Counts the starts of the worker, which cut what ran.
    pub(super) start_count: u64,
    /// Exchanges of all entry hosts with it.
    pub(super) open_exchanges: u32,
    pub(super) max_open_exchanges: u32,
    pub(super) max_busy_slots: u16,
}

/// `World` is one run.
pub(crate) struct World {
    pub(crate) plan: Plan,
    pub(super) started_at: Instant,
    pub(super) now: Duration,
    timer_count: u64,
    timer_queue: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    timers: Map<usize, Timer>,
    pub(super) dispatchers: Vec<Dispatcher>,
    /// Runs of each entry host so far.
    pub(super) incarnations: Vec<u32>,
    /// Decision code as it starts anew.
    pub(super) initial_dispatchers: Vec<Dispatcher>,
    pub(super) log: Log,
    pub(super) random: ChaCha8Rng,
    /// Runs of each non-idempotent key.
    pub(super) run_counts: Map<ids::IdempotencyKey, u32>,
    pub(super) workers: Vec<Worker>,
    pub(super) worker_indices: Map<ids::Host, usize>,
    pub(super) calls: Vec<Call>,
    /// Ends of arrival streams, one for each service, so that a flood changes no other's arrivals.
    arrivals: Vec<ChaCha8Rng>,
    pub(crate) service_stats: Vec<Stats>,
    /// Requests that got another's answer.
    pub(crate) wrong_answers: u64,
    /// Requests told not run that ran.
    pub(crate) false_not_run: u64,
    /// Non-idempotent requests that ran more than once.
    pub(crate) second_runs: u64,
    /// Requests with more than one outcome.
    pub(crate) second_outcomes: u64,
}

impl World {
    /// Makes a run; each entry host gets its decision code from `door`.
    pub(crate) fn new(
        plan: Plan,
        seed: u64,
        make_dispatcher: impl Fn(Options, u64) -> Dispatcher,
    ) -> Self {
        let started_at = tokio::time::Instant::now().into_std();
        let count = plan
            .deployment
            .services
            .iter()
            .map(|it| it.worker_count)
            .sum();
        let worker = Worker {
            mode: Mode::Healthy,
            busy_slots: 0,
            start_count: 0,
            open_exchanges: 0,
            max_open_exchanges: 0,
            max_busy_slots: 0,
        };
        let make = |entry: usize| {
            let options = Options {
                zone: setup::zone_name(entry % ZONES),
                instance: setup::entry_name(entry),
                ..Options::default()
            };
            make_dispatcher(options, seed + entry as u64)
        };
        let services = plan.deployment.services.len();
        let initial_dispatchers: Vec<Dispatcher> = (0..plan.entry_count).map(make).collect();
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
            random: ChaCha8Rng::seed_from_u64(seed),
            run_counts: Map::default(),
            workers: vec![worker; count],
            worker_indices: (0..count).map(|it| (setup::host_name(it), it)).collect(),
            calls: Vec::new(),
            arrivals: (0..services as u64)
                .map(|it| ChaCha8Rng::seed_from_u64(seed * 1000 + it))
                .collect(),
            service_stats: vec![Stats::default(); services],
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

    /// Lets an entry host fold the log's changes.
    pub(super) fn apply_initial_changes(&mut self, entry: usize) {
        for change in setup::initial_changes(self.plan.deployment, self.plan.entry_count) {
            self.step(entry, Event::Change(change));
        }
    }

    pub(super) fn schedule(&mut self, delay: Duration, timer: Timer) {
        self.timer_count += 1;
        let slot = usize::try_from(self.timer_count).unwrap_or(0);
        self.timer_queue
            .push(Reverse((self.now + delay, self.timer_count, slot)));
        self.timers.insert(slot, timer);
    }

    /// Runs to the end.
    pub(crate) fn run(&mut self) {
        let end = self.plan.last_arrival + COOLDOWN;
        while let Some(Reverse((at, _, slot))) = self.timer_queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(timer) = self.timers.remove(&slot) {
                self.fire(timer);
            }
        }
        let lost = self
            .calls
            .iter()
            .filter(|call| call.outcome.is_none())
            .count();
        assert_eq!(lost, 0, "every request has an outcome");
    }

    /// Gets the most slots and connections in use on one worker.
    pub(crate) fn max_in_use(&self) -> (u16, u32) {
        let busy = self.workers.iter().map(|it| it.max_busy_slots).max();
        let open = self.workers.iter().map(|it| it.max_open_exchanges).max();
        (busy.unwrap_or(0), open.unwrap_or(0))
    }

    fn fire(&mut self, timer: Timer) {
        match timer {
            Timer::Arrive(service) => self.arrive(service),
            Timer::Deliver(entry, run, event) => {
                if let Event::Done { host, .. } = &*event {
                    let worker = self.worker_indices[host];
                    self.workers[worker].open_exchanges -= 1;
                }
                // What was meant for an earlier run of the entry host comes to nothing.
                if self.incarnations[entry] == run {
                    self.step(entry, *event);
                }
            }
            Timer::Cancel(call) => self.cancel(call),
            Timer::Claim(entry, request, key) => self.claim(entry, request, key),
            Timer::Crash => self.crash(),
            Timer::Complete(call, worker, start) => self.complete_run(call, worker, start),
            Timer::ApplyFault(fault) => {
                let fault = self.plan.faults[fault];
                let worker = &mut self.workers[fault.worker];
                worker.mode = fault.mode;
                if fault.mode == Mode::Unreachable {
                    worker.start_count += 1;
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

    /// Lets a caller send a request and schedules the next one of the service.
    fn arrive(&mut self, index: usize) {
        if self.now >= self.plan.last_arrival {
            return;
        }
        let service = self.plan.deployment.services[index];
        let factor = self.plan.demand_factor(index, self.now);
        let rng = &mut self.arrivals[index];
        #[expect(clippy::cast_precision_loss, reason = "a few workers")]
        let slots = service.worker_count as f64 * f64::from(SLOTS);
        let work = Duration::from_millis(service.mean_work_ms);
        let rate = self.plan.load * factor * slots / work.as_secs_f64();
        let gap: f64 = -(1.0 - rng.random::<f64>()).ln() / rate;
        let floods = rng.random::<f64>() * factor >= 1.0;
        let caller = if floods {
            0
        } else {
            rng.random_range(0..CALLERS_PER_SERVICE)
        };
        let id = self.calls.len();
        let call = Call {
            service: index,
            is_steady: caller != 0,
            entry: rng.random_range(0..self.dispatchers.len()),
            submitted_at: self.now,
            deadline: self.now + Duration::from_millis(service.deadline_ms),
            work_time: work.mul_f64(rng.random_range(0.5..1.5)),
            is_poison: rng.random::<f64>() < self.plan.poison_share,
            key: make_key(clock(self.now), id as u128),
            run_count: 0,
            outcome: None,
        };
        let cancelled = rng.random::<f64>() < self.plan.cancel_share;
        let cancel_after = work.mul_f64(rng.random_range(0.0..2.0));
        self.calls.push(call);
        self.service_stats[index].arrived += 1;
        self.service_stats[index].steady_callers.1 += u64::from(caller != 0);
        if cancelled {
            self.schedule(cancel_after, Timer::Cancel(id));
        }
        self.schedule(Duration::from_secs_f64(gap), Timer::Arrive(index));
        self.submit(id, caller);
    }

    /// Hands a call to its entry host.
    pub(super) fn submit(&mut self, id: usize, caller: u32) {
        let call = &self.calls[id];
        let service = self.plan.deployment.services[call.service];
        let kind = if service.is_idempotent {
            Kind::Idempotent
        } else {
            Kind::Once(call.key)
        };
        let request = Request {
            id: id as u64,
            service: service.name.into(),
            caller: format!("caller-{caller}").into(),
            urgency: service.urgency,
            kind,
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
