use std::time::{Duration, Instant};

use bytestring::ByteString;

use super::event::RunStatus;
use super::worker::Resources;
use crate::ids;
use crate::job::Step;

/// `Stage` is where a run stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RunState {
    /// The start was sent and not answered yet.
    Starting,
    /// The worker runs it.
    Running,
    /// The start was not answered, or is to be undone: a stop is being sent.
    Stopping,
}

/// `Run` is one start of a task on a worker.
#[derive(Clone, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "two tell what the task is, three where its orders stand"
)]
pub(super) struct Run {
    pub(super) number: ids::Run,
    pub(super) state: RunState,
    pub(super) resources: Resources,
    /// Whether the scheduler still counts on it for its task.
    pub(super) is_wanted: bool,
    /// Time at which the start was sent, or at which it was found.
    pub(super) created_at: Instant,
    /// Time of the answer from which on the worker's list must have it.
    pub(super) confirmed_at: Option<Instant>,
    /// Whether a list of the worker's present life has had it.
    pub(super) has_been_listed: bool,
    /// Time at which the latest stop was sent.
    pub(super) stop_sent_at: Option<Instant>,
    /// Whether a stop is on its way.
    pub(super) is_stop_in_flight: bool,
    pub(super) is_long_running: bool,
    pub(super) is_best_effort: bool,
    /// Declared run time.
    pub(super) estimate: Duration,
    pub(super) percent: u32,
    /// Time at which the percentage last changed.
    pub(super) progressed_at: Instant,
    /// Latest figure of the worker's list.
    pub(super) measurement: u64,
    /// Response time in milliseconds that it owes its users.
    pub(super) latency_target_ms: Option<u64>,
    /// Share of its work that it is let do.
    pub(super) pace_percent: u32,
    pub(super) checkpoint: ByteString,
}

impl Run {
    pub(super) fn new(number: ids::Run, room: Resources, now: Instant) -> Self {
        Self {
            number,
            state: RunState::Starting,
            resources: room,
            is_wanted: true,
            created_at: now,
            confirmed_at: None,
            has_been_listed: false,
            stop_sent_at: None,
            is_stop_in_flight: false,
            is_long_running: false,
            is_best_effort: false,
            estimate: Duration::ZERO,
            percent: 0,
            progressed_at: now,
            measurement: 0,
            latency_target_ms: None,
            pace_percent: 100,
            checkpoint: ByteString::new(),
        }
    }

    /// Notes what the step says of its tasks.
    pub(super) fn apply_step(&mut self, step: &Step) {
        self.is_long_running = step.is_long_running;
        self.is_best_effort = step.is_best_effort;
        let millis = |target: Duration| u64::try_from(target.as_millis()).unwrap_or(u64::MAX);
        self.latency_target_ms = step.latency_target.map(millis);
        self.estimate = step.estimate;
    }

    /// Notes what the worker's list says of it.
    pub(super) fn apply_status(&mut self, row: &RunStatus, now: Instant) {
        self.has_been_listed = true;
        if self.percent != row.percent {
            self.percent = row.percent;
            self.progressed_at = now;
        }
        self.measurement = row.measurement;
        if !row.checkpoint.is_empty() {
            self.checkpoint = row.checkpoint.clone();
        }
    }
}
