//! Runs of real managers over the real fold, against a platform in memory, with faults.

mod batch;
mod check;
mod entry;
mod faults;
mod greedy;
mod log;
mod plan;
mod platform;
mod process;

use std::time::{Duration, Instant};

use persimmongate_core::fleet::Event;
use persimmongate_core::ids;
use persimmongate_core::record::{Body, Phase};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use batch::Batches;
use entry::Entry;
use log::Log;
pub(crate) use plan::{ANDAMAN, Faults, KUISEB, Loss, Outcome, Plan, Policy, Service};
use platform::Platform;
use process::{PendingCall, Process};

/// Time of one step.
pub(crate) const STEP: Duration = Duration::from_millis(100);
/// Longest time in which the pools fill before the waves start.
const FILL_TIMEOUT: Duration = Duration::from_mins(3);
/// Time after which the operator resumes a paused wave.
const RESUME_DELAY: Duration = Duration::from_mins(5);
/// Percentage of reports that are lost.
const REPORT_LOST_PERCENT: u32 = 2;

/// `World` is the state of a run.
pub(crate) struct World {
    plan: Plan,
    now: Instant,
    random: ChaCha8Rng,
    platform: Platform,
    log: Log,
    processes: Vec<Process>,
    entries: Vec<Entry>,
    /// Calls of processes that ended.
    orphaned_calls: Vec<PendingCall>,
    batches: Batches,
    /// Time of the latest greedy moves.
    greedy_moved_at: Instant,
    /// Time until which the log is down.
    outage_until: Option<Instant>,
    /// Names given to fleet instances so far.
    next_instance: usize,
    /// Time since which each wave has been paused.
    paused_since: Vec<Option<Instant>>,
    /// Time from the loss of the holder to the next claim.
    claim_delay: Option<Duration>,
    outcome: Outcome,
}

/// Runs a plan to its end.
pub(crate) fn run(plan: Plan) -> Outcome {
    let now = tokio::time::Instant::now().into_std();
    World::new(plan, now).run()
}

impl World {
    fn new(plan: Plan, now: Instant) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
        let entries = (0..plan.entry_count).map(|place| Entry::new(place, now, &mut random));
        let entries = entries.collect();
        let mut testbed = Self {
            random,
            platform: Platform::new(plan.machine_facts(), plan.faults.failed_reboot_percent, now),
            log: Log::default(),
            processes: Vec::new(),
            entries,
            orphaned_calls: Vec::new(),
            batches: Batches::default(),
            greedy_moved_at: now,
            outage_until: None,
            next_instance: 0,
            paused_since: vec![None; plan.waves.len()],
            claim_delay: None,
            outcome: Outcome::default(),
            now,
            plan,
        };
        for _ in 0..testbed.plan.instance_count {
            testbed.start_process();
        }
        testbed
    }

    fn start_process(&mut self) {
        let name = format!("fleet-{}", self.next_instance);
        self.next_instance += 1;
        let process = Process::new(name, self.plan.options.clone(), self.now, &mut self.random);
        self.processes.push(process);
    }

    fn run(mut self) -> Outcome {
        let filled = self.fill_pools();
        // The waves start at any moment between two renewals.
        for _ in 0..self.random.random_range(0..40) {
            self.step(false);
        }
        let (start, records, moves) = (self.now, self.log.len(), self.log.state.move_count);
        self.publish_sheet(true);
        let holder = self.lose_holder();
        let limit = start + self.plan.time_limit;
        while self.now < limit && (self.plan.runs_to_limit || !self.has_ended(start)) {
            self.inject_faults();
            self.step(true);
            self.send_commands(start);
            self.check_promises();
            if !self.outcome.has_completed {
                self.outcome.has_completed = self.has_ended(start);
                self.outcome.duration = self.now - start;
            }
            if let Some(holder) = &holder {
                self.check_takeover(start, records, holder);
            }
        }
        self.outcome.has_completed &= filled;
        self.outcome.interrupted_requests = self.platform.interrupted_requests;
        self.outcome.move_count = self.log.state.move_count - moves;
        self.outcome.record_count = self.log.len() - records;
        self.end_faults();
        self.compute_outcome(records);
        self.outcome
    }

    /// Fills the pools, without faults.
    fn fill_pools(&mut self) -> bool {
        let limit = self.now + FILL_TIMEOUT;
        let mut published = false;
        let mut full = false;
        while self.now < limit && !full {
            self.step(false);
            if !published && self.log.len() >= self.plan.instance_count + self.plan.entry_count {
                published = true;
                self.publish_sheet(false);
            }
            let state = &self.log.state;
            let mut services = self.plan.services.iter();
            full =
                published && services.all(|s| state.serving_hosts(&s.name.into()) >= s.host_count);
        }
        full
    }

    /// Ends all faults and lets every process read the log.
    fn end_faults(&mut self) {
        for process in &mut self.processes {
            process.frozen_until = None;
        }
        self.outage_until = None;
        for _ in 0..50 {
            self.step(false);
        }
    }

    fn publish_sheet(&mut self, waves: bool) {
        let body = Body::Sheet {
            base_revision: self.log.state.revision,
            operator: "planner".into(),
            intents: self.plan.sheet_rows(waves),
        };
        self.publish(body);
    }

    /// Appends a record of an operator through the first instance that runs.
    fn publish(&mut self, body: Body) {
        let now = self.now;
        let mut running = self.processes.iter_mut();
        if let Some(process) = running.find(|process| process.frozen_until.is_none()) {
            process.publish(now, body, &mut self.random);
        }
    }

    /// Moves time one step on.
    fn step(&mut self, faults: bool) {
        self.now += STEP;
        let now = self.now;
        for (entry, host) in self.platform.step(now) {
            self.entries[entry].complete_request(&host);
        }
        self.deliver_calls();
        let down = self.outage_until.is_some_and(|until| now < until);
        if !down {
            self.append_due(faults);
        }
        self.step_entries(down);
        match self.plan.policy {
            Policy::Fixed(delay) if faults => self.step_fixed(delay),
            _ => self.step_processes(down),
        }
        // Without the manager's moves the greedy ones fill the pools.
        if self.plan.policy == Policy::Greedy || (self.plan.policy == Policy::NoMoves && !faults) {
            self.step_greedy();
        }
    }

    fn deliver_calls(&mut self) {
        let now = self.now;
        for process in &mut self.processes {
            process.deliver_calls(now, &mut self.platform, &mut self.random);
        }
        let (ready, later) = self
            .orphaned_calls
            .drain(..)
            .partition(|call| call.arrives_at <= now);
        self.orphaned_calls = later;
        let ready: Vec<PendingCall> = ready;
        for call in ready {
            process::execute(now, &call, &mut self.platform, &mut self.random);
        }
    }

    fn append_due(&mut self, faults: bool) {
        let twice = if faults {
            self.plan.faults.duplicate_append_percent
        } else {
            0
        };
        let (now, log, random) = (self.now, &mut self.log, &mut self.random);
        for process in &mut self.processes {
            process.follower.append_due(now, log, twice, random);
        }
        for entry in &mut self.entries {
            entry.follower.append_due(now, log, twice, random);
        }
    }

    fn step_entries(&mut self, down: bool) {
        let now = self.now;
        for entry in &mut self.entries {
            if entry.frozen_until.is_some_and(|until| now < until) {
                continue;
            }
            entry.frozen_until = None;
            let log = (!down).then_some(&self.log);
            let reports = entry.step(now, log, &mut self.platform, &mut self.random);
            for report in reports {
                for process in &mut self.processes {
                    if self.random.random_range(0..100) < REPORT_LOST_PERCENT {
                        continue;
                    }
                    let event = Event::Report {
                        instance: report.instance.clone(),
                        host: report.host.clone(),
                        drain_offset: report.drain_offset,
                        in_flight: report.in_flight,
                    };
                    process.enqueue(now + Duration::from_millis(5), event);
                }
            }
        }
    }

    fn step_processes(&mut self, down: bool) {
        let now = self.now;
        for process in &mut self.processes {
            if process.frozen_until.is_some_and(|until| now < until) {
                continue;
            }
            process.frozen_until = None;
            let log = (!down).then_some(&self.log);
            process.step(now, log, &self.platform, &mut self.random);
        }
    }

    /// Sends the operator's commands, and resumes a wave that was paused for a while.
    fn send_commands(&mut self, start: Instant) {
        let now = self.now;
        let due = |at: &Duration| start + *at <= now;
        let first = self.plan.waves.first().map(|(pool, _)| wave_name(pool));
        let commands = self.plan.commands.extract_if(.., |(at, _)| due(at));
        let commands: Vec<_> = commands.collect();
        for (_, command) in commands {
            if let Some(wave) = first.clone() {
                let operator = "operator".into();
                self.publish(Body::Command {
                    wave,
                    command,
                    operator,
                });
            }
        }
        for at in 0..self.plan.waves.len() {
            let wave = wave_name(self.plan.waves[at].0);
            let phase = self.log.state.waves.get(&wave).map(|wave| wave.phase);
            if phase != Some(Phase::Paused) {
                self.paused_since[at] = None;
                continue;
            }
            if self.paused_since[at].is_none() {
                self.outcome.pause_count += 1;
            }
            let since = *self.paused_since[at].get_or_insert(now);
            if now - since >= RESUME_DELAY {
                self.paused_since[at] = Some(now);
                let command = persimmongate_core::record::Command::Resume;
                let operator = "operator".into();
                self.publish(Body::Command {
                    wave,
                    command,
                    operator,
                });
            }
        }
    }

    /// Gets whether all waves ended and no host is out for them, or the takeover was seen.
    fn has_ended(&self, start: Instant) -> bool {
        if self.plan.loss.is_some() {
            return self.outcome.takeover.is_some();
        }
        if self.plan.waves.is_empty() {
            return false;
        }
        let ended = |(pool, _): &(&str, u32)| {
            let wave = self.log.state.waves.get(&wave_name(pool));
            wave.is_some_and(|wave| matches!(wave.phase, Phase::Aborted | Phase::Done))
        };
        let out = self
            .log
            .state
            .hosts
            .values()
            .any(|host| host.wave().is_some());
        self.now > start && !out && self.plan.waves.iter().all(ended)
    }
}

fn wave_name(pool: &str) -> ids::Wave {
    format!("{pool}-wave").into()
}
