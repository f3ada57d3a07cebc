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
use super::{Plain, Tally};

/// Time between two ticks of an entry host.
pub(super) const TICK: Duration = Duration::from_millis(20);
/// Callers of each service; the first one floods.
const CALLERS: u32 = 4;
/// Time after the last arrival in which a run ends.
const REST: Duration = Duration::from_secs(45);

/// `Door` is the code that decides on an entry host.
#[derive(Clone, Debug)]
pub(crate) enum Door {
    Gate(Box<Gate>),
    Plain(Plain),
}

impl Door {
    fn step(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match self {
            Self::Gate(gate) => gate.step(now, event, actions),
            Self::Plain(plain) => plain.step(now, event, actions),
        }
    }
}

/// `Happening` is what comes at a time.
#[derive(Debug)]
pub(super) enum Happening {
    Arrive(usize),
    /// An event for one run of an entry host.
    At(usize, u32, Box<Event>),
    Cancel(usize),
    Claim(usize, ids::Request, ids::IdempotencyKey),
    Crash,
    End(usize, usize, u64),
    Fault(usize),
    Reach(usize, usize),
    Resend(usize),
    Tick(usize),
}

/// `Call` is one request of a caller.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) service: usize,
    pub(super) calm: bool,
    pub(super) entry: usize,
    pub(super) since: Duration,
    pub(super) deadline: Duration,
    pub(super) work: Duration,
    pub(super) poison: bool,
    pub(super) key: ids::IdempotencyKey,
    pub(super) runs: u32,
    pub(super) outcome: Option<&'static str>,
}

/// `Worker` is one backend server.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub(super) mode: Mode,
    pub(super) busy: u16,
    /// Counts the starts of the worker, which cut what ran.
    pub(super) start: u64,
    /// Exchanges of all entry hosts with it.
    pub(super) open: u32,
    pub(super) open_max: u32,
    pub(super) busy_max: u16,
}

/// `World` is one run.
pub(crate) struct World {
    pub(crate) plan: Plan,
    pub(super) base: Instant,
    pub(super) now: Duration,
    order: u64,
    coming: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    happenings: Map<usize, Happening>,
    pub(super) doors: Vec<Door>,
    /// Runs of each entry host so far.
    pub(super) runs: Vec<u32>,
    /// Decision code as it starts anew.
    pub(super) fresh: Vec<Door>,
    pub(super) log: Log,
    pub(super) chance: ChaCha8Rng,
    /// Runs of each non-idempotent key.
    pub(super) ran: Map<ids::IdempotencyKey, u32>,
    pub(super) workers: Vec<Worker>,
    pub(super) numbers: Map<ids::Host, usize>,
    pub(super) calls: Vec<Call>,
    /// Ends of arrival streams, one for each service, so that a flood changes no other's arrivals.
    arrivals: Vec<ChaCha8Rng>,
    pub(crate) tallies: Vec<Tally>,
    /// Requests that got another's answer.
    pub(crate) wrong: u64,
    /// Requests told not run that ran.
    pub(crate) false_not_run: u64,
    /// Non-idempotent requests that ran more than once.
    pub(crate) second_runs: u64,
    /// Requests with more than one outcome.
    pub(crate) doubled: u64,
}

impl World {
    /// Makes a run; each entry host gets its decision code from `door`.
    pub(crate) fn new(plan: Plan, seed: u64, door: impl Fn(Options, u64) -> Door) -> Self {
        let base = tokio::time::Instant::now().into_std();
        let count = plan.deployment.services.iter().map(|it| it.workers).sum();
        let worker = Worker {
            mode: Mode::Well,
            busy: 0,
            start: 0,
            open: 0,
            open_max: 0,
            busy_max: 0,
        };
        let make = |entry: usize| {
            let options = Options {
                zone: setup::zone_name(entry % ZONES),
                instance: setup::entry_name(entry),
                ..Options::default()
            };
            door(options, seed + entry as u64)
        };
        let services = plan.deployment.services.len();
        let fresh: Vec<Door> = (0..plan.entries).map(make).collect();
        let mut world = Self {
            base,
            now: Duration::ZERO,
            order: 0,
            coming: BinaryHeap::new(),
            happenings: Map::default(),
            doors: fresh.clone(),
            runs: vec![0; plan.entries],
            fresh,
            log: Log::new(plan.entries),
            chance: ChaCha8Rng::seed_from_u64(seed),
            ran: Map::default(),
            workers: vec![worker; count],
            numbers: (0..count).map(|it| (setup::host_name(it), it)).collect(),
            calls: Vec::new(),
            arrivals: (0..services as u64)
                .map(|it| ChaCha8Rng::seed_from_u64(seed * 1000 + it))
                .collect(),
            tallies: vec![Tally::default(); services],
            wrong: 0,
            false_not_run: 0,
            second_runs: 0,
            doubled: 0,
            plan,
        };
        world.begin();
        world
    }

    fn begin(&mut self) {
        for entry in 0..self.doors.len() {
            self.follow(entry);
            self.after(
                TICK * u32::try_from(entry).unwrap_or(0) / 9,
                Happening::Tick(entry),
            );
        }
        for service in 0..self.tallies.len() {
            self.after(self.plan.from, Happening::Arrive(service));
        }
        if let Some(chaos) = self.plan.chaos {
            self.after(self.plan.from + chaos.crash, Happening::Crash);
        }
        for fault in 0..self.plan.faults.len() {
            self.after(self.plan.faults[fault].at, Happening::Fault(fault));
        }
    }

    /// Lets an entry host fold the log's changes.
    pub(super) fn follow(&mut self, entry: usize) {
        for change in setup::changes(self.plan.deployment, self.plan.entries) {
            self.step(entry, Event::Change(change));
        }
    }

    pub(super) fn after(&mut self, wait: Duration, happening: Happening) {
        self.order += 1;
        let slot = usize::try_from(self.order).unwrap_or(0);
        self.coming
            .push(Reverse((self.now + wait, self.order, slot)));
        self.happenings.insert(slot, happening);
    }

    /// Runs to the end.
    pub(crate) fn run(&mut self) {
        let end = self.plan.until + REST;
        while let Some(Reverse((at, _, slot))) = self.coming.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(happening) = self.happenings.remove(&slot) {
                self.happen(happening);
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
    pub(crate) fn highest(&self) -> (u16, u32) {
        let busy = self.workers.iter().map(|it| it.busy_max).max();
        let open = self.workers.iter().map(|it| it.open_max).max();
        (busy.unwrap_or(0), open.unwrap_or(0))
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrive(service) => self.arrive(service),
            Happening::At(entry, run, event) => {
                if let Event::Done { host, .. } = &*event {
                    let worker = self.numbers[host];
                    self.workers[worker].open -= 1;
                }
                // What was meant for an earlier run of the entry host comes to nothing.
                if self.runs[entry] == run {
                    self.step(entry, *event);
                }
            }
            Happening::Cancel(call) => self.cancel(call),
            Happening::Claim(entry, request, key) => self.claim(entry, request, key),
            Happening::Crash => self.crash(),
            Happening::End(call, worker, start) => self.end(call, worker, start),
            Happening::Fault(fault) => {
                let fault = self.plan.faults[fault];
                let worker = &mut self.workers[fault.worker];
                worker.mode = fault.mode;
                if fault.mode == Mode::Gone {
                    worker.start += 1;
                    worker.busy = 0;
                }
            }
            Happening::Resend(call) => self.resend(call),
            Happening::Reach(call, worker) => self.reach(call, worker),
            Happening::Tick(entry) => {
                self.step(entry, Event::Tick);
                self.after(TICK, Happening::Tick(entry));
            }
        }
    }

    /// Lets a caller send a request and schedules the next one of the service.
    fn arrive(&mut self, index: usize) {
        if self.now >= self.plan.until {
            return;
        }
        let service = self.plan.deployment.services[index];
        let factor = self.plan.factor(index, self.now);
        let rng = &mut self.arrivals[index];
        #[expect(clippy::cast_precision_loss, reason = "a few workers")]
        let slots = service.workers as f64 * f64::from(SLOTS);
        let work = Duration::from_millis(service.work_ms);
        let rate = self.plan.load * factor * slots / work.as_secs_f64();
        let gap: f64 = -(1.0 - rng.random::<f64>()).ln() / rate;
        let floods = rng.random::<f64>() * factor >= 1.0;
        let caller = if floods {
            0
        } else {
            rng.random_range(0..CALLERS)
        };
        let id = self.calls.len();
        let call = Call {
            service: index,
            calm: caller != 0,
            entry: rng.random_range(0..self.doors.len()),
            since: self.now,
            deadline: self.now + Duration::from_millis(service.deadline_ms),
            work: work.mul_f64(rng.random_range(0.5..1.5)),
            poison: rng.random::<f64>() < self.plan.poison,
            key: make_key(clock(self.now), id as u128),
            runs: 0,
            outcome: None,
        };
        let cancelled = rng.random::<f64>() < self.plan.cancels;
        let cancel_after = work.mul_f64(rng.random_range(0.0..2.0));
        self.calls.push(call);
        self.tallies[index].offered += 1;
        self.tallies[index].calm.1 += u64::from(caller != 0);
        if cancelled {
            self.after(cancel_after, Happening::Cancel(id));
        }
        self.after(Duration::from_secs_f64(gap), Happening::Arrive(index));
        self.submit(id, caller);
    }

    /// Hands a call to its entry host.
    pub(super) fn submit(&mut self, id: usize, caller: u32) {
        let call = &self.calls[id];
        let service = self.plan.deployment.services[call.service];
        let kind = if service.idempotent {
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
            deadline: self.base + call.deadline,
            path: Bytes::new(),
            body: Bytes::new(),
        };
        let entry = call.entry;
        self.step(entry, Event::Arrive(request));
    }

    pub(super) fn step(&mut self, entry: usize, event: Event) {
        let mut actions = Vec::new();
        self.doors[entry].step(self.base + self.now, event, &mut actions);
        for action in actions {
            self.carry_out(entry, action);
        }
    }
}
