//! Settings of the gateway daemon.

use std::net::SocketAddr;
use std::time::Duration;

use super::reader::Reader;
use crate::errors::{Error, Result};
use crate::journal::Limits;
use crate::{ids, sched, upkeep};

/// Default number of shards of the fleet.
const DEFAULT_SHARD_COUNT: usize = 24;
/// Default processor time of the host, in thousandths of a core.
const DEFAULT_CPU_MILLICORES: u32 = 1_000;
/// Accepted numbers of shards.
const SHARD_COUNT_RANGE: std::ops::RangeInclusive<usize> = 2..=1_024;

/// Default number of descriptors that a process may have open.
const DEFAULT_MAX_DESCRIPTORS: usize = 4_096;
/// Accepted numbers of descriptors.
const DESCRIPTORS_RANGE: std::ops::RangeInclusive<usize> = 256..=1_048_576;
/// Default age of the latest read of operators' records from which on a configuration with accounts is not used: the
/// shortest time in which platforms ask for a change to be in force everywhere.
const DEFAULT_CONFIG_MAX_AGE: Duration = Duration::from_secs(2);
/// Accepted values of that age. It takes several reads, of which one may get no answer.
const CONFIG_MAX_AGE_RANGE: std::ops::RangeInclusive<Duration> =
    Duration::from_millis(200)..=Duration::from_hours(1);
/// Accepted limits of the size of a record, in bytes.
const RECORD_BYTES_RANGE: std::ops::RangeInclusive<usize> = 1_024..=64 * 1_024 * 1_024;
/// Accepted limits of the size of an append, in bytes.
const APPEND_BYTES_RANGE: std::ops::RangeInclusive<usize> = 1_024..=1_024 * 1_024 * 1_024;

/// `Gateway` holds the settings of the gateway daemon.
#[derive(Clone, Debug)]
pub struct Gateway {
    /// Name of the process.
    pub instance: ids::Instance,
    /// Availability zone that it runs in.
    pub zone: ids::Zone,
    /// Address at which the gateway listens for callers.
    pub listen_address: SocketAddr,
    /// Address at which the load balancer checks readiness.
    pub readiness_address: SocketAddr,
    /// Address at which metrics and dumps are served.
    pub admin_address: SocketAddr,
    /// Address of the log.
    pub log_address: SocketAddr,
    /// Largest records and appends that the log takes.
    pub log_limits: Limits,
    /// Address of the host service, the first of the `hosts` setting; `None` if it is not used.
    pub host_service: Option<SocketAddr>,
    /// Address of the policy service, the first of the `advice` setting; `None` if it is not used.
    pub policy_service: Option<SocketAddr>,
    /// Number of shards of the fleet, which must be the same in every process.
    pub shard_count: ids::Shard,
    /// Processor time of the host, in thousandths of a core.
    pub cpu_millicores: u32,
    /// Maximum number of descriptors that the process may have open.
    pub max_descriptors: usize,
    /// Age of the latest complete read of operators' records from which on a configuration with accounts is not used.
    pub config_max_age: Duration,
    /// Options of the schedulers.
    pub sched: sched::Options,
    /// Options of the maintenance planner.
    pub upkeep: upkeep::Options,
}

impl TryFrom<&str> for Gateway {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self> {
        super::parse(text, |reader: &mut Reader<'_>| {
            let (sched_defaults, upkeep_defaults) =
                (sched::Options::default(), upkeep::Options::default());
            let instance = reader.read_name("instance");
            let zone = reader.read_name("zone");
            let listen_address = reader.read_listen_address("listen");
            let readiness_address = reader.read_listen_address("ready");
            let admin_address = reader.read_listen_address("admin");
            let log_address = reader.read_address("log");
            let limits = Limits::default();
            let record_bytes =
                reader.read_count("record_bytes", limits.record_bytes, RECORD_BYTES_RANGE);
            let append_bytes =
                reader.read_count("append_bytes", limits.append_bytes, APPEND_BYTES_RANGE);
            let host_services = reader.read_service_addresses("hosts");
            let policy_services = reader.read_service_addresses("advice");
            let shard_count = reader.read_count("shards", DEFAULT_SHARD_COUNT, SHARD_COUNT_RANGE);
            let cpu_millicores = reader.read_cores("processor", DEFAULT_CPU_MILLICORES);
            let max_descriptors =
                reader.read_count("descriptors", DEFAULT_MAX_DESCRIPTORS, DESCRIPTORS_RANGE);
            let config_max_age = reader.read_duration_within(
                "config_max_age",
                DEFAULT_CONFIG_MAX_AGE,
                CONFIG_MAX_AGE_RANGE,
            );
            let max_lease = reader.read_duration("lease_max", sched_defaults.max_lease);
            let stop_timeout = reader.read_duration("stop", sched_defaults.stop_timeout);
            let remote_slowdown =
                reader.read_factor("remote_slowdown", sched_defaults.remote_slowdown);
            let holder_lease = reader.read_duration("holder_lease", upkeep_defaults.lease);
            let maintenance_time =
                reader.read_duration("maintenance", upkeep_defaults.maintenance_time);
            let instance = instance?;
            Some(Self {
                instance: instance.clone(),
                zone: zone?,
                listen_address: listen_address?,
                readiness_address: readiness_address?,
                admin_address: admin_address?,
                log_address: log_address?,
                log_limits: Limits {
                    record_bytes: record_bytes?,
                    append_bytes: append_bytes?,
                },
                host_service: host_services?.first().copied(),
                policy_service: policy_services?.first().copied(),
                shard_count: ids::Shard::try_from(shard_count?).ok()?,
                cpu_millicores: cpu_millicores?,
                max_descriptors: max_descriptors?,
                config_max_age: config_max_age?,
                sched: sched::Options {
                    node: instance,
                    max_lease: max_lease?,
                    stop_timeout: stop_timeout?,
                    remote_slowdown: remote_slowdown?,
                },
                upkeep: upkeep::Options {
                    lease: holder_lease?,
                    maintenance_time: maintenance_time?,
                },
            })
        })
    }
}
