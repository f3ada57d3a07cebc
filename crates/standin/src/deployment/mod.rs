//! Services and hosts of the two deployments at their current size.

use std::net::SocketAddr;

use persimmongate_core::record::Listing;
use persimmongate_core::request::Urgency;

use crate::ports;

/// Number of hosts in one rack.
const HOSTS_PER_RACK: usize = 4;
/// Number of requests that a worker runs concurrently.
pub const SLOTS_PER_WORKER: u16 = 8;
/// Maximum number of connections that a worker accepts.
pub const MAX_CONNECTIONS_PER_WORKER: u16 = 64;

/// `Deployment` is one of the two deployments.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Deployment {
    /// Four salvage companies and a public service, in region th-south.
    Andaman,
    /// A photo archive with five services, in region khomas.
    Kuiseb,
}

/// `Service` is one service of a deployment with the properties of its requests.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    /// Name of the service.
    pub name: &'static str,
    /// Number of workers in the pool of the service.
    pub worker_count: usize,
    /// Urgency of the service's requests.
    pub urgency: Urgency,
    /// Whether a request may safely run more than once.
    pub is_idempotent: bool,
    /// Mean time that a request takes, in milliseconds.
    pub mean_work_ms: u64,
    /// Deadline of a request, in milliseconds after it is sent.
    pub deadline_ms: u64,
}

const fn define_service(
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
    define_service("finder", 8, Urgency::Urgent, true, 80, 2000),
    define_service("classifier", 9, Urgency::Normal, false, 150, 5000),
    define_service("classroom", 11, Urgency::Urgent, true, 80, 2000),
    define_service("renderer", 12, Urgency::Batch, true, 300, 8000),
    define_service("catalogue", 8, Urgency::Normal, false, 100, 5000),
];

const ANDAMAN: [Service; 5] = [
    define_service("krabi", 8, Urgency::Normal, false, 100, 5000),
    define_service("phuket", 9, Urgency::Urgent, true, 80, 2000),
    define_service("ranong", 11, Urgency::Normal, true, 150, 5000),
    define_service("satun", 12, Urgency::Batch, true, 300, 8000),
    define_service("public", 8, Urgency::Urgent, true, 80, 2000),
];

impl Deployment {
    /// Returns the services of the deployment.
    #[must_use]
    pub fn services(self) -> &'static [Service] {
        match self {
            Self::Andaman => &ANDAMAN,
            Self::Kuiseb => &KUISEB,
        }
    }

    /// Returns the availability zones of the deployment.
    #[must_use]
    pub fn zones(self) -> [&'static str; 4] {
        match self {
            Self::Andaman => ["th-south-a", "th-south-b", "th-south-c", "th-south-d"],
            Self::Kuiseb => ["khomas-a", "khomas-b", "khomas-c", "khomas-d"],
        }
    }

    /// Returns the number of workers in all pools plus `spare_hosts`.
    #[must_use]
    pub fn worker_count(self, spare_hosts: usize) -> usize {
        self.services()
            .iter()
            .map(|service| service.worker_count)
            .sum::<usize>()
            + spare_hosts
    }

    /// Creates the host list entries of all workers, on free ports of a loopback address.
    ///
    /// # Errors
    ///
    /// Returns an error if there are too few free ports.
    pub fn build_listings(self, spare_hosts: usize) -> std::io::Result<Vec<Listing>> {
        let zones = self.zones();
        let addresses = ports::find_free(self.worker_count(spare_hosts))?;
        let build = |(index, address): (usize, SocketAddr)| {
            let rack = index / HOSTS_PER_RACK;
            let zone = zones[rack % zones.len()];
            Listing {
                host: format!("host-{index:03}").into(),
                address,
                zone: zone.into(),
                rack: format!("rack-{rack:02}").into(),
                generation: 1,
                slots: SLOTS_PER_WORKER,
                connections: MAX_CONNECTIONS_PER_WORKER,
            }
        };
        Ok(addresses.into_iter().enumerate().map(build).collect())
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
