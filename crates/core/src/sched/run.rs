use std::time::{Duration, Instant};

use bytestring::ByteString;

use super::event::RunStatus;
use super::worker::Resources;
use crate::ids;
use crate::job::Step;

/// `Stage` is where a run stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
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
    pub(super) stage: Stage,
    pub(super) room: Resources,
    /// Whether the scheduler still counts on it for its task.
    pub(super) wanted: bool,
    /// Time at which the start was sent, or at which it was found.
    pub(super) since: Instant,
    /// Time of the answer from which on the worker's list must have it.
    pub(super) known: Option<Instant>,
    /// Whether a list of the worker's present life has had it.
    pub(super) listed: bool,
    /// Time at which the latest stop was sent.
    pub(super) stop_sent: Option<Instant>,
    /// Whether a stop is on its way.
    pub(super) stop_pending: bool,
    pub(super) lasting: bool,
    pub(super) fills: bool,
    /// Declared run time.
    pub(super) estimate: Duration,
    pub(super) percent: u32,
    /// Time at which the percentage last changed.
    pub(super) moved: Instant,
    /// Latest figure of the worker's list.
    pub(super) figure: u64,
    /// Response time in milliseconds that it owes its users.
    pub(super) target: Option<u64>,
    /// Share of its work that it is let do.
    pub(super) pace: u32,
    pub(super) saved: ByteString,
}

impl Run {
    pub(super) fn new(number: ids::Run, room: Resources, now: Instant) -> Self {
        Self {
            number,
            stage: Stage::Starting,
            room,
            wanted: true,
            since: now,
            known: None,
            listed: false,
            stop_sent: None,
            stop_pending: false,
            lasting: false,
            fills: false,
            estimate: Duration::ZERO,
            percent: 0,
            moved: now,
            figure: 0,
            target: None,
            pace: 100,
            saved: ByteString::new(),
        }
    }

    /// Notes what the step says of its tasks.
    pub(super) fn describe(&mut self, step: &Step) {
        self.lasting = step.is_long_running;
        self.fills = step.is_best_effort;
        let millis = |target: Duration| u64::try_from(target.as_millis()).unwrap_or(u64::MAX);
        self.target = step.latency_target.map(millis);
        self.estimate = step.estimate;
    }

    /// Notes what the worker's list says of it.
    pub(super) fn observe(&mut self, row: &RunStatus, now: Instant) {
        self.listed = true;
        if self.percent != row.percent {
            self.percent = row.percent;
            self.moved = now;
        }
        self.figure = row.measurement;
        if !row.checkpoint.is_empty() {
            self.saved = row.checkpoint.clone();
        }
    }
}
