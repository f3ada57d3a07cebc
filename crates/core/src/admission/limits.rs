use std::time::Duration;

/// Part of the memory of a host that the connections of callers may take, and the part that their large bodies may take. The
/// state of the process needs the rest.
const MEMORY_DIVISOR: usize = 6;
/// Unit to which these parts are rounded down, in bytes.
const MEMORY_UNIT_BYTES: usize = 1024 * 1024;
/// Largest memory of a connection without a large body and without the buffer for a head, in bytes: chunks or requests that
/// arrived together, a small body, an answer, and tasks.
const CONNECTION_BYTES: usize = 32 * 1024;
/// Largest size of the buffer for a head, in sizes of a head: it doubles when it is full.
const HEAD_BUFFER_FACTOR: usize = 2;
/// Share of the descriptors of a process, in percent, for the connections of callers. Connections to the platform take 75,
/// files and pipes 5, and those that a server accepts above its limits a tenth of these.
const CALLERS_PERCENT: usize = 16;
/// Share of the descriptors of a process, in percent, for the connections of each other listener.
const OTHERS_PERCENT: usize = 1;
/// Smallest number of connections of a listener that is not for callers: some for each side that checks the process, and
/// some to spare.
const OTHERS_MIN: usize = 8;
/// Default limit of the head of a request, in bytes: what callers may send.
pub const HEAD_BYTES: usize = 16 * 1024;
/// Default limit of the body of a request, in bytes: twice what callers may send.
const BODY_BYTES: usize = 512 * 1024;
/// Default time limit for receiving the head of a request: longer than the 3 s that callers may take.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Default time limit for receiving the body of a request: longer than callers wait for an answer.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Default time limit for a client to read an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Default time after which an idle connection is closed: longer than the 15 s that callers may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Default time without progress after which a body gives its room to one that waits: many times what a client that sends
/// takes between two pieces.
const STALL: Duration = Duration::from_millis(250);

/// `Limits` bounds what a listener holds for its clients.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum size of the head of a request, in bytes.
    pub head_bytes: usize,
    /// Maximum size of the body of a request, in bytes.
    pub body_bytes: usize,
    /// Maximum size of all large bodies of unfinished requests, in bytes.
    pub total_body_bytes: usize,
    /// Time limit for receiving the head of a request.
    pub head_timeout: Duration,
    /// Time limit for receiving the body of a request, including the wait for room.
    pub body_timeout: Duration,
    /// Time limit for a client to read an answer.
    pub answer_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Time without progress after which a body gives its room to one that waits.
    pub stall: Duration,
}

impl Default for Limits {
    /// Returns limits for a few connections without large bodies.
    fn default() -> Self {
        Self {
            connections: OTHERS_MIN,
            head_bytes: HEAD_BYTES,
            body_bytes: BODY_BYTES,
            total_body_bytes: BODY_BYTES,
            head_timeout: HEAD_TIMEOUT,
            body_timeout: BODY_TIMEOUT,
            answer_timeout: ANSWER_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            stall: STALL,
        }
    }
}

impl Limits {
    /// Derives the limits of the listener for callers from the memory of the host, in bytes, from the number of descriptors
    /// that the process may have open, and from the limit of a head, in bytes.
    #[must_use]
    pub fn for_callers(memory_bytes: usize, max_descriptors: usize, head_bytes: usize) -> Self {
        let part_bytes = memory_bytes / MEMORY_DIVISOR / MEMORY_UNIT_BYTES * MEMORY_UNIT_BYTES;
        let by_memory = part_bytes / (CONNECTION_BYTES + HEAD_BUFFER_FACTOR * head_bytes);
        let by_descriptors = max_descriptors * CALLERS_PERCENT / 100;
        Self {
            connections: by_memory.min(by_descriptors),
            head_bytes,
            total_body_bytes: part_bytes,
            ..Self::default()
        }
    }

    /// Derives the limits of another listener from the number of descriptors that the process may have open.
    #[must_use]
    pub fn for_others(max_descriptors: usize) -> Self {
        Self {
            connections: OTHERS_MIN.max(max_descriptors * OTHERS_PERCENT / 100),
            ..Self::default()
        }
    }
}
