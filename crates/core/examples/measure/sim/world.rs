//! One run: arrivals, exchanges and workers on a simulated clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use persimmongate_core::gate::{Action, Claim, Event, Exchange, Gate, Options};
use persimmongate_core::ids;
use persimmongate_core::map::Map;
use persimmongate_core::outcome::{Answer, Outcome};
use persimmongate_core::request::{Kind, Request};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::plan::{Mode, Plan, SLOTS, ZONES};
use super::setup;
use super::{Plain, Tally};

/// Time between two ticks of an entry host.
const TICK: Duration = Duration::from_millis(20);
/// One way inside a zone.
const INSIDE: Duration = Duration::from_micros(250);
/// Time in which a connection to a vanished worker is given up.
const CONNECT: Duration = Duration::from_secs(1);
/// Time after a deadline at which an exchange is given up.
const LINGER: Duration = Duration::from_secs(30);
/// Time for the claim on a key.
const CLAIM: Duration = Duration::from_millis(10);
/// Callers of each service; the first one floods.
const CALLERS: u32 = 4;
/// Time after the last arrival in which a run ends.
const REST: Duration = Duration::from_secs(45);

/// `Door` is the code that decides on an entry host.
#[derive(Debug)]
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
enum Happening {
    Arrive(usize),
    At(usize, Box<Event>),
    Cancel(usize),
    End(usize, usize, u64),
    Fault(usize),
    Reach(usize, usize),
    Tick(usize),
}

/// `Call` is one request of a caller.
#[derive(Debug)]
struct Call {
    service: usize,
    calm: bool,
    entry: usize,
    since: Duration,
    deadline: Duration,
    work: Duration,
    poison: bool,
    runs: u32,
    outcome: Option<&'static str>,
}

/// `Worker` is one backend server.
#[derive(Clone, Debug)]
struct Worker {
    mode: Mode,
    busy: u16,
    /// Counts the starts of the worker, which cut what ran.
    start: u64,
    /// Exchanges of all entry hosts with it.
    open: u32,
    open_max: u32,
    busy_max: u16,
}

/// `World` is one run.
pub(crate) struct World {
    plan: Plan,
    base: Instant,
    now: Duration,
    order: u64,
    coming: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    happenings: Map<usize, Happening>,
    doors: Vec<Door>,
    workers: Vec<Worker>,
    numbers: Map<ids::Host, usize>,
    calls: Vec<Call>,
    /// Ends of arrival streams, one for each service, so that a flood changes no other's arrivals.
    arrivals: Vec<ChaCha8Rng>,
    pub(crate) tallies: Vec<Tally>,
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
        let mut world = Self {
            base,
            now: Duration::ZERO,
            order: 0,
            coming: BinaryHeap::new(),
            happenings: Map::default(),
            doors: (0..plan.entries).map(make).collect(),
            workers: vec![worker; count],
            numbers: (0..count).map(|it| (setup::host_name(it), it)).collect(),
            calls: Vec::new(),
            arrivals: (0..services as u64)
                .map(|it| ChaCha8Rng::seed_from_u64(seed * 1000 + it))
                .collect(),
            tallies: vec![Tally::default(); services],
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
            for change in setup::changes(self.plan.deployment, self.plan.entries) {
                self.step(entry, Event::Change(change));
            }
            self.after(
                TICK * u32::try_from(entry).unwrap_or(0) / 9,
                Happening::Tick(entry),
            );
        }
        for service in 0..self.tallies.len() {
            self.after(self.plan.from, Happening::Arrive(service));
        }
        for fault in 0..self.plan.faults.len() {
            self.after(self.plan.faults[fault].at, Happening::Fault(fault));
        }
    }

    fn after(&mut self, wait: Duration, happening: Happening) {
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
            Happening::At(entry, event) => {
                if let Event::Done { host, .. } = &*event {
                    let worker = self.numbers[host];
                    self.workers[worker].open -= 1;
                }
                self.step(entry, *event);
            }
            Happening::Cancel(call) => {
                if self.calls[call].outcome.is_none() {
                    let entry = self.calls[call].entry;
                    self.step(entry, Event::Cancel(call as u64));
                }
            }
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
            runs: 0,
            outcome: None,
        };
        let cancelled = rng.random::<f64>() < self.plan.cancels;
        let cancel_after = work.mul_f64(rng.random_range(0.0..2.0));
        let kind = if service.idempotent {
            Kind::Idempotent
        } else {
            Kind::Once(id as u128)
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
        self.tallies[index].offered += 1;
        self.tallies[index].calm.1 += u64::from(call.calm);
        let entry = call.entry;
        self.calls.push(call);
        if cancelled {
            self.after(cancel_after, Happening::Cancel(id));
        }
        self.after(Duration::from_secs_f64(gap), Happening::Arrive(index));
        self.step(entry, Event::Arrive(request));
    }

    fn step(&mut self, entry: usize, event: Event) {
        let mut actions = Vec::new();
        self.doors[entry].step(self.base + self.now, event, &mut actions);
        for action in actions {
            self.carry_out(entry, action);
        }
    }

    fn carry_out(&mut self, entry: usize, action: Action) {
        match action {
            Action::Claim { request, .. } => {
                let won = Event::Claimed(request, Claim::Won);
                self.after(CLAIM, Happening::At(entry, Box::new(won)));
            }
            Action::Finish { request, outcome } => self.finish(request, &outcome),
            Action::Send { request, host, .. } => {
                let worker = self.numbers[&host];
                let call = usize::try_from(request).unwrap_or(0);
                let way = self.way(entry, worker);
                let tally = &mut self.tallies[self.calls[call].service];
                tally.sends += 1;
                tally.remote += u64::from(way > INSIDE);
                let worker_state = &mut self.workers[worker];
                worker_state.open += 1;
                worker_state.open_max = worker_state.open_max.max(worker_state.open);
                self.after(way, Happening::Reach(call, worker));
            }
            _ => {}
        }
    }

    fn way(&self, entry: usize, worker: usize) -> Duration {
        if entry % ZONES == setup::zone_of(worker) {
            INSIDE
        } else {
            self.plan.deployment.between
        }
    }

    fn finish(&mut self, request: ids::Request, outcome: &Outcome) {
        let call = &mut self.calls[usize::try_from(request).unwrap_or(0)];
        if call.outcome.is_some() {
            self.doubled += 1;
            return;
        }
        call.outcome = Some(outcome.word());
        let in_time = self.now <= call.deadline;
        let tally = &mut self.tallies[call.service];
        tally.note(outcome, self.now.saturating_sub(call.since), in_time);
        let answered = matches!(outcome, Outcome::Answered(_)) && in_time;
        tally.calm.0 += u64::from(answered && call.calm);
        let flood = self.plan.floods.first();
        if answered && flood.is_some_and(|it| (it.from..it.until).contains(&self.now)) {
            tally.work += call.work.as_secs_f64();
        }
        if matches!(outcome, Outcome::NotRun(_)) && call.runs > 0 {
            self.false_not_run += 1;
        }
    }

    /// Ends an exchange after a time.
    fn reply(&mut self, call: usize, worker: usize, exchange: Exchange, wait: Duration) {
        let entry = self.calls[call].entry;
        let done = Event::Done {
            request: call as u64,
            host: setup::host_name(worker),
            exchange,
        };
        self.after(wait, Happening::At(entry, Box::new(done)));
    }

    fn reach(&mut self, call: usize, worker: usize) {
        let way = self.way(self.calls[call].entry, worker);
        let state = &mut self.workers[worker];
        let slow = match state.mode {
            Mode::Gone => return self.reply(call, worker, Exchange::Unsent, CONNECT),
            Mode::Fails => return self.reply(call, worker, Exchange::Broken, way),
            Mode::Slow(factor) => factor,
            Mode::Well => 1.0,
        };
        if state.busy >= SLOTS {
            self.tallies[self.calls[call].service].refused += 1;
            return self.reply(call, worker, Exchange::Refused, way);
        }
        self.run_call(call);
        if self.calls[call].poison {
            return self.reply(call, worker, Exchange::Broken, way);
        }
        let state = &mut self.workers[worker];
        state.busy += 1;
        state.busy_max = state.busy_max.max(state.busy);
        let start = state.start;
        let work = self.calls[call].work.mul_f64(slow);
        self.after(work, Happening::End(call, worker, start));
    }

    fn run_call(&mut self, id: usize) {
        let call = &mut self.calls[id];
        call.runs += 1;
        let idempotent = self.plan.deployment.services[call.service].idempotent;
        self.second_runs += u64::from(call.runs > 1 && !idempotent);
        self.false_not_run += u64::from(call.outcome == Some("not-run"));
    }

    fn end(&mut self, call: usize, worker: usize, start: u64) {
        let way = self.way(self.calls[call].entry, worker);
        let state = &mut self.workers[worker];
        if state.start != start {
            // Cut without an answer; the exchange is given up some time after its deadline.
            let left = (self.calls[call].deadline + LINGER).saturating_sub(self.now);
            return self.reply(call, worker, Exchange::Timeout, left);
        }
        state.busy -= 1;
        let answer = Answer {
            status: 200,
            body: Bytes::new(),
        };
        self.reply(call, worker, Exchange::Answered(answer), way);
    }
}
