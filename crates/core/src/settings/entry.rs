//! Settings of the entry daemon.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use super::Node;
use crate::errors::{Error, Result};
use crate::gate::Options;

/// Default limit of the body of a request, in bytes.
const DEFAULT_BODY_MAX_BYTES: usize = 1024 * 1024;
/// Accepted limits of the body of a request, in bytes.
const BODY_MAX_BYTES_RANGE: RangeInclusive<usize> = 1024..=64 * 1024 * 1024;
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
                default_deadline: default_deadline?,
                gate,
            })
        })
    }
}
