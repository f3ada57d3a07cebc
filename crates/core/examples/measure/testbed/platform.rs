//! Machines that drain and reboot, with a host list that is out of date.

use std::time::{Duration, Instant};

use persimmongate_core::fleet::{Call, Health, Status};
use persimmongate_core::ids;
use persimmongate_core::map::Map;
use persimmongate_core::record::Listing;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Time between two host lists; a list is published when it is one interval old.
const LIST_INTERVAL: Duration = Duration::from_secs(10);
/// Time of a reboot, in seconds.
const REBOOT_S: std::ops::Range<u64> = 60..180;
/// Time of the repair of a failed machine, in seconds.
const REPAIR_S: std::ops::Range<u64> = 300..1200;

/// `Job` is a request that runs on a machine.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// Index of the entry host that waits for the answer.
    pub(crate) entry: usize,
    pub(crate) ends_at: Instant,
}

/// `Machine` is a host with its worker.
#[derive(Clone, Debug)]
pub(crate) struct Machine {
    pub(crate) listing: Listing,
    pub(crate) health: Health,
    pub(crate) jobs: Vec<Job>,
    /// Time at which the machine serves again.
    serves_at: Option<Instant>,
    drain_started_at: Option<Instant>,
    /// Time from the start of the latest drain to the end of the reboot, without repairs.
    pub(crate) maintenance_time: Option<Duration>,
}

/// `Platform` holds all machines and the host list.
#[derive(Debug)]
pub(crate) struct Platform {
    pub(crate) machines: Map<ids::Host, Machine>,
    pub(crate) host_names: Vec<ids::Host>,
    /// Percentage of reboots after which a machine needs a repair.
    pub(crate) failed_reboot_percent: u32,
    /// Requests that a reboot interrupted.
    pub(crate) interrupted_requests: usize,
    current_list: Vec<Listing>,
    next_list_at: Instant,
    next_list: Vec<Listing>,
}

impl Platform {
    pub(crate) fn new(listings: Vec<Listing>, failed_reboot_percent: u32, now: Instant) -> Self {
        let new_machine = |listing: Listing| Machine {
            listing,
            health: Health::Serving,
            jobs: Vec::new(),
            serves_at: None,
            drain_started_at: None,
            maintenance_time: None,
        };
        Self {
            host_names: listings
                .iter()
                .map(|listing| listing.host.clone())
                .collect(),
            current_list: listings.clone(),
            next_list: listings.clone(),
            machines: listings
                .into_iter()
                .map(|listing| (listing.host.clone(), new_machine(listing)))
                .collect(),
            failed_reboot_percent,
            interrupted_requests: 0,
            next_list_at: now,
        }
    }

    /// Returns the host list as of one to two intervals ago.
    pub(crate) fn list(&self) -> Vec<Listing> {
        self.current_list.clone()
    }

    /// Ends jobs, reboots and repairs that are due; returns the index of the entry host and the
    /// host for each job that ended.
    pub(crate) fn step(&mut self, now: Instant) -> Vec<(usize, ids::Host)> {
        let mut answered = Vec::new();
        for name in &self.host_names {
            let Some(machine) = self.machines.get_mut(name) else {
                continue;
            };
            machine.jobs.retain(|job| {
                let has_ended = job.ends_at <= now;
                if has_ended {
                    answered.push((job.entry, name.clone()));
                }
                !has_ended
            });
            if machine.serves_at.is_some_and(|serves_at| serves_at <= now) {
                machine.serves_at = None;
                machine.health = Health::Serving;
                machine.listing.generation += 1;
            }
        }
        if now >= self.next_list_at {
            self.next_list_at = now + LIST_INTERVAL;
            let running_fact = |name: &ids::Host| {
                let machine = self.machines.get(name)?;
                let is_down = matches!(machine.health, Health::Dead | Health::Rebooting);
                (!is_down).then(|| machine.listing.clone())
            };
            let list = self.host_names.iter().filter_map(running_fact).collect();
            self.current_list = std::mem::replace(&mut self.next_list, list);
        }
        answered
    }

    /// Starts a job unless the machine refuses it; returns whether it runs.
    ///
    /// A job for another generation is refused: an old connection does not reach a restarted
    /// worker.
    pub(crate) fn start_job(
        &mut self,
        name: &ids::Host,
        generation: ids::Generation,
        job: Job,
    ) -> bool {
        let Some(machine) = self.machines.get_mut(name) else {
            return false;
        };
        let is_full = machine.jobs.len() >= usize::from(machine.listing.slots);
        let is_current = machine.listing.generation == generation;
        if is_full || !is_current || machine.health != Health::Serving {
            return false;
        }
        machine.jobs.push(job);
        true
    }

    /// Executes a call; a call for another generation is refused, except for a query.
    ///
    /// A reboot is executed even while jobs run, so that a premature one counts as an interruption.
    pub(crate) fn call(
        &mut self,
        now: Instant,
        name: &ids::Host,
        generation: ids::Generation,
        call: Call,
        rng: &mut ChaCha8Rng,
    ) -> Option<Status> {
        let reboot_fails = rng.random_range(0..100) < self.failed_reboot_percent;
        let reboot_time = Duration::from_secs(rng.random_range(REBOOT_S));
        let repair_time = Duration::from_secs(rng.random_range(REPAIR_S));
        let machine = self.machines.get_mut(name)?;
        if call != Call::Query && machine.listing.generation != generation {
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
                machine.serves_at = Some(now + reboot_time);
                if reboot_fails {
                    machine.health = Health::Dead;
                    machine.serves_at = Some(now + repair_time + reboot_time);
                }
                let drain_started_at = machine.drain_started_at.take().unwrap_or(now);
                machine.maintenance_time =
                    Some(now.saturating_duration_since(drain_started_at) + reboot_time);
            }
            _ => {}
        }
        Some(machine.status())
    }

    /// Lets a machine fail unexpectedly; its jobs are lost.
    pub(crate) fn crash(&mut self, now: Instant, name: &ids::Host, rng: &mut ChaCha8Rng) {
        let repair_time = Duration::from_secs(rng.random_range(REPAIR_S));
        if let Some(machine) = self.machines.get_mut(name)
            && !matches!(machine.health, Health::Dead | Health::Rebooting)
        {
            machine.jobs.clear();
            machine.health = Health::Dead;
            machine.serves_at = Some(now + repair_time);
        }
    }

    /// Returns whether a machine accepts requests.
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
            generation: self.listing.generation,
            health,
        }
    }
}
