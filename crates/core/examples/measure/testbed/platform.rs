//! Machines that drain and reboot, with a host list that lags.

use std::time::{Duration, Instant};

use persimmongate_core::fleet::{Call, Health, Status};
use persimmongate_core::ids;
use persimmongate_core::map::Map;
use persimmongate_core::record::Fact;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Time between two host lists, and the age of the older one when the next appears.
const LIST_INTERVAL: Duration = Duration::from_secs(10);
/// Seconds that a reboot takes.
const REBOOT_S: std::ops::Range<u64> = 60..180;
/// Seconds that the repair of a failed machine takes.
const REPAIR_S: std::ops::Range<u64> = 300..1200;

/// `Job` is a request that runs on a machine.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// Entry host that waits for the answer.
    pub(crate) entry: usize,
    /// Time at which it ends.
    pub(crate) ends_at: Instant,
}

/// `Machine` is one worker with its host.
#[derive(Clone, Debug)]
pub(crate) struct Machine {
    pub(crate) fact: Fact,
    pub(crate) health: Health,
    pub(crate) jobs: Vec<Job>,
    /// Time at which it serves again.
    serves_at: Option<Instant>,
    /// Time at which its latest drain began.
    drain_started_at: Option<Instant>,
    /// Time of its own that its latest drain and reboot took.
    pub(crate) maintenance_time: Option<Duration>,
}

/// `Platform` holds all machines.
#[derive(Debug)]
pub(crate) struct Platform {
    pub(crate) machines: Map<ids::Host, Machine>,
    pub(crate) host_names: Vec<ids::Host>,
    /// Percentage of reboots after which a machine does not serve again.
    pub(crate) failed_reboot_percent: u32,
    /// Requests that a reboot ended.
    pub(crate) interrupted_requests: usize,
    current_list: Vec<Fact>,
    next_list_at: Instant,
    next_list: Vec<Fact>,
}

impl Platform {
    pub(crate) fn new(facts: Vec<Fact>, failed_reboot_percent: u32, now: Instant) -> Self {
        let machine = |fact: Fact| Machine {
            fact,
            health: Health::Serving,
            jobs: Vec::new(),
            serves_at: None,
            drain_started_at: None,
            maintenance_time: None,
        };
        Self {
            host_names: facts.iter().map(|fact| fact.host.clone()).collect(),
            current_list: facts.clone(),
            next_list: facts.clone(),
            machines: facts
                .into_iter()
                .map(|fact| (fact.host.clone(), machine(fact)))
                .collect(),
            failed_reboot_percent,
            interrupted_requests: 0,
            next_list_at: now,
        }
    }

    /// Gets the list as it was one or two periods ago.
    pub(crate) fn list(&self) -> Vec<Fact> {
        self.current_list.clone()
    }

    /// Ends jobs, reboots and repairs; returns the entry hosts that get an answer, with the host.
    pub(crate) fn step(&mut self, now: Instant) -> Vec<(usize, ids::Host)> {
        let mut answers = Vec::new();
        for name in &self.host_names {
            let Some(machine) = self.machines.get_mut(name) else {
                continue;
            };
            machine.jobs.retain(|job| {
                let ended = job.ends_at <= now;
                if ended {
                    answers.push((job.entry, name.clone()));
                }
                !ended
            });
            if machine.serves_at.is_some_and(|at| at <= now) {
                machine.serves_at = None;
                machine.health = Health::Serving;
                machine.fact.generation += 1;
            }
        }
        if now >= self.next_list_at {
            self.next_list_at = now + LIST_INTERVAL;
            let up = |name: &ids::Host| {
                let machine = self.machines.get(name)?;
                let down = matches!(machine.health, Health::Dead | Health::Rebooting);
                (!down).then(|| machine.fact.clone())
            };
            let fresh = self.host_names.iter().filter_map(up).collect();
            self.current_list = std::mem::replace(&mut self.next_list, fresh);
        }
        answers
    }

    /// Runs a job unless the machine refuses it; an old connection does not reach a new start.
    pub(crate) fn start_job(
        &mut self,
        name: &ids::Host,
        generation: ids::Generation,
        job: Job,
    ) -> bool {
        let Some(machine) = self.machines.get_mut(name) else {
            return false;
        };
        let full = machine.jobs.len() >= usize::from(machine.fact.slots);
        let same = machine.fact.generation == generation;
        if full || !same || machine.health != Health::Serving {
            return false;
        }
        machine.jobs.push(job);
        true
    }

    /// Carries out a call; a call for another generation is refused.
    ///
    /// A reboot is carried out also while jobs run, so that one that comes too early is seen.
    pub(crate) fn call(
        &mut self,
        now: Instant,
        name: &ids::Host,
        generation: ids::Generation,
        call: Call,
        random: &mut ChaCha8Rng,
    ) -> Option<Status> {
        let reboot_fails = random.random_range(0..100) < self.failed_reboot_percent;
        let reboot = Duration::from_secs(random.random_range(REBOOT_S));
        let repair = Duration::from_secs(random.random_range(REPAIR_S));
        let machine = self.machines.get_mut(name)?;
        if call != Call::Query && machine.fact.generation != generation {
            return None;
        }
        match (call, machine.health) {
            (Call::Drain, Health::Serving) => {
                machine.health = Health::Draining;
                machine.drain_started_at = Some(now);
            }
            (Call::Undrain, Health::Draining) => machine.health = Health::Serving,
            (Call::Reboot, Health::Serving | Health::Draining) => {
                self.interrupted_requests += machine.jobs.len();
                machine.jobs.clear();
                machine.health = Health::Rebooting;
                machine.serves_at = Some(now + reboot);
                if reboot_fails {
                    machine.health = Health::Dead;
                    machine.serves_at = Some(now + repair + reboot);
                }
                let drain = machine.drain_started_at.take().unwrap_or(now);
                machine.maintenance_time = Some(now.saturating_duration_since(drain) + reboot);
            }
            _ => {}
        }
        Some(machine.status())
    }

    /// Fails a machine without a plan; its jobs are lost.
    pub(crate) fn crash(&mut self, now: Instant, name: &ids::Host, random: &mut ChaCha8Rng) {
        let repair = Duration::from_secs(random.random_range(REPAIR_S));
        if let Some(machine) = self.machines.get_mut(name)
            && !matches!(machine.health, Health::Dead | Health::Rebooting)
        {
            machine.jobs.clear();
            machine.health = Health::Dead;
            machine.serves_at = Some(now + repair);
        }
    }

    /// Gets whether a machine takes requests.
    pub(crate) fn is_serving(&self, name: &ids::Host) -> bool {
        let machine = self.machines.get(name);
        machine.is_some_and(|machine| machine.health == Health::Serving)
    }
}

impl Machine {
    fn status(&self) -> Status {
        let health = match self.health {
            Health::Draining if self.jobs.is_empty() => Health::Drained,
            health => health,
        };
        Status {
            generation: self.fact.generation,
            health,
        }
    }
}
