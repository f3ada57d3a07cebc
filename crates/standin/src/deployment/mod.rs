//! The two deployments in the sizes of today.

use std::net::SocketAddr;

use persimmongate_core::record::Fact;
use persimmongate_core::request::Urgency;

use crate::ports;

/// Hosts in one rack.
const HOSTS_PER_RACK: usize = 4;
/// Requests that a worker runs at once.
pub const SLOTS_PER_WORKER: u16 = 8;
/// Connections that a worker accepts.
pub const MAX_CONNECTIONS_PER_WORKER: u16 = 64;

/// `Deployment` is one of the two deployments.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Deployment {
    /// Four salvage houses and the public, in th-south.
    Andaman,
    /// A photo archive with five services, in khomas.
    Kuiseb,
}

/// `Service` is one service of a deployment with its load.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    /// Name of the service.
    pub name: &'static str,
    /// Workers in its pool.
    pub worker_count: usize,
    /// Order of its requests.
    pub urgency: Urgency,
    /// Whether its requests may run again.
    pub is_idempotent: bool,
    /// Mean time that a request takes, in milliseconds.
    pub mean_work_ms: u64,
    /// Time for which an answer is of use, in milliseconds.
    pub deadline_ms: u64,
}

const fn service(
    name: &'static str,
    worker_count: usize,
    urgency: Urgency,
    is_idempotent: bool,
    mean_work_ms: u64,
    deadline_ms: u64,
) -> Service {
    Service {
        name,
        worker_count,
        urgency,
        is_idempotent,
        mean_work_ms,
        deadline_ms,
    }
}

const KUISEB: [Service; 5] = [
    service("finder", 8, Urgency::Urgent, true, 80, 2000),
    service("classifier", 9, Urgency::Normal, false, 150, 5000),
    service("classroom", 11, Urgency::Urgent, true, 80, 2000),
    service("renderer", 12, Urgency::Batch, true, 300, 8000),
    service("catalogue", 8, Urgency::Normal, false, 100, 5000),
];

const ANDAMAN: [Service; 5] = [
    service("krabi", 8, Urgency::Normal, false, 100, 5000),
    service("phuket", 9, Urgency::Urgent, true, 80, 2000),
    service("ranong", 11, Urgency::Normal, true, 150, 5000),
    service("satun", 12, Urgency::Batch, true, 300, 8000),
    service("public", 8, Urgency::Urgent, true, 80, 2000),
];

impl Deployment {
    /// Gets the services.
    #[must_use]
    pub fn services(self) -> &'static [Service] {
        match self {
            Self::Andaman => &ANDAMAN,
            Self::Kuiseb => &KUISEB,
        }
    }

    /// Gets the availability zones.
    #[must_use]
    pub fn zones(self) -> [&'static str; 4] {
        match self {
            Self::Andaman => ["th-south-a", "th-south-b", "th-south-c", "th-south-d"],
            Self::Kuiseb => ["khomas-a", "khomas-b", "khomas-c", "khomas-d"],
        }
    }

    /// Gets the number of workers, those of all pools and `spare_hosts` more.
    #[must_use]
    pub fn worker_count(self, spare_hosts: usize) -> usize {
        self.services()
            .iter()
            .map(|service| service.worker_count)
            .sum::<usize>()
            + spare_hosts
    }

    /// Makes the facts of all workers, on free ports of the loopback address.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no free port.
    pub fn build_facts(self, spare_hosts: usize) -> std::io::Result<Vec<Fact>> {
        let zones = self.zones();
        let addresses = ports::find_free(self.worker_count(spare_hosts))?;
        let make = |(index, address): (usize, SocketAddr)| {
            let rack = index / HOSTS_PER_RACK;
            let zone = zones[rack % zones.len()];
            Fact {
                host: format!("host-{index:03}").into(),
                address,
                zone: zone.into(),
                rack: format!("rack-{rack:02}").into(),
                generation: 1,
                slots: SLOTS_PER_WORKER,
                connections: MAX_CONNECTIONS_PER_WORKER,
            }
        };
        Ok(addresses.into_iter().enumerate().map(make).collect())
    }
}

impl std::str::FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "andaman" => Ok(Self::Andaman),
            "kuiseb" => Ok(Self::Kuiseb),
            _ => Err("expected andaman or kuiseb".to_owned()),
        }
    }
}
