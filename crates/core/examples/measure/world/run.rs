//! The run of a plan.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime};

use persimmongate_core::gate;
use persimmongate_core::ids;
use persimmongate_core::invariant::{Breach, Check, Fold};
use persimmongate_core::state::State;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::caller::{Call, Ledger};
use super::entry::Entry;
use super::fault::{Fault, Injection, Plan};
use super::fleet::Fleet;
use super::log::Log;
use super::message::{Message, Network, Place};
use super::platform::Platform;
use super::{SECOND, STEP};

/// Entry hosts, and fleet instances.
const PROCESSES: usize = 3;
/// Requests in a step, at most; under a flood their factor.
const ARRIVALS_MAX: u32 = 4;
const FLOOD_FACTOR: u32 = 5;
/// Steps between two looks at what a healthy process knows.
const LOOK_STEPS: u64 = SECOND / 2;
/// Steps in which an accepted configuration is in force at every healthy process.
const FORCE_STEPS: u64 = 7 * SECOND;
/// Steps between two takeovers of a peer's fold while the log is down.
const PEER_STEPS: u64 = SECOND;
/// Steps without load and faults at the end.
const QUIET_STEPS: u64 = 60 * SECOND;
/// Steps between two sheets.
const SHEET_STEPS: u64 = 20 * SECOND;
/// Breaches kept with their detail.
const BREACHES_KEPT: usize = 8;

/// `Until` is the step at which each fault of the surroundings ends.
#[derive(Debug, Default)]
pub(crate) struct Until {
    pub(crate) late_writes: u64,
    pub(crate) lost_calls: u64,
    lost_appends: u64,
    double_appends: u64,
    log_down: u64,
    flood: u64,
    stale_list: u64,
}

/// `World` is everything around the decisions.
pub(crate) struct World {
    pub(crate) step: u64,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) log: Log,
    pub(crate) platform: Platform,
    pub(crate) network: Network,
    pub(crate) entries: Vec<Entry>,
    pub(crate) fleets: Vec<Fleet>,
    pub(crate) ledger: Ledger,
    pub(crate) until: Until,
    pub(crate) breaches: Vec<Breach>,
    pub(crate) exchanges: u64,
    pub(crate) stops: u64,
    /// Whether nobody appends any more.
    pub(crate) closing: bool,
    start: Instant,
    state: State,
    watch: Fold,
    /// End of the log at past steps.
    ends: BTreeMap<u64, ids::Offset>,
    log_up_since: u64,
}

/// `Report` is what came of a run.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Report {
    /// Faults by kind.
    pub(crate) faults: BTreeMap<Fault, u64>,
    pub(crate) answered: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
    pub(crate) moves: u64,
    pub(crate) stops: u64,
    pub(crate) records: u64,
    /// Breaches by check.
    pub(crate) breaches: BTreeMap<Check, u64>,
    /// The first breaches with their step.
    pub(crate) first: Vec<String>,
}

/// Runs a plan, then lets everything heal and compares what the processes know.
pub(crate) fn run(plan: &Plan) -> Report {
    let mut world = World::new(plan.seed);
    let mut report = Report::default();
    let mut injections = plan.injections.iter().peekable();
    for _ in 0..plan.steps + QUIET_STEPS {
        while let Some(injection) = injections.next_if(|next| next.at <= world.step) {
            *report.faults.entry(injection.fault).or_default() += 1;
            world.inject(*injection);
        }
        if world.step == plan.steps {
            world.heal();
        }
        world.advance(world.step < plan.steps);
        world.note(&mut report);
    }
    // Everybody reads what was appended in the last step.
    world.closing = true;
    world.advance(false);
    world.compare();
    world.note(&mut report);
    report.answered = world.ledger.answered;
    report.not_run = world.ledger.not_run;
    report.unknown = world.ledger.unknown;
    report.moves = world.state.moves;
    report.stops = world.stops;
    report.records = world.log.end();
    report
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let place = |index| Place { index, run: 1 };
        let entries = (0..PROCESSES).map(|index| Entry::new(place(index), rng.random()));
        Self {
            step: 0,
            entries: entries.collect(),
            fleets: (0..PROCESSES)
                .map(|index| Fleet::new(place(index)))
                .collect(),
            rng,
            log: Log::default(),
            platform: Platform::new(),
            network: Network::default(),
            ledger: Ledger::default(),
            until: Until::default(),
            breaches: Vec::new(),
            exchanges: 0,
            stops: 0,
            closing: false,
            start: tokio::time::Instant::now().into_std(),
            state: State::default(),
            watch: Fold::default(),
            ends: BTreeMap::new(),
            log_up_since: 0,
        }
    }

    /// Gets the time by the clock of the processes.
    pub(crate) fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    /// Gets the time that the log gives to records.
    pub(crate) fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_hours(24) + self.elapsed()
    }

    fn elapsed(&self) -> Duration {
        STEP * u32::try_from(self.step).unwrap_or(u32::MAX)
    }

    fn advance(&mut self, load: bool) {
        let step = self.step;
        let down = step < self.until.log_down;
        if self.log.down && !down {
            self.log_up_since = step;
        }
        self.log.down = down;
        self.log.loses_answers = step < self.until.lost_appends;
        self.log.doubles = step < self.until.double_appends;
        if step >= self.until.stale_list && step.is_multiple_of(SECOND) {
            self.platform.list();
        }
        if load {
            self.arrive();
            self.operate();
        }
        self.run_workers();
        while let Some(message) = self.network.take(step) {
            self.receive(message);
        }
        for index in 0..PROCESSES {
            self.advance_entry(index);
            self.advance_fleet(index);
        }
        self.fold();
        if step.is_multiple_of(LOOK_STEPS) {
            self.look();
        }
        self.step += 1;
    }

    fn arrive(&mut self) {
        let factor = if self.step < self.until.flood {
            FLOOD_FACTOR
        } else {
            1
        };
        let count = self.rng.random_range(0..ARRIVALS_MAX) * factor;
        let (now, wall) = (self.now(), self.wall());
        for _ in 0..count {
            let call = self.ledger.call(wall, &mut self.rng);
            let index = self.rng.random_range(0..PROCESSES);
            self.entries[index].accept(call, now);
        }
    }

    /// Sends a call again after a while, through any entry host.
    pub(crate) fn retry(&mut self, call: Option<Call>) {
        if let Some(call) = call {
            let at = self.step + self.rng.random_range(1..2 * SECOND);
            self.network.send(at, Message::Retry(call));
        }
    }

    fn operate(&mut self) {
        let index = self.rng.random_range(0..PROCESSES);
        let unset = self.state.revision == 0 && self.step.is_multiple_of(SECOND);
        if unset || self.step.is_multiple_of(SHEET_STEPS) {
            self.apply(index);
        }
        if self.rng.random_range(0..SHEET_STEPS) == 0 {
            self.steer(index);
        }
    }

    fn run_workers(&mut self) {
        let hosts: Vec<ids::Host> = self.platform.workers.keys().cloned().collect();
        for host in hosts {
            let worker = self.platform.workers.get_mut(&host);
            let ends = worker.map(|worker| worker.advance(self.step));
            for (job, end) in ends.into_iter().flatten() {
                self.end_job(&host, &job, &end);
            }
        }
    }

    fn receive(&mut self, message: Message) {
        match message {
            Message::Call {
                fleet,
                host,
                generation,
                call,
            } => self.call(fleet, host, generation, call),
            Message::Exchange {
                entry: place,
                exchange,
                event,
            } => {
                let entry = &mut self.entries[place.index];
                if entry.place == place && entry.exchanges.remove(&exchange) {
                    entry.inbox.push_back(event);
                }
            }
            Message::Fleet(place, event) => {
                let fleet = &mut self.fleets[place.index];
                if fleet.place == place && self.step >= fleet.cut_until {
                    fleet.inbox.push_back(event);
                }
            }
            Message::Job(host, job) => self.deliver(&host, &job),
            Message::Revive(host) => {
                if let Some(worker) = self.platform.workers.get_mut(&host) {
                    worker.revive();
                }
            }
            Message::Retry(call) => {
                let index = self.rng.random_range(0..PROCESSES);
                let now = self.now();
                self.entries[index].accept(call, now);
            }
        }
    }

    /// Gets the fold of the peer that is furthest ahead while the log is down.
    pub(crate) fn peer_state(&self, entry: usize, fleet: usize) -> Option<State> {
        if !self.log.down || !self.step.is_multiple_of(PEER_STEPS) {
            return None;
        }
        let step = self.step;
        let entries = self
            .entries
            .iter()
            .filter(|peer| peer.place.index != entry && step >= peer.cut_until)
            .filter(|peer| step >= peer.frozen_until)
            .map(|peer| &peer.follower.state);
        let fleets = self
            .fleets
            .iter()
            .filter(|peer| peer.place.index != fleet && step >= peer.cut_until)
            .filter(|peer| step >= peer.frozen_until)
            .map(|peer| &peer.follower.state);
        entries
            .chain(fleets)
            .max_by_key(|state| state.next)
            .cloned()
    }

    fn inject(&mut self, injection: Injection) {
        let until = self.step + injection.steps;
        let index = injection.target % PROCESSES;
        let hosts: Vec<ids::Host> = self.platform.workers.keys().cloned().collect();
        let host = &hosts[injection.target % hosts.len()];
        match injection.fault {
            Fault::AppendLost => self.until.lost_appends = until,
            Fault::AppendTwice => self.until.double_appends = until,
            Fault::CallLost => self.until.lost_calls = until,
            Fault::Cancel => self.cancel(index),
            Fault::CutEntry => self.entries[index].cut_until = until,
            Fault::CutFleet => self.fleets[index].cut_until = until,
            Fault::Flood => self.until.flood = until,
            Fault::FreezeEntry => self.entries[index].frozen_until = until,
            Fault::FreezeFleet => self.fleets[index].frozen_until = until,
            Fault::KillEntry => self.kill_entry(index),
            Fault::KillFleet => self.kill_fleet(index),
            Fault::LateWrite => self.until.late_writes = until,
            Fault::ListStale => self.until.stale_list = until,
            Fault::LogDown => self.until.log_down = until,
            Fault::Operators => {
                self.apply(index);
                self.apply((index + 1) % PROCESSES);
            }
            Fault::Rack => self.fail(host, until, false),
            Fault::Zone => self.fail(host, until, true),
            Fault::Crossed | Fault::Failing | Fault::Slow => {
                if let Some(worker) = self.platform.workers.get_mut(host) {
                    match injection.fault {
                        Fault::Crossed => worker.crossed_until = until,
                        Fault::Failing => worker.failing_until = until,
                        _ => worker.slow_until = until,
                    }
                }
            }
        }
    }

    fn cancel(&mut self, index: usize) {
        let calls = std::mem::take(&mut self.entries[index].calls);
        for (request, call) in calls {
            let inbox = &mut self.entries[index].inbox;
            inbox.push_back(gate::Event::Cancel(request));
            self.entries[index].gone.insert(request, call.clone());
            // A caller that went away is told nothing; it may come again.
            let next = self.ledger.told(&call, None, &mut self.breaches);
            self.retry(next);
        }
    }

    /// Fails the hosts that share a rack or zone with a host.
    fn fail(&mut self, host: &ids::Host, until: u64, zone: bool) {
        let Some(worker) = self.platform.workers.get(host) else {
            return;
        };
        let fact = worker.fact.clone();
        let mut cut = Vec::new();
        for (name, worker) in &mut self.platform.workers {
            let same = if zone {
                worker.fact.zone == fact.zone
            } else {
                worker.fact.rack == fact.rack
            };
            if same && !worker.is_dead() {
                cut.extend(worker.fail().into_iter().map(|job| (name.clone(), job)));
                self.network.send(until, Message::Revive(name.clone()));
            }
        }
        for (name, job) in cut {
            self.end_job(&name, &job, &super::platform::End::Broken);
        }
    }

    /// Ends every fault.
    fn heal(&mut self) {
        self.until = Until::default();
        for entry in &mut self.entries {
            (entry.cut_until, entry.frozen_until) = (0, 0);
        }
        for fleet in &mut self.fleets {
            (fleet.cut_until, fleet.frozen_until) = (0, 0);
        }
    }

    fn fold(&mut self) {
        let from = usize::try_from(self.state.next).unwrap_or(usize::MAX);
        for (at, record) in self.log.all().get(from..).unwrap_or_default() {
            let mut changes = Vec::new();
            let offset = self.state.next;
            let verdict = self.state.apply(offset, *at, record, &mut changes);
            let (state, breaches) = (&self.state, &mut self.breaches);
            self.watch.observe(state, &record.body, &verdict, breaches);
        }
    }

    /// Checks that healthy processes know what was accepted some seconds ago.
    fn look(&mut self) {
        let step = self.step;
        self.ends.insert(step, self.log.end());
        let Some(old) = step.checked_sub(FORCE_STEPS) else {
            return;
        };
        self.ends = self.ends.split_off(&old);
        let Some(due) = self.ends.get(&old).copied() else {
            return;
        };
        if self.log.down || self.log_up_since > old {
            return;
        }
        let entries = self
            .entries
            .iter()
            .filter(|entry| entry.cut_until <= old && entry.frozen_until <= old)
            .map(|entry| &entry.follower.state);
        let fleets = self
            .fleets
            .iter()
            .filter(|fleet| fleet.cut_until <= old && fleet.frozen_until <= old)
            .map(|fleet| &fleet.follower.state);
        for state in entries.chain(fleets).filter(|state| state.next < due) {
            let detail = format!("a process knows {} of {due} records", state.next);
            self.breaches.push(Check::Revision.breach(detail));
        }
    }

    /// Checks that all processes agree and every call ended, once nothing fails any more.
    fn compare(&mut self) {
        let mut breaches = Vec::new();
        for fleet in &self.fleets {
            let view = fleet.manager.view();
            let same = fleet.follower.state == self.state
                && view.hosts == self.state.hosts
                && view.pools == self.state.pools
                && view.waves == self.state.waves;
            let members = view
                .members
                .keys()
                .all(|n| self.state.members.contains_key(n));
            if !same || !members {
                let detail = format!("fleet-{} differs from the log", fleet.place.index);
                breaches.push(Check::Revision.breach(detail));
            }
        }
        for entry in &self.entries {
            if entry.follower.state != self.state {
                let detail = format!("entry-{} differs from the log", entry.place.index);
                breaches.push(Check::Revision.breach(detail));
            }
            if entry.gate.open() + entry.watch.open() + entry.calls.len() > 0 {
                let (open, calls) = (entry.gate.open(), entry.calls.len());
                let detail = format!(
                    "entry-{} keeps {open} requests and {calls} callers, watch {}",
                    entry.place.index,
                    entry.watch.open()
                );
                breaches.push(Check::Answer.breach(detail));
            }
        }
        if self.ledger.made() != self.ledger.ended() {
            let (made, ended) = (self.ledger.made(), self.ledger.ended());
            let detail = format!("{ended} of {made} calls ended");
            breaches.push(Check::Answer.breach(detail));
        }
        self.breaches.extend(breaches);
    }

    fn note(&mut self, report: &mut Report) {
        for breach in self.breaches.drain(..) {
            *report.breaches.entry(breach.check).or_default() += 1;
            if report.first.len() < BREACHES_KEPT {
                report.first.push(format!("step {}: {breach}", self.step));
            }
        }
    }
}
