//! Configuration and results of a run.

use std::time::Duration;

use persimmongate_core::fleet::Options;
use persimmongate_core::ids;
use persimmongate_core::record::{Command, Listing};
use persimmongate_core::sheet::Intent;

const HOSTS_PER_RACK: usize = 4;
const ZONES: usize = 4;

/// `Service` is a service with one pool of the same name.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Service {
    pub(crate) name: &'static str,
    /// Hosts of the pool according to the sheet.
    pub(crate) host_count: u32,
    /// Minimum number of serving hosts according to the availability budget.
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

/// `Policy` selects the code that drains and moves hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Policy {
    /// Batches of the size on the sheet; each host reboots after a fixed delay, without reports of
    /// entry hosts.
    Fixed(Duration),
    /// The manager, with an additional move at every difference from the sheet.
    Greedy,
    /// The manager alone.
    Manager,
    /// The manager without moves once the waves have started.
    NoMoves,
}

/// `Faults` holds the frequencies of faults; rates are per million steps.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// Fleet instances that are replaced.
    pub(crate) kill_rate: u32,
    /// Fleet instances, and likewise entry hosts, that freeze.
    pub(crate) freeze_rate: u32,
    /// Fleet instances whose appends are delayed for some time.
    pub(crate) slow_append_rate: u32,
    /// Outages of the log.
    pub(crate) outage_rate: u32,
    /// Machines that fail.
    pub(crate) crash_rate: u32,
    /// Racks that fail.
    pub(crate) rack_failure_rate: u32,
    /// Percentage of reboots after which a machine needs a repair.
    pub(crate) failed_reboot_percent: u32,
    /// Percentage of records that are appended twice.
    pub(crate) duplicate_append_percent: u32,
}

/// `Loss` is how a plan takes down the holder of a pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Loss {
    /// The holder freezes for longer than the run.
    Freeze,
    /// The process of the holder ends.
    Kill,
}

/// `Plan` is the configuration of a run.
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
    /// Pools with a maintenance wave, each with its batch size.
    pub(crate) waves: Vec<(&'static str, u32)>,
    /// Hosts of a pool that may be out of service at once, for the bound on the duration.
    pub(crate) max_hosts_out: u32,
    /// Operator commands on the first wave, each with its delay after the start.
    pub(crate) commands: Vec<(Duration, Command)>,
    /// Loss of the holder of the first wave's pool at the start of the wave.
    pub(crate) loss: Option<Loss>,
    /// Whether the run continues to its time limit after the waves have ended.
    pub(crate) runs_to_limit: bool,
    /// Maximum time of the run after the start of the waves.
    pub(crate) time_limit: Duration,
}

/// `Outcome` holds the results of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// Whether all pools were full before the waves, and all waves have ended.
    pub(crate) has_completed: bool,
    /// Time from the start to the end of all waves.
    pub(crate) duration: Duration,
    /// Shortest duration that the budgets and the times of drains and reboots allow.
    pub(crate) duration_bound: Duration,
    /// Time for which a service was below its availability budget while hosts were in maintenance
    /// and at most one rack of its hosts had failed, in seconds.
    pub(crate) violation_s: f64,
    /// Time for which a service was below its availability budget for any reason, in seconds.
    pub(crate) shortfall_s: f64,
    /// Requests that a reboot interrupted.
    pub(crate) interrupted_requests: usize,
    /// Moves accepted after the start.
    pub(crate) move_count: u64,
    /// Hosts that the waves drained.
    pub(crate) drained_hosts: usize,
    /// Number of times that a wave was paused.
    pub(crate) pause_count: usize,
    /// Records appended after the start.
    pub(crate) record_count: usize,
    /// Whether the records yield the same state when they are applied again, and each running
    /// instance has the same view of each host.
    pub(crate) is_consistent: bool,
    /// Hosts required in a shared spare pool, and in total with a separate one for each service.
    pub(crate) buffer_hosts: (u32, u32),
    /// Time from the loss of the holder to the next holder's claim, and to its first drain.
    pub(crate) takeover: Option<(Duration, Duration)>,
}

impl Plan {
    /// Creates a plan without faults and waves.
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

    /// Adds the spare hosts to the services, each to the one with the least hosts above its budget.
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

    /// Returns the listings of all machines.
    pub(crate) fn machine_listings(&self) -> Vec<Listing> {
        let service_hosts: u32 = self.services.iter().map(|service| service.host_count).sum();
        let host_count = usize::try_from(service_hosts).unwrap_or(0) + self.spare_hosts;
        let machine_listing = |index: usize| Listing {
            host: format!("host-{index:03}").into(),
            address: ([127, 0, 0, 1], 2).into(),
            zone: format!("zone-{}", index / HOSTS_PER_RACK % ZONES).into(),
            rack: format!("rack-{:02}", index / HOSTS_PER_RACK).into(),
            generation: 1,
            slots: 8,
            connections: 64,
        };
        (0..host_count).map(machine_listing).collect()
    }

    /// Returns the rows of the sheet, with or without the waves.
    pub(crate) fn sheet_rows(&self, includes_waves: bool) -> Vec<Intent> {
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
        let wave_row = |(pool, batch): &(&'static str, u32)| Intent::Wave {
            name: format!("{pool}-wave").into(),
            pool: ids::Pool::from_static(pool),
            batch: *batch,
        };
        if includes_waves {
            intents.extend(self.waves.iter().map(wave_row));
        }
        intents
    }
}
