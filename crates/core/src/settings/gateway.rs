//! Settings of the gateway daemon.

use std::net::SocketAddr;
use std::time::Duration;

use super::reader::Reader;
use crate::errors::{Error, Result};
use crate::journal::Limits;
use crate::{admission, ids, sched, upkeep};

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
/// Default memory of the host, in bytes.
const DEFAULT_MEMORY_BYTES: usize = 256 * 1_024 * 1_024;
/// Accepted memory of the host, in bytes. A process without clients takes up to 32 MiB.
const MEMORY_BYTES_RANGE: std::ops::RangeInclusive<usize> =
    64 * 1_024 * 1_024..=1_024 * 1_024 * 1_024 * 1_024;
/// Accepted numbers of connections of callers.
const CONNECTIONS_RANGE: std::ops::RangeInclusive<usize> = 8..=65_536;
/// Accepted limits of the head of a request, in bytes. The HTTP library ends larger heads.
const HEAD_BYTES_RANGE: std::ops::RangeInclusive<usize> = 1_024..=128 * 1_024;
/// Accepted limits of the body of a request, in bytes.
const BODY_BYTES_RANGE: std::ops::RangeInclusive<usize> = 1_024..=64 * 1_024 * 1_024;
/// Accepted limits of all large bodies of unfinished requests, in bytes.
const TOTAL_BODY_BYTES_RANGE: std::ops::RangeInclusive<usize> = 64 * 1_024..=1_024 * 1_024 * 1_024;
/// Accepted time limits of clients. Shorter ones end before a packet that was lost arrives again.
const CLIENT_TIMEOUT_RANGE: std::ops::RangeInclusive<Duration> =
    Duration::from_secs(1)..=Duration::from_mins(10);
/// Accepted times without progress after which a body gives its room to another one.
const STALL_RANGE: std::ops::RangeInclusive<Duration> =
    Duration::from_millis(50)..=Duration::from_secs(10);
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
    /// Limits of what the process holds for callers.
    pub limits: admission::Limits,
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
            let memory_bytes = reader.read_size("memory", DEFAULT_MEMORY_BYTES, MEMORY_BYTES_RANGE);
            let limits = read_limits(reader, memory_bytes, max_descriptors);
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
                limits: limits?,
                config_max_age: config_max_age?,
                sched: sched::Options {
                    // Each shard sets its own number.
                    shard: 0,
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

/// Reads the limits of what the process holds for callers; the defaults follow from its memory and descriptors.
fn read_limits(
    reader: &mut Reader<'_>,
    memory_bytes: Option<usize>,
    max_descriptors: Option<usize>,
) -> Option<admission::Limits> {
    let memory_bytes = memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES);
    let max_descriptors = max_descriptors.unwrap_or(DEFAULT_MAX_DESCRIPTORS);
    let head_bytes = reader.read_size("head_max", admission::HEAD_BYTES, HEAD_BYTES_RANGE);
    let head_max = head_bytes.unwrap_or(admission::HEAD_BYTES);
    let defaults = admission::Limits::for_callers(memory_bytes, max_descriptors, head_max);
    let connections = reader.read_count("connections", defaults.connections, CONNECTIONS_RANGE);
    let body_bytes = reader.read_size("body_max", defaults.body_bytes, BODY_BYTES_RANGE);
    let total_body_bytes =
        reader.read_size("bodies", defaults.total_body_bytes, TOTAL_BODY_BYTES_RANGE);
    let head_timeout =
        reader.read_duration_within("head_time", defaults.head_timeout, CLIENT_TIMEOUT_RANGE);
    let body_timeout =
        reader.read_duration_within("body_time", defaults.body_timeout, CLIENT_TIMEOUT_RANGE);
    let answer_timeout =
        reader.read_duration_within("answer_time", defaults.answer_timeout, CLIENT_TIMEOUT_RANGE);
    let idle_timeout =
        reader.read_duration_within("idle_time", defaults.idle_timeout, CLIENT_TIMEOUT_RANGE);
    let stall = reader.read_duration_within("stall", defaults.stall, STALL_RANGE);
    let limits = admission::Limits {
        connections: connections?,
        head_bytes: head_bytes?,
        body_bytes: body_bytes?,
        total_body_bytes: total_body_bytes?,
        head_timeout: head_timeout?,
        body_timeout: body_timeout?,
        answer_timeout: answer_timeout?,
        idle_timeout: idle_timeout?,
        stall: stall?,
    };
    if limits.body_bytes > limits.total_body_bytes {
        let accepted = "at least as much as body_max";
        reader.add_finding("bodies", "one body does not fit", accepted);
        return None;
    }
    if limits.connections > max_descriptors / 4 {
        let accepted = "at most a quarter of descriptors";
        reader.add_finding("connections", "there are too few descriptors", accepted);
        return None;
    }
    Some(limits)
}
