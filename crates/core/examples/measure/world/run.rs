//! The run of a plan.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime};

use persimmongate_core::ids;
use persimmongate_core::invariant::{Breach, Check, Replica};
use persimmongate_core::state::State;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::caller::{Call, Ledger};
use super::entry::Entry;
use super::fault::{Fault, Plan};
use super::fleet::Fleet;
use super::log::Log;
use super::message::{Message, Network, Place};
use super::platform::Platform;
use super::{SECOND, STEP};

/// Entry hosts, and fleet instances.
pub(crate) const PROCESSES: usize = 3;
/// Requests in a step, at most; under a flood their factor.
const ARRIVALS_MAX: u32 = 4;
const FLOOD_FACTOR: u32 = 5;
/// Steps between two looks at what a healthy process knows.
const LOOK_STEPS: u64 = SECOND / 2;
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
    pub(crate) lost_appends: u64,
    pub(crate) double_appends: u64,
    pub(crate) log_down: u64,
    pub(crate) flood: u64,
    pub(crate) stale_list: u64,
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
    pub(crate) state: State,
    watch: Replica,
    /// End of the log at past steps.
    pub(crate) ends: BTreeMap<u64, ids::Offset>,
    pub(crate) log_up_since: u64,
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
    report.moves = world.state.move_count;
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
            watch: Replica::default(),
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
                token,
                host,
                generation,
                call,
            } => self.call((fleet, token), &host, generation, call),
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
            .max_by_key(|state| state.next_offset)
            .cloned()
    }

    fn fold(&mut self) {
        let from = usize::try_from(self.state.next_offset).unwrap_or(usize::MAX);
        for (at, record) in self.log.all().get(from..).unwrap_or_default() {
            let mut changes = Vec::new();
            let offset = self.state.next_offset;
            let verdict = self.state.apply(offset, *at, record, &mut changes);
            let (state, breaches) = (&self.state, &mut self.breaches);
            self.watch.observe(state, &record.body, &verdict, breaches);
        }
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
