//! Settings of the entry daemon.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use super::Node;
use super::reader::Reader;
use crate::admission::Limits;
use crate::errors::{Error, Result};
use crate::gate::Options;

/// Default limit of the body of a request, in bytes.
const DEFAULT_BODY_MAX_BYTES: usize = 1024 * 1024;
/// Accepted limits of the body of a request, in bytes.
const BODY_MAX_BYTES_RANGE: RangeInclusive<usize> = 1024..=64 * 1024 * 1024;
/// Limit of the head of a request, in bytes: the longest target that the HTTP library reads, and some headers.
const HEAD_BYTES: usize = 72 * 1024;
/// Time after which an idle connection of a caller is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Default memory of the host, in bytes.
const DEFAULT_MEMORY_BYTES: usize = 1024 * 1024 * 1024;
/// Accepted memory of the host, in bytes. A process without callers takes up to 32 MiB.
const MEMORY_BYTES_RANGE: RangeInclusive<usize> = 64 * 1024 * 1024..=1024 * 1024 * 1024 * 1024;
/// Default number of descriptors that the process may have open.
const DEFAULT_MAX_DESCRIPTORS: usize = 16_384;
/// Accepted numbers of descriptors.
const DESCRIPTORS_RANGE: RangeInclusive<usize> = 256..=1_048_576;
/// Default deadline of requests that carry none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
/// Accepted deadlines of requests that carry none.
const DEFAULT_DEADLINE_RANGE: RangeInclusive<Duration> =
    Duration::from_millis(10)..=Duration::from_mins(10);

/// `Entry` holds the settings of the entry daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Settings common to all daemons.
    pub node: Node,
    /// Address at which the daemon listens for callers.
    pub listen_address: SocketAddr,
    /// Largest body of a request or a response, in bytes.
    pub body_max_bytes: usize,
    /// Limits of what the process holds for callers.
    pub limits: Limits,
    /// Maximum number of descriptors that the process may have open.
    pub max_descriptors: usize,
    /// Deadline of requests that carry none, counted from their arrival.
    pub default_deadline: Duration,
    /// Options of the gate.
    pub gate: Options,
}

impl TryFrom<&str> for Entry {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self> {
        super::parse(text, |reader| {
            let node = Node::read(reader);
            let listen_address = reader.read_listen_address("listen");
            let body_max_bytes =
                reader.read_size("body_max", DEFAULT_BODY_MAX_BYTES, BODY_MAX_BYTES_RANGE);
            let memory_bytes = reader.read_size("memory", DEFAULT_MEMORY_BYTES, MEMORY_BYTES_RANGE);
            let max_descriptors =
                reader.read_count("descriptors", DEFAULT_MAX_DESCRIPTORS, DESCRIPTORS_RANGE);
            let limits = derive_limits(reader, memory_bytes, max_descriptors, body_max_bytes);
            let default_deadline =
                reader.read_duration_within("deadline", DEFAULT_DEADLINE, DEFAULT_DEADLINE_RANGE);
            let defaults = Options::default();
            let probe_after = reader.read_duration("probe_after", defaults.probe_delay);
            let slow_start = reader.read_duration("slow_start", defaults.slow_start);
            let node = node?;
            let gate = Options {
                probe_delay: probe_after?,
                slow_start: slow_start?,
                zone: node.zone.clone(),
                instance: node.instance.clone(),
                ..defaults
            };
            Some(Self {
                node,
                listen_address: listen_address?,
                body_max_bytes: body_max_bytes?,
                limits: limits?,
                max_descriptors: max_descriptors?,
                default_deadline: default_deadline?,
                gate,
            })
        })
    }
}

/// Derives the limits of what the process holds for callers; adds a finding if not even one body fits.
fn derive_limits(
    reader: &mut Reader<'_>,
    memory_bytes: Option<usize>,
    max_descriptors: Option<usize>,
    body_max_bytes: Option<usize>,
) -> Option<Limits> {
    let limits = Limits {
        body_bytes: body_max_bytes?,
        idle_timeout: IDLE_TIMEOUT,
        ..Limits::for_callers(memory_bytes?, max_descriptors?, HEAD_BYTES)
    };
    if limits.body_bytes > limits.total_body_bytes {
        let accepted = "at most a seventh of memory";
        reader.add_finding("body_max", "the memory is too small", accepted);
        return None;
    }
    Some(limits)
}
