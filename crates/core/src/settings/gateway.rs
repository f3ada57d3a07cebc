//! Settings of the gateway daemon.

use std::net::SocketAddr;

use super::reader::Reader;
use crate::errors::{Error, Result};
use crate::{ids, sched, upkeep};

/// Shards of the fleet if the settings don't say.
const SHARDS: usize = 24;
/// Processor time of the host if the settings don't say, in thousandths of a core.
const PROCESSOR: u32 = 1_000;
/// Shards accepted.
const SHARDS_RANGE: std::ops::RangeInclusive<usize> = 2..=1_024;

/// `Gateway` holds the settings of the gateway daemon.
#[derive(Clone, Debug)]
pub struct Gateway {
    /// Name of the process.
    pub instance: ids::Instance,
    /// Availability zone that it runs in.
    pub zone: ids::Zone,
    /// Address at which callers are served.
    pub listen: SocketAddr,
    /// Address at which the balancer asks for readiness.
    pub ready: SocketAddr,
    /// Address of metrics and dumps.
    pub admin: SocketAddr,
    /// Address of the log.
    pub log: SocketAddr,
    /// Address of the host service.
    pub hosts: Option<SocketAddr>,
    /// Address of the policy service.
    pub advice: Option<SocketAddr>,
    /// Shards of the fleet; every process must have the same number.
    pub shards: ids::Shard,
    /// Processor time of the host, in thousandths of a core.
    pub processor: u32,
    /// Limits of the schedulers.
    pub sched: sched::Options,
    /// Limits of the planner of hosts.
    pub upkeep: upkeep::Options,
}

impl TryFrom<&str> for Gateway {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self> {
        super::parse(text, |reader: &mut Reader<'_>| {
            let (schedules, upkeeps) = (sched::Options::default(), upkeep::Options::default());
            let instance = reader.name("instance");
            let zone = reader.name("zone");
            let listen = reader.listen("listen");
            let ready = reader.listen("ready");
            let admin = reader.listen("admin");
            let log = reader.address("log");
            let hosts = reader.services("hosts");
            let advice = reader.services("advice");
            let shards = reader.count("shards", SHARDS, SHARDS_RANGE);
            let processor = reader.cores("processor", PROCESSOR);
            let lease_max = reader.duration("lease_max", schedules.max_lease);
            let stop = reader.duration("stop", schedules.stop_timeout);
            let lease = reader.duration("holder_lease", upkeeps.lease);
            let maintenance = reader.duration("maintenance", upkeeps.upkeep);
            let instance = instance?;
            Some(Self {
                instance: instance.clone(),
                zone: zone?,
                listen: listen?,
                ready: ready?,
                admin: admin?,
                log: log?,
                hosts: hosts?.first().copied(),
                advice: advice?.first().copied(),
                shards: ids::Shard::try_from(shards?).ok()?,
                processor: processor?,
                sched: sched::Options {
                    node: instance,
                    max_lease: lease_max?,
                    stop_timeout: stop?,
                },
                upkeep: upkeep::Options {
                    lease: lease?,
                    upkeep: maintenance?,
                },
            })
        })
    }
}
