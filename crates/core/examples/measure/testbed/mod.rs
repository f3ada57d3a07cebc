//! Runs of real managers over the real fold, against a platform in memory, with faults.

mod check;
mod entry;
mod faults;
mod fixed;
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

use entry::Entry;
use fixed::Fixed;
use log::Log;
pub(crate) use plan::{ANDAMAN, Faults, KUISEB, Loss, Outcome, Plan, Policy, Service};
use platform::Platform;
use process::{Asked, Process};

/// Time of one step.
pub(crate) const STEP: Duration = Duration::from_millis(100);
/// Longest time in which the pools fill before the waves start.
const FILL: Duration = Duration::from_mins(3);
/// Time after which the operator resumes a paused wave.
const RESUME: Duration = Duration::from_mins(5);
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
    orphans: Vec<Asked>,
    fixed: Fixed,
    /// Time of the latest greedy moves.
    greedy: Instant,
    /// Time until which the log is down.
    outage: Option<Instant>,
    /// Names given to fleet instances so far.
    named: usize,
    /// Time since which each wave has been paused.
    paused: Vec<Option<Instant>>,
    /// Time from the loss of the holder to the next claim.
    claimed: Option<Duration>,
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
        let entries = (0..plan.entries).map(|place| Entry::new(place, now, &mut random));
        let entries = entries.collect();
        let mut testbed = Self {
            random,
            platform: Platform::new(plan.facts(), plan.faults.broken, now),
            log: Log::default(),
            processes: Vec::new(),
            entries,
            orphans: Vec::new(),
            fixed: Fixed::default(),
            greedy: now,
            outage: None,
            named: 0,
            paused: vec![None; plan.waves.len()],
            claimed: None,
            outcome: Outcome::default(),
            now,
            plan,
        };
        for _ in 0..testbed.plan.instances {
            testbed.start_process();
        }
        testbed
    }

    fn start_process(&mut self) {
        let name = format!("fleet-{}", self.named);
        self.named += 1;
        let process = Process::new(name, self.plan.options.clone(), self.now, &mut self.random);
        self.processes.push(process);
    }

    fn run(mut self) -> Outcome {
        let filled = self.fill();
        // The waves start at any moment between two renewals.
        for _ in 0..self.random.random_range(0..40) {
            self.step(false);
        }
        let (start, records, moves) = (self.now, self.log.len(), self.log.state.move_count);
        self.publish_sheet(true);
        let holder = self.lose_holder();
        let limit = start + self.plan.limit;
        while self.now < limit && (self.plan.whole || !self.has_ended(start)) {
            self.inject();
            self.step(true);
            self.command(start);
            self.check();
            if !self.outcome.ended {
                self.outcome.ended = self.has_ended(start);
                self.outcome.took = self.now - start;
            }
            if let Some(holder) = &holder {
                self.check_takeover(start, records, holder);
            }
        }
        self.outcome.ended &= filled;
        self.outcome.cut = self.platform.cut;
        self.outcome.moves = self.log.state.move_count - moves;
        self.outcome.records = self.log.len() - records;
        self.settle();
        self.finish(records);
        self.outcome
    }

    /// Fills the pools, without faults.
    fn fill(&mut self) -> bool {
        let limit = self.now + FILL;
        let mut published = false;
        let mut full = false;
        while self.now < limit && !full {
            self.step(false);
            if !published && self.log.len() >= self.plan.instances + self.plan.entries {
                published = true;
                self.publish_sheet(false);
            }
            let state = &self.log.state;
            let mut services = self.plan.services.iter();
            full = published && services.all(|s| state.serving_hosts(&s.name.into()) >= s.hosts);
        }
        full
    }

    /// Ends all faults and lets every process read the log.
    fn settle(&mut self) {
        for process in &mut self.processes {
            process.frozen = None;
        }
        self.outage = None;
        for _ in 0..50 {
            self.step(false);
        }
    }

    fn publish_sheet(&mut self, waves: bool) {
        let body = Body::Sheet {
            base_revision: self.log.state.revision,
            operator: "planner".into(),
            intents: self.plan.intents(waves),
        };
        self.publish(body);
    }

    /// Appends a record of an operator through the first instance that runs.
    fn publish(&mut self, body: Body) {
        let now = self.now;
        let mut running = self.processes.iter_mut();
        if let Some(process) = running.find(|process| process.frozen.is_none()) {
            process.publish(now, body, &mut self.random);
        }
    }

    /// Moves time one step on.
    fn step(&mut self, faults: bool) {
        self.now += STEP;
        let now = self.now;
        for (entry, host) in self.platform.step(now) {
            self.entries[entry].answered(&host);
        }
        self.deliver();
        let down = self.outage.is_some_and(|until| now < until);
        if !down {
            self.land(faults);
        }
        self.step_entries(down);
        match self.plan.policy {
            Policy::Fixed(delay) if faults => self.step_fixed(delay),
            _ => self.step_processes(down),
        }
        // Without the manager's moves the greedy ones fill the pools.
        if self.plan.policy == Policy::Greedy || (self.plan.policy == Policy::Still && !faults) {
            self.step_greedy();
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        for process in &mut self.processes {
            process.deliver(now, &mut self.platform, &mut self.random);
        }
        let (ready, later) = self.orphans.drain(..).partition(|call| call.due <= now);
        self.orphans = later;
        let ready: Vec<Asked> = ready;
        for asked in ready {
            process::carry(now, &asked, &mut self.platform, &mut self.random);
        }
    }

    fn land(&mut self, faults: bool) {
        let twice = if faults { self.plan.faults.twice } else { 0 };
        let (now, log, random) = (self.now, &mut self.log, &mut self.random);
        for process in &mut self.processes {
            process.follower.land(now, log, twice, random);
        }
        for entry in &mut self.entries {
            entry.follower.land(now, log, twice, random);
        }
    }

    fn step_entries(&mut self, down: bool) {
        let now = self.now;
        for entry in &mut self.entries {
            if entry.frozen.is_some_and(|until| now < until) {
                continue;
            }
            entry.frozen = None;
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
                        drain_offset: report.since,
                        in_flight: report.in_flight,
                    };
                    process.mail(now + Duration::from_millis(5), event);
                }
            }
        }
    }

    fn step_processes(&mut self, down: bool) {
        let now = self.now;
        for process in &mut self.processes {
            if process.frozen.is_some_and(|until| now < until) {
                continue;
            }
            process.frozen = None;
            let log = (!down).then_some(&self.log);
            process.step(now, log, &self.platform, &mut self.random);
        }
    }

    /// Sends the operator's commands, and resumes a wave that was paused for a while.
    fn command(&mut self, start: Instant) {
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
                self.paused[at] = None;
                continue;
            }
            if self.paused[at].is_none() {
                self.outcome.pauses += 1;
            }
            let since = *self.paused[at].get_or_insert(now);
            if now - since >= RESUME {
                self.paused[at] = Some(now);
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
