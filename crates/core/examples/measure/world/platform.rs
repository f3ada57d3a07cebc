//! Simulated workers, and the platform's calls on their hosts.

use std::collections::BTreeMap;

use persimmongate_core::fleet::{Call, Health, Status};
use persimmongate_core::ids;
use persimmongate_core::record::Listing;
use rand::{Rng, RngExt};

use super::SECOND;
use super::message::Process;

/// Number of hosts.
const HOST_COUNT: usize = 24;
/// Number of hosts in a rack.
const HOSTS_PER_RACK: usize = 4;
/// Number of racks in an availability zone.
const RACKS_PER_ZONE: usize = 2;
/// Duration of a reboot, in steps.
const REBOOT_STEPS: u64 = SECOND;
/// Upper limit on the run time of a request, itself excluded, in steps.
const RUN_LIMIT_STEPS: u64 = 30;
/// Factor on the run time of requests at a slow worker.
const SLOW_FACTOR: u64 = 20;

/// `Job` is a request in flight to a worker or running there.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) entry: Process,
    pub(crate) exchange: u64,
    pub(crate) request: ids::Request,
    pub(crate) nonce: u64,
    pub(crate) key: Option<ids::IdempotencyKey>,
}

/// `Completion` is how a job ended.
#[derive(Debug)]
pub(crate) enum Completion {
    /// The worker answered, and echoed the entry host and request that the answer is for.
    Answered {
        nonce: u64,
        echo: (Process, ids::Request),
    },
    /// The connection broke off.
    Broken,
}

/// `Worker` is one backend server on its host.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) listing: Listing,
    health: Health,
    /// Running jobs, each with the step at which it ends.
    running: Vec<(u64, Job)>,
    reboot_end: u64,
    /// Step until which the worker is slow.
    pub(crate) slow_until: u64,
    /// Step until which the worker breaks off the exchange of every job.
    pub(crate) failing_until: u64,
    /// Step until which the worker returns the answers of other jobs.
    pub(crate) crossed_until: u64,
}

/// `Platform` holds the workers and a host list that may lag behind them.
#[derive(Debug)]
pub(crate) struct Platform {
    pub(crate) workers: BTreeMap<ids::Host, Worker>,
    pub(crate) host_list: Vec<Listing>,
}

impl Platform {
    pub(crate) fn new() -> Self {
        let workers = (0..HOST_COUNT).map(|index| {
            let listing = listing(index);
            (listing.host.clone(), Worker::new(listing))
        });
        Self {
            workers: workers.collect(),
            host_list: Vec::new(),
        }
    }

    /// Refreshes the host list from the workers that are up.
    pub(crate) fn refresh_host_list(&mut self) {
        let live = self
            .workers
            .values()
            .filter(|worker| !matches!(worker.health, Health::Dead | Health::Rebooting));
        self.host_list = live.map(|worker| worker.listing.clone()).collect();
    }

    /// Carries out a call; returns the status and the number of requests that it interrupted.
    ///
    /// Calls other than a query have no effect and no answer if the generation is not the worker's.
    pub(crate) fn call(
        &mut self,
        step: u64,
        host: &ids::Host,
        generation: ids::Generation,
        call: Call,
    ) -> Option<(Status, usize)> {
        let worker = self.workers.get_mut(host)?;
        let mut interrupted = 0;
        let generation_matches = worker.listing.generation == generation;
        match call {
            Call::Query => {}
            _ if !generation_matches => return None,
            Call::Drain if worker.health == Health::Serving => worker.health = Health::Draining,
            Call::Undrain if worker.health == Health::Draining => worker.health = Health::Serving,
            Call::Reboot if worker.health != Health::Rebooting => {
                interrupted = worker.reboot(step);
            }
            _ => {}
        }
        Some((worker.status(), interrupted))
    }
}

impl Worker {
    fn new(listing: Listing) -> Self {
        Self {
            listing,
            health: Health::Serving,
            running: Vec::new(),
            reboot_end: 0,
            slow_until: 0,
            failing_until: 0,
            crossed_until: 0,
        }
    }

    fn status(&self) -> Status {
        let health = match self.health {
            Health::Draining if self.running.is_empty() => Health::Drained,
            health => health,
        };
        Status {
            generation: self.listing.generation,
            health,
        }
    }

    /// Starts a reboot; returns the number of interrupted jobs.
    fn reboot(&mut self, step: u64) -> usize {
        self.health = Health::Rebooting;
        self.reboot_end = step + REBOOT_STEPS;
        std::mem::take(&mut self.running).len()
    }

    /// Fails the worker; returns the interrupted jobs.
    pub(crate) fn fail(&mut self) -> Vec<Job> {
        self.health = Health::Dead;
        let running = std::mem::take(&mut self.running);
        running.into_iter().map(|(_, job)| job).collect()
    }

    /// Starts the worker again after a failure.
    pub(crate) fn revive(&mut self) {
        if self.health == Health::Dead {
            self.listing.generation += 1;
            self.health = Health::Serving;
        }
    }

    pub(crate) fn is_down(&self) -> bool {
        matches!(self.health, Health::Dead | Health::Rebooting)
    }

    /// Starts a job unless the worker is full or not in service; returns whether it runs.
    pub(crate) fn start<R: Rng>(&mut self, step: u64, job: Job, rng: &mut R) -> bool {
        let is_full = self.running.len() >= usize::from(self.listing.slots);
        if is_full || self.health != Health::Serving {
            return false;
        }
        let factor = if step < self.slow_until {
            SLOW_FACTOR
        } else {
            1
        };
        let run_steps = rng.random_range(1..RUN_LIMIT_STEPS) * factor;
        self.running.push((step + run_steps, job));
        true
    }

    /// Completes a due reboot and the due jobs; returns how each job ended.
    pub(crate) fn advance(&mut self, step: u64) -> Vec<(Job, Completion)> {
        if self.health == Health::Rebooting && step >= self.reboot_end {
            self.listing.generation += 1;
            self.health = Health::Serving;
        }
        let is_due = |(end_step, _): &mut (u64, Job)| *end_step <= step;
        let ended: Vec<(u64, Job)> = self.running.extract_if(.., is_due).collect();
        let mut completions = Vec::new();
        for (index, (_, job)) in ended.iter().enumerate() {
            let other_job = if step < self.crossed_until {
                let others = ended.iter().chain(&self.running);
                others.map(|(_, other)| other).nth(index + 1)
            } else {
                None
            };
            let source = other_job.unwrap_or(job);
            let completion = if step < self.failing_until {
                Completion::Broken
            } else {
                Completion::Answered {
                    nonce: source.nonce,
                    echo: (source.entry, source.request),
                }
            };
            completions.push((job.clone(), completion));
        }
        completions
    }
}

fn listing(index: usize) -> Listing {
    let rack = index / HOSTS_PER_RACK;
    Listing {
        host: format!("host-{index:02}").into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: format!("zone-{}", rack / RACKS_PER_ZONE).into(),
        rack: format!("rack-{rack}").into(),
        generation: 1,
        slots: 4,
        connections: 16,
    }
}
