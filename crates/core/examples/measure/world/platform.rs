//! Workers and the platform's interface for hosts.

use std::collections::BTreeMap;

use persimmongate_core::fleet::{Call, Health, Status};
use persimmongate_core::ids;
use persimmongate_core::record::Fact;
use rand::{Rng, RngExt};

use super::SECOND;
use super::message::Place;

/// Hosts of the fleet.
const HOSTS: usize = 24;
/// Hosts in a rack.
const RACK_HOSTS: usize = 4;
/// Racks in an availability zone.
const ZONE_RACKS: usize = 2;
/// Steps that a reboot takes.
const REBOOT_STEPS: u64 = SECOND;
/// Longest run of a request, in steps.
const WORK_STEPS_MAX: u64 = 30;
/// Factor by which a slow worker takes longer.
const SLOWNESS: u64 = 20;

/// `Job` is a request on its way to a worker, or running there.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) entry: Place,
    pub(crate) exchange: u64,
    pub(crate) request: ids::Request,
    pub(crate) nonce: u64,
    pub(crate) key: Option<ids::IdempotencyKey>,
}

/// `End` is what became of a job.
#[derive(Debug)]
pub(crate) enum End {
    /// The worker answered, and named the entry host and request of its answer.
    Answered {
        nonce: u64,
        echo: (Place, ids::Request),
    },
    Broken,
}

/// `Worker` is one backend server on its host.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) fact: Fact,
    health: Health,
    running: Vec<(u64, Job)>,
    back_at: u64,
    /// Steps before which it is slow, fails what it starts, or mixes answers up.
    pub(crate) slow_until: u64,
    pub(crate) failing_until: u64,
    pub(crate) crossed_until: u64,
}

/// `Platform` knows the workers, and lists them late.
#[derive(Debug)]
pub(crate) struct Platform {
    pub(crate) workers: BTreeMap<ids::Host, Worker>,
    pub(crate) listed: Vec<Fact>,
}

impl Platform {
    pub(crate) fn new() -> Self {
        let workers = (0..HOSTS).map(|index| {
            let fact = fact(index);
            (fact.host.clone(), Worker::new(fact))
        });
        Self {
            workers: workers.collect(),
            listed: Vec::new(),
        }
    }

    /// Reads the workers into the host list.
    pub(crate) fn list(&mut self) {
        let live = self
            .workers
            .values()
            .filter(|worker| !matches!(worker.health, Health::Dead | Health::Rebooting));
        self.listed = live.map(|worker| worker.fact.clone()).collect();
    }

    /// Carries out a call; returns the status and the requests that it cut.
    pub(crate) fn call(
        &mut self,
        step: u64,
        host: &ids::Host,
        generation: ids::Generation,
        call: Call,
    ) -> Option<(Status, usize)> {
        let worker = self.workers.get_mut(host)?;
        let mut cut = 0;
        let meant = worker.fact.generation == generation;
        match call {
            Call::Query => {}
            _ if !meant => return None,
            Call::Drain if worker.health == Health::Serving => worker.health = Health::Draining,
            Call::Undrain if worker.health == Health::Draining => worker.health = Health::Serving,
            Call::Reboot if worker.health != Health::Rebooting => cut = worker.reboot(step),
            _ => {}
        }
        Some((worker.status(), cut))
    }
}

impl Worker {
    fn new(fact: Fact) -> Self {
        Self {
            fact,
            health: Health::Serving,
            running: Vec::new(),
            back_at: 0,
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
            generation: self.fact.generation,
            health,
        }
    }

    fn reboot(&mut self, step: u64) -> usize {
        self.health = Health::Rebooting;
        self.back_at = step + REBOOT_STEPS;
        std::mem::take(&mut self.running).len()
    }

    /// Fails without a plan and returns the jobs that broke off.
    pub(crate) fn fail(&mut self) -> Vec<Job> {
        self.health = Health::Dead;
        let running = std::mem::take(&mut self.running);
        running.into_iter().map(|(_, job)| job).collect()
    }

    /// Starts again after a failure.
    pub(crate) fn revive(&mut self) {
        if self.health == Health::Dead {
            self.fact.generation += 1;
            self.health = Health::Serving;
        }
    }

    pub(crate) fn is_dead(&self) -> bool {
        matches!(self.health, Health::Dead | Health::Rebooting)
    }

    /// Starts a job unless the worker is full or draining; returns whether it runs.
    pub(crate) fn start<R: Rng>(&mut self, step: u64, job: Job, rng: &mut R) -> bool {
        let full = self.running.len() >= usize::from(self.fact.slots);
        if full || self.health != Health::Serving {
            return false;
        }
        let slowness = if step < self.slow_until { SLOWNESS } else { 1 };
        let work = rng.random_range(1..WORK_STEPS_MAX) * slowness;
        self.running.push((step + work, job));
        true
    }

    /// Ends the jobs whose time has come, and a reboot.
    pub(crate) fn advance(&mut self, step: u64) -> Vec<(Job, End)> {
        if self.health == Health::Rebooting && step >= self.back_at {
            self.fact.generation += 1;
            self.health = Health::Serving;
        }
        let due = |(at, _): &mut (u64, Job)| *at <= step;
        let done: Vec<(u64, Job)> = self.running.extract_if(.., due).collect();
        let mut ends = Vec::new();
        for (index, (_, job)) in done.iter().enumerate() {
            let mixed = if step < self.crossed_until {
                let others = done.iter().chain(&self.running);
                others.map(|(_, other)| other).nth(index + 1)
            } else {
                None
            };
            let source = mixed.unwrap_or(job);
            let end = if step < self.failing_until {
                End::Broken
            } else {
                End::Answered {
                    nonce: source.nonce,
                    echo: (source.entry, source.request),
                }
            };
            ends.push((job.clone(), end));
        }
        ends
    }
}

fn fact(index: usize) -> Fact {
    let rack = index / RACK_HOSTS;
    Fact {
        host: format!("host-{index:02}").into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: format!("zone-{}", rack / ZONE_RACKS).into(),
        rack: format!("rack-{rack}").into(),
        generation: 1,
        slots: 4,
        connections: 16,
    }
}
