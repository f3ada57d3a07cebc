//! What a run is made of, and what came of it.

use std::time::Duration;

use persimmongate_core::fleet::Options;
use persimmongate_core::ids;
use persimmongate_core::record::{Command, Fact};
use persimmongate_core::sheet::Intent;

/// Hosts in a rack.
const HOSTS_PER_RACK: usize = 4;
/// Availability zones.
const ZONES: usize = 4;

/// `Service` is a service with one pool of the same name.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Service {
    pub(crate) name: &'static str,
    pub(crate) host_count: u32,
    pub(crate) required_hosts: u32,
}

const fn service(name: &'static str, host_count: u32, required_hosts: u32) -> Service {
    Service {
        name,
        host_count,
        required_hosts,
    }
}

/// Services of Kuiseb Crystal Imaging.
pub(crate) const KUISEB: [Service; 5] = [
    service("finder", 8, 6),
    service("classifier", 9, 7),
    service("classroom", 11, 9),
    service("renderer", 12, 9),
    service("catalogue", 8, 6),
];

/// Services of Andaman Wreck Registry Consortium.
pub(crate) const ANDAMAN: [Service; 5] = [
    service("krabi", 8, 6),
    service("phuket", 9, 7),
    service("ranong", 11, 9),
    service("satun", 12, 9),
    service("public", 8, 6),
];

/// `Policy` is who takes hosts out of service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Policy {
    /// Batches of the size that the sheet gives, each after a fixed delay, no reports.
    Fixed(Duration),
    /// The manager, and a move at every difference from the sheet.
    Greedy,
    /// The manager.
    Manager,
    /// The manager without moves.
    NoMoves,
}

/// `Faults` sets how often things fail; rates count per million steps.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// Fleet instances that are replaced.
    pub(crate) kill_rate: u32,
    /// Fleet instances and entry hosts that freeze.
    pub(crate) freeze_rate: u32,
    /// Fleet instances whose appends become slow.
    pub(crate) slow_append_rate: u32,
    /// Outages of the log.
    pub(crate) outage_rate: u32,
    /// Machines that fail.
    pub(crate) crash_rate: u32,
    /// Racks that fail.
    pub(crate) rack_failure_rate: u32,
    /// Percentage of reboots after which a machine stays down.
    pub(crate) failed_reboot_percent: u32,
    /// Percentage of appends that land twice.
    pub(crate) duplicate_append_percent: u32,
}

/// `Loss` is how the holder of a pool is lost on purpose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Loss {
    /// It freezes for longer than the run.
    Freeze,
    /// It ends.
    Kill,
}

/// `Plan` is what a run is made of.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) services: Vec<Service>,
    pub(crate) spare_hosts: usize,
    pub(crate) instance_count: usize,
    pub(crate) entry_count: usize,
    pub(crate) options: Options,
    pub(crate) policy: Policy,
    pub(crate) faults: Faults,
    /// Pools maintained, with the batch of each wave.
    pub(crate) waves: Vec<(&'static str, u32)>,
    /// Hosts of a pool out of service at once that the bound on the time counts with.
    pub(crate) max_hosts_out: u32,
    /// Commands on the first wave, with their times after its start.
    pub(crate) commands: Vec<(Duration, Command)>,
    /// Loss of the first wave's holder at its start.
    pub(crate) loss: Option<Loss>,
    /// Whether the run goes on to its limit when the waves ended.
    pub(crate) runs_to_limit: bool,
    /// Longest time of the run after the start of the waves.
    pub(crate) time_limit: Duration,
}

/// `Outcome` is what came of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// Whether all pools were full before the waves, and all waves ended.
    pub(crate) has_completed: bool,
    /// Time from the start to the end of all waves.
    pub(crate) duration: Duration,
    /// Time that the budgets and the machines' own drains and reboots allow.
    pub(crate) duration_bound: Duration,
    /// Seconds in which a service was below its promise because of hosts taken out, though at most
    /// one rack's worth of its hosts had failed.
    pub(crate) violation_s: f64,
    /// Seconds in which a service was below its promise for any reason.
    pub(crate) shortfall_s: f64,
    /// Requests that a reboot ended.
    pub(crate) interrupted_requests: usize,
    /// Moves accepted after the start.
    pub(crate) move_count: u64,
    /// Hosts that a wave drained.
    pub(crate) drained_hosts: usize,
    /// Times that a wave was paused.
    pub(crate) pause_count: usize,
    /// Records after the start.
    pub(crate) record_count: usize,
    /// Whether a second fold of all records gave the same state, and each instance that runs knows
    /// the same of each host.
    pub(crate) is_consistent: bool,
    /// Hosts wanted in the shared spare pool, and in one for each service.
    pub(crate) buffer_hosts: (u32, u32),
    /// Time from the holder's loss to the next claim, and to the first act under it.
    pub(crate) takeover: Option<(Duration, Duration)>,
}

impl Plan {
    /// Makes a plan without faults or waves.
    pub(crate) fn new(services: &[Service], spare_hosts: usize, seed: u64) -> Self {
        Self {
            seed,
            services: services.to_vec(),
            spare_hosts,
            instance_count: 9,
            entry_count: 6,
            options: Options::default(),
            policy: Policy::Manager,
            faults: Faults::default(),
            waves: Vec::new(),
            max_hosts_out: 2,
            commands: Vec::new(),
            loss: None,
            runs_to_limit: false,
            time_limit: Duration::from_hours(4),
        }
    }

    /// Gives the spare hosts to the services, in turn to those that lack most.
    pub(crate) fn distribute_spare_hosts(&mut self) {
        let surplus = |service: &Service| service.host_count - service.required_hosts;
        for _ in 0..std::mem::take(&mut self.spare_hosts) {
            if let Some(service) = self
                .services
                .iter_mut()
                .min_by_key(|service| surplus(service))
            {
                service.host_count += 1;
            }
        }
    }

    /// Gets the facts of all machines.
    pub(crate) fn machine_facts(&self) -> Vec<Fact> {
        let hosts: u32 = self.services.iter().map(|service| service.host_count).sum();
        let hosts = usize::try_from(hosts).unwrap_or(0) + self.spare_hosts;
        let fact = |index: usize| Fact {
            host: format!("host-{index:03}").into(),
            address: ([127, 0, 0, 1], 2).into(),
            zone: format!("zone-{}", index / HOSTS_PER_RACK % ZONES).into(),
            rack: format!("rack-{:02}", index / HOSTS_PER_RACK).into(),
            generation: 1,
            slots: 8,
            connections: 64,
        };
        (0..hosts).map(fact).collect()
    }

    /// Gets the rows of the sheet, with or without the waves.
    pub(crate) fn sheet_rows(&self, waves: bool) -> Vec<Intent> {
        let mut intents = Vec::new();
        for service in &self.services {
            let name = ids::Pool::from_static(service.name);
            intents.push(Intent::Pool {
                name: name.clone(),
                service: Some(name.clone()),
                hosts: service.host_count,
            });
            intents.push(Intent::Budget {
                service: name,
                hosts: service.required_hosts,
            });
        }
        let wave = |(pool, batch): &(&'static str, u32)| Intent::Wave {
            name: format!("{pool}-wave").into(),
            pool: ids::Pool::from_static(pool),
            batch: *batch,
        };
        if waves {
            intents.extend(self.waves.iter().map(wave));
        }
        intents
    }
}
