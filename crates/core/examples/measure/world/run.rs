//! Simulation of a plan, step by step.

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
use super::message::{Message, Network, Process};
use super::platform::Platform;
use super::{SECOND, STEP};

/// Number of entry hosts, and of fleet instances.
pub(crate) const PROCESSES_PER_ROLE: usize = 3;
/// Upper limit on the new calls of a step, itself excluded, without a flood.
const ARRIVALS_LIMIT: u32 = 4;
/// Factor on the new calls of a step during a flood.
const FLOOD_FACTOR: u32 = 5;
/// Interval of the checks that healthy processes follow the log, in steps.
const PROPAGATION_CHECK_INTERVAL_STEPS: u64 = SECOND / 2;
/// Interval at which processes fetch the state of a peer while the log is down, in steps.
const STATE_FETCH_INTERVAL_STEPS: u64 = SECOND;
/// Steps without load and faults at the end of a run.
const RECOVERY_STEPS: u64 = 60 * SECOND;
/// Interval of the sheets that operators apply, in steps.
const SHEET_INTERVAL_STEPS: u64 = 20 * SECOND;
/// Maximum number of breaches reported with their detail.
const DETAILED_BREACHES_MAX: usize = 8;

/// `Expiry` holds the step at which each fault outside the processes ends.
#[derive(Debug, Default)]
pub(crate) struct Expiry {
    pub(crate) delayed_writes: u64,
    pub(crate) lost_call_answers: u64,
    pub(crate) lost_append_answers: u64,
    pub(crate) duplicate_appends: u64,
    pub(crate) log_down: u64,
    pub(crate) flood: u64,
    pub(crate) stale_host_list: u64,
}

/// `World` is the simulated deployment with the load on it.
pub(crate) struct World {
    pub(crate) step: u64,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) log: Log,
    pub(crate) platform: Platform,
    pub(crate) network: Network,
    pub(crate) entries: Vec<Entry>,
    pub(crate) fleets: Vec<Fleet>,
    pub(crate) ledger: Ledger,
    pub(crate) fault_ends: Expiry,
    pub(crate) breaches: Vec<Breach>,
    /// Number of the latest exchange between an entry host and a worker.
    pub(crate) last_exchange: u64,
    /// Reboots that fleet instances have requested.
    pub(crate) planned_stops: u64,
    /// Whether the processes append no more records.
    pub(crate) appends_stopped: bool,
    started_at: Instant,
    /// State replayed from the whole log, with which the processes are compared.
    pub(crate) state: State,
    checker: Replica,
    /// End offset of the log at past steps.
    pub(crate) log_ends: BTreeMap<u64, ids::Offset>,
    /// Step at which the log became reachable again.
    pub(crate) log_up_since: u64,
}

/// `Report` is the result of a run.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Report {
    /// Number of injected faults by kind.
    pub(crate) faults: BTreeMap<Fault, u64>,
    /// Attempts of callers that were answered.
    pub(crate) answered: u64,
    /// Attempts that were rejected without having run.
    pub(crate) not_run: u64,
    /// Attempts of which the caller does not know whether they ran.
    pub(crate) unknown: u64,
    /// Accepted moves of hosts between pools.
    pub(crate) moves: u64,
    pub(crate) planned_stops: u64,
    /// Records in the log at the end.
    pub(crate) records: u64,
    /// Number of breaches by check.
    pub(crate) breaches: BTreeMap<Check, u64>,
    /// Details of the first breaches, each with its step.
    pub(crate) first_breaches: Vec<String>,
}

/// Simulates a plan, then ends all faults, lets the processes recover and checks that they have
/// converged.
pub(crate) fn run(plan: &Plan) -> Report {
    let mut world = World::new(plan.seed);
    let mut report = Report::default();
    let mut injections = plan.injections.iter().peekable();
    for _ in 0..plan.steps + RECOVERY_STEPS {
        while let Some(injection) = injections.next_if(|next| next.start_step <= world.step) {
            *report.faults.entry(injection.fault).or_default() += 1;
            world.inject(*injection);
        }
        if world.step == plan.steps {
            world.end_faults();
        }
        world.advance(world.step < plan.steps);
        world.collect_breaches(&mut report);
    }
    // One more step without appends lets every process read the records of the last one.
    world.appends_stopped = true;
    world.advance(false);
    world.check_convergence();
    world.collect_breaches(&mut report);
    report.answered = world.ledger.answered;
    report.not_run = world.ledger.not_run;
    report.unknown = world.ledger.unknown;
    report.moves = world.state.move_count;
    report.planned_stops = world.planned_stops;
    report.records = world.log.end_offset();
    report
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let process = |index| Process {
            index,
            start_count: 1,
        };
        let entries = (0..PROCESSES_PER_ROLE).map(|index| Entry::new(process(index), rng.random()));
        Self {
            step: 0,
            entries: entries.collect(),
            fleets: (0..PROCESSES_PER_ROLE)
                .map(|index| Fleet::new(process(index)))
                .collect(),
            rng,
            log: Log::default(),
            platform: Platform::new(),
            network: Network::default(),
            ledger: Ledger::default(),
            fault_ends: Expiry::default(),
            breaches: Vec::new(),
            last_exchange: 0,
            planned_stops: 0,
            appends_stopped: false,
            started_at: tokio::time::Instant::now().into_std(),
            state: State::default(),
            checker: Replica::default(),
            log_ends: BTreeMap::new(),
            log_up_since: 0,
        }
    }

    /// Gets the simulated time on the monotonic clock of the processes.
    pub(crate) fn now(&self) -> Instant {
        self.started_at + self.elapsed()
    }

    /// Gets the simulated time of day, with which the log stamps records.
    pub(crate) fn log_time(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_hours(24) + self.elapsed()
    }

    fn elapsed(&self) -> Duration {
        STEP * u32::try_from(self.step).unwrap_or(u32::MAX)
    }

    /// Advances everything by one step, with or without load and operators.
    fn advance(&mut self, with_load: bool) {
        let step = self.step;
        let is_down = step < self.fault_ends.log_down;
        if self.log.is_down && !is_down {
            self.log_up_since = step;
        }
        self.log.is_down = is_down;
        self.log.loses_answers = step < self.fault_ends.lost_append_answers;
        self.log.duplicates_appends = step < self.fault_ends.duplicate_appends;
        if step >= self.fault_ends.stale_host_list && step.is_multiple_of(SECOND) {
            self.platform.refresh_host_list();
        }
        if with_load {
            self.submit_calls();
            self.run_operators();
        }
        self.run_workers();
        while let Some(message) = self.network.pop_due(step) {
            self.dispatch(message);
        }
        for index in 0..PROCESSES_PER_ROLE {
            self.advance_entry(index);
            self.advance_fleet(index);
        }
        self.replay_log();
        if step.is_multiple_of(PROPAGATION_CHECK_INTERVAL_STEPS) {
            self.check_propagation();
        }
        self.step += 1;
    }

    fn submit_calls(&mut self) {
        let factor = if self.step < self.fault_ends.flood {
            FLOOD_FACTOR
        } else {
            1
        };
        let count = self.rng.random_range(0..ARRIVALS_LIMIT) * factor;
        let (now, time_of_day) = (self.now(), self.log_time());
        for _ in 0..count {
            let call = self.ledger.new_call(time_of_day, &mut self.rng);
            let index = self.rng.random_range(0..PROCESSES_PER_ROLE);
            self.entries[index].accept(call, now);
        }
    }

    /// Schedules the retry of a call, if there is one, after a random delay and through a random
    /// entry host.
    pub(crate) fn schedule_retry(&mut self, call: Option<Call>) {
        if let Some(call) = call {
            let delivery_step = self.step + self.rng.random_range(1..2 * SECOND);
            self.network.send(delivery_step, Message::Retry(call));
        }
    }

    fn run_operators(&mut self) {
        let index = self.rng.random_range(0..PROCESSES_PER_ROLE);
        let lacks_sheet = self.state.revision == 0 && self.step.is_multiple_of(SECOND);
        if lacks_sheet || self.step.is_multiple_of(SHEET_INTERVAL_STEPS) {
            self.apply_sheet(index);
        }
        if self.rng.random_range(0..SHEET_INTERVAL_STEPS) == 0 {
            self.command_wave(index);
        }
    }

    fn run_workers(&mut self) {
        let hosts: Vec<ids::Host> = self.platform.workers.keys().cloned().collect();
        for host in hosts {
            let worker = self.platform.workers.get_mut(&host);
            let completions = worker.map(|worker| worker.advance(self.step));
            for (job, completion) in completions.into_iter().flatten() {
                self.complete_job(&host, &job, &completion);
            }
        }
    }

    fn dispatch(&mut self, message: Message) {
        match message {
            Message::Call {
                fleet,
                token,
                host,
                generation,
                call,
            } => self.deliver_call((fleet, token), &host, generation, call),
            Message::Exchange {
                entry: process,
                exchange,
                event,
            } => {
                let entry = &mut self.entries[process.index];
                if entry.process == process && entry.open_exchanges.remove(&exchange) {
                    entry.inbox.push_back(event);
                }
            }
            Message::Fleet(process, event) => {
                let fleet = &mut self.fleets[process.index];
                if fleet.process == process && self.step >= fleet.partitioned_until {
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
                let index = self.rng.random_range(0..PROCESSES_PER_ROLE);
                let now = self.now();
                self.entries[index].accept(call, now);
            }
        }
    }

    /// Gets the most recent state of a reachable peer at the steps at which processes fetch one
    /// while the log is down.
    ///
    /// The process that asks gives its own index among the entry hosts or the fleet instances, and
    /// `usize::MAX` for the other role.
    pub(crate) fn peer_state(&self, own_entry: usize, own_fleet: usize) -> Option<State> {
        if !self.log.is_down || !self.step.is_multiple_of(STATE_FETCH_INTERVAL_STEPS) {
            return None;
        }
        let step = self.step;
        let entries = self
            .entries
            .iter()
            .filter(|peer| peer.process.index != own_entry && step >= peer.partitioned_until)
            .filter(|peer| step >= peer.frozen_until)
            .map(|peer| &peer.follower.state);
        let fleets = self
            .fleets
            .iter()
            .filter(|peer| peer.process.index != own_fleet && step >= peer.partitioned_until)
            .filter(|peer| step >= peer.frozen_until)
            .map(|peer| &peer.follower.state);
        entries
            .chain(fleets)
            .max_by_key(|state| state.next_offset)
            .cloned()
    }

    fn replay_log(&mut self) {
        let replayed = usize::try_from(self.state.next_offset).unwrap_or(usize::MAX);
        for (appended_at, record) in self.log.records().get(replayed..).unwrap_or_default() {
            let mut changes = Vec::new();
            let offset = self.state.next_offset;
            let verdict = self.state.apply(offset, *appended_at, record, &mut changes);
            let (state, breaches) = (&self.state, &mut self.breaches);
            self.checker
                .observe(state, &record.body, &verdict, breaches);
        }
    }

    fn collect_breaches(&mut self, report: &mut Report) {
        for breach in self.breaches.drain(..) {
            *report.breaches.entry(breach.check).or_default() += 1;
            if report.first_breaches.len() < DETAILED_BREACHES_MAX {
                report
                    .first_breaches
                    .push(format!("step {}: {breach}", self.step));
            }
        }
    }
}
