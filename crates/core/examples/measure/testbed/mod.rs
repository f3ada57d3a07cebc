//! Simulated runs of the production managers and log state, on an in-memory platform with faults.

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
use process::{Pending, Process};

/// Simulated time between two steps.
pub(crate) const STEP: Duration = Duration::from_millis(100);
/// Maximum time for the pools to fill before the waves start.
const FILL_TIMEOUT: Duration = Duration::from_mins(3);
/// Time after which the operator resumes a paused wave.
const RESUME_DELAY: Duration = Duration::from_mins(5);
/// Percentage of reports that are lost.
const REPORT_LOST_PERCENT: u32 = 2;

/// `World` is the state of a simulated run.
pub(crate) struct World {
    plan: Plan,
    now: Instant,
    rng: ChaCha8Rng,
    platform: Platform,
    log: Log,
    processes: Vec<Process>,
    entries: Vec<Entry>,
    /// Calls in flight of processes that were killed.
    orphaned_calls: Vec<Pending>,
    batches: Batches,
    /// Time of the latest greedy moves.
    greedy_moved_at: Instant,
    /// Time until which the log is unavailable.
    outage_until: Option<Instant>,
    /// Number in the name of the next fleet instance.
    next_instance: usize,
    /// Time since which each wave has been paused.
    paused_since: Vec<Option<Instant>>,
    /// Time from the loss of the holder until the next holder's claim was observed.
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
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let entries = (0..plan.entry_count).map(|index| Entry::new(index, now, &mut rng));
        let entries = entries.collect();
        let mut world = Self {
            rng,
            platform: Platform::new(
                plan.machine_listings(),
                plan.faults.failed_reboot_percent,
                now,
            ),
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
        for _ in 0..world.plan.instance_count {
            world.start_process();
        }
        world
    }

    fn start_process(&mut self) {
        let name = format!("fleet-{}", self.next_instance);
        self.next_instance += 1;
        let process = Process::new(name, self.plan.options.clone(), self.now, &mut self.rng);
        self.processes.push(process);
    }

    fn run(mut self) -> Outcome {
        let has_filled_pools = self.fill_pools();
        // The waves start at a random time between two renewals.
        for _ in 0..self.rng.random_range(0..40) {
            self.step(false);
        }
        let (start, first_record, previous_moves) =
            (self.now, self.log.len(), self.log.state.move_count);
        self.publish_sheet(true);
        let holder = self.lose_holder();
        let deadline = start + self.plan.time_limit;
        while self.now < deadline && (self.plan.runs_to_limit || !self.has_ended(start)) {
            self.inject_faults();
            self.step(true);
            self.send_commands(start);
            self.check_budgets();
            if !self.outcome.has_completed {
                self.outcome.has_completed = self.has_ended(start);
                self.outcome.duration = self.now - start;
            }
            if let Some(holder) = &holder {
                self.check_takeover(start, first_record, holder);
            }
        }
        self.outcome.has_completed &= has_filled_pools;
        self.outcome.interrupted_requests = self.platform.interrupted_requests;
        self.outcome.move_count = self.log.state.move_count - previous_moves;
        self.outcome.record_count = self.log.len() - first_record;
        self.end_faults();
        self.compute_outcome(first_record);
        self.outcome
    }

    /// Runs without faults until the pools are full; returns whether they are.
    fn fill_pools(&mut self) -> bool {
        let deadline = self.now + FILL_TIMEOUT;
        let mut is_published = false;
        let mut is_full = false;
        while self.now < deadline && !is_full {
            self.step(false);
            if !is_published && self.log.len() >= self.plan.instance_count + self.plan.entry_count {
                is_published = true;
                self.publish_sheet(false);
            }
            let state = &self.log.state;
            let mut services = self.plan.services.iter();
            is_full = is_published
                && services
                    .all(|service| state.serving_hosts(&service.name.into()) >= service.host_count);
        }
        is_full
    }

    /// Ends all faults and runs until every process has read the log.
    fn end_faults(&mut self) {
        for process in &mut self.processes {
            process.frozen_until = None;
        }
        self.outage_until = None;
        for _ in 0..50 {
            self.step(false);
        }
    }

    fn publish_sheet(&mut self, includes_waves: bool) {
        let body = Body::Sheet {
            base_revision: self.log.state.revision,
            operator: "planner".into(),
            intents: self.plan.sheet_rows(includes_waves),
        };
        self.publish(body);
    }

    /// Appends a record of an operator through the first instance that is not frozen.
    fn publish(&mut self, body: Body) {
        let now = self.now;
        let mut running = self.processes.iter_mut();
        if let Some(process) = running.find(|process| process.frozen_until.is_none()) {
            process.publish(now, body, &mut self.rng);
        }
    }

    /// Advances the simulation by one step.
    fn step(&mut self, faults_enabled: bool) {
        self.now += STEP;
        let now = self.now;
        for (entry, host) in self.platform.step(now) {
            self.entries[entry].complete_request(&host);
        }
        self.deliver_calls();
        let is_log_down = self.outage_until.is_some_and(|until| now < until);
        if !is_log_down {
            self.append_due(faults_enabled);
        }
        self.step_entries(is_log_down);
        match self.plan.policy {
            Policy::Fixed(delay) if faults_enabled => self.step_fixed(delay),
            _ => self.step_processes(is_log_down),
        }
        // Where the manager makes no moves, greedy moves fill the pools before the waves.
        if self.plan.policy == Policy::Greedy
            || (self.plan.policy == Policy::NoMoves && !faults_enabled)
        {
            self.step_greedy();
        }
    }

    fn deliver_calls(&mut self) {
        let now = self.now;
        for process in &mut self.processes {
            process.deliver_calls(now, &mut self.platform, &mut self.rng);
        }
        let (due, not_due) = self
            .orphaned_calls
            .drain(..)
            .partition(|call| call.arrives_at <= now);
        self.orphaned_calls = not_due;
        let due: Vec<Pending> = due;
        for call in due {
            process::execute(now, &call, &mut self.platform, &mut self.rng);
        }
    }

    fn append_due(&mut self, faults_enabled: bool) {
        let duplicate_percent = if faults_enabled {
            self.plan.faults.duplicate_append_percent
        } else {
            0
        };
        let (now, log, rng) = (self.now, &mut self.log, &mut self.rng);
        for process in &mut self.processes {
            process
                .follower
                .append_due(now, log, duplicate_percent, rng);
        }
        for entry in &mut self.entries {
            entry.follower.append_due(now, log, duplicate_percent, rng);
        }
    }

    fn step_entries(&mut self, is_log_down: bool) {
        let now = self.now;
        for entry in &mut self.entries {
            if entry.frozen_until.is_some_and(|until| now < until) {
                continue;
            }
            entry.frozen_until = None;
            let log = (!is_log_down).then_some(&self.log);
            let reports = entry.step(now, log, &mut self.platform, &mut self.rng);
            for report in reports {
                for process in &mut self.processes {
                    if self.rng.random_range(0..100) < REPORT_LOST_PERCENT {
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

    fn step_processes(&mut self, is_log_down: bool) {
        let now = self.now;
        for process in &mut self.processes {
            if process.frozen_until.is_some_and(|until| now < until) {
                continue;
            }
            process.frozen_until = None;
            let log = (!is_log_down).then_some(&self.log);
            process.step(now, log, &self.platform, &mut self.rng);
        }
    }

    /// Sends the commands of the plan that are due, and resumes waves after `RESUME_DELAY`.
    fn send_commands(&mut self, start: Instant) {
        let now = self.now;
        let is_due = |delay: &Duration| start + *delay <= now;
        let first_wave = self.plan.waves.first().map(|(pool, _)| wave_name(pool));
        let commands = self
            .plan
            .commands
            .extract_if(.., |(delay, _)| is_due(delay));
        let commands: Vec<_> = commands.collect();
        for (_, command) in commands {
            if let Some(wave) = first_wave.clone() {
                let operator = "operator".into();
                self.publish(Body::Command {
                    wave,
                    command,
                    operator,
                });
            }
        }
        for index in 0..self.plan.waves.len() {
            let wave = wave_name(self.plan.waves[index].0);
            let phase = self.log.state.waves.get(&wave).map(|wave| wave.phase);
            if phase != Some(Phase::Paused) {
                self.paused_since[index] = None;
                continue;
            }
            if self.paused_since[index].is_none() {
                self.outcome.pause_count += 1;
            }
            let paused_since = *self.paused_since[index].get_or_insert(now);
            if now - paused_since >= RESUME_DELAY {
                self.paused_since[index] = Some(now);
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

    /// Returns whether all waves have ended and no host is out of service for them; in a run that
    /// loses a holder, returns whether the takeover was observed.
    fn has_ended(&self, start: Instant) -> bool {
        if self.plan.loss.is_some() {
            return self.outcome.takeover.is_some();
        }
        if self.plan.waves.is_empty() {
            return false;
        }
        let has_wave_ended = |(pool, _): &(&str, u32)| {
            let wave = self.log.state.waves.get(&wave_name(pool));
            wave.is_some_and(|wave| matches!(wave.phase, Phase::Aborted | Phase::Done))
        };
        let has_hosts_out = self
            .log
            .state
            .hosts
            .values()
            .any(|host| host.wave().is_some());
        self.now > start && !has_hosts_out && self.plan.waves.iter().all(has_wave_ended)
    }
}

fn wave_name(pool: &str) -> ids::Wave {
    format!("{pool}-wave").into()
}
