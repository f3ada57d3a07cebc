use std::time::{Duration, Instant};

use bytestring::ByteString;

use super::event::{Command, Status};
use super::worker::Resources;
use crate::ids;
use crate::job::Step;
use crate::limit::Amount;

/// `Phase` is the state of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// The start was sent and has not been answered yet.
    Starting,
    /// The worker runs it.
    Running,
    /// A stop is being sent, as the start had no answer or the run is to end.
    Stopping,
}

/// `Owner` is the client account that a run counts for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Owner {
    /// The job is not known, so that it may belong to any account.
    Unknown,
    /// The job belongs to no account.
    Nobody,
    /// The job belongs to an account.
    Account(ids::Account),
}

/// Returns what a task of a step counts for the limit of its account. Unlike on its worker, the processor time of a
/// best-effort task counts.
pub(super) fn charge(step: &Step) -> Amount {
    Amount {
        cpu_millicores: step.cpu_millicores,
        memory_mb: step.memory_mb,
        gpus: step.gpus,
    }
}

/// `Run` is the leader's state of one start of a task on a worker.
#[derive(Clone, Debug)]
#[expect(clippy::struct_excessive_bools, reason = "each flag is independent")]
pub(super) struct Run {
    pub(super) number: ids::Run,
    pub(super) state: Phase,
    pub(super) resources: Resources,
    pub(super) owner: Owner,
    /// What it counts for the limit of its account.
    pub(super) charge: Amount,
    /// Whether its task is placed on it; a run without an assigned task is stopped.
    pub(super) is_assigned: bool,
    /// Time at which the start was sent, or at which the run was found on the worker.
    pub(super) created_at: Instant,
    /// Time until which a stop that an older leader sent may be in progress.
    pub(super) may_stop_until: Option<Instant>,
    /// Start of a long-running task, which is sent again until its outcome is known.
    pub(super) start: Option<Command>,
    /// Whether a start is in flight.
    pub(super) is_start_in_flight: bool,
    /// Whether a start went unanswered, so that the worker may still carry it out.
    pub(super) has_unanswered_start: bool,
    /// Time of the answer after which the worker's inventory must contain it.
    pub(super) confirmed_at: Option<Instant>,
    /// Whether an inventory of the worker's present incarnation has contained it.
    pub(super) has_been_in_inventory: bool,
    /// Time at which the latest stop was sent.
    pub(super) stop_sent_at: Option<Instant>,
    /// Whether a stop is in flight.
    pub(super) is_stop_in_flight: bool,
    pub(super) is_long_running: bool,
    pub(super) is_best_effort: bool,
    /// Declared run time of the task.
    pub(super) estimate: Duration,
    pub(super) percent: u32,
    /// Time at which the percentage last changed.
    pub(super) progressed_at: Instant,
    /// Measurement in the worker's latest inventory.
    pub(super) measurement: u64,
    /// Target for its response time, in milliseconds.
    pub(super) latency_target_ms: Option<u64>,
    /// Share of its full rate that it may use, in percent.
    pub(super) pace_percent: u32,
    pub(super) checkpoint: ByteString,
    /// Number of workers that had crashed under its task before.
    pub(super) crashes: usize,
}

impl Run {
    pub(super) fn new(number: ids::Run, resources: Resources, now: Instant) -> Self {
        Self {
            number,
            state: Phase::Starting,
            resources,
            owner: Owner::Unknown,
            charge: resources.into(),
            is_assigned: true,
            created_at: now,
            may_stop_until: None,
            start: None,
            is_start_in_flight: false,
            has_unanswered_start: false,
            confirmed_at: None,
            has_been_in_inventory: false,
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
            crashes: 0,
        }
    }

    /// Records the account of its job, if it has one.
    pub(super) fn set_account(&mut self, account: Option<&ids::Account>) {
        self.owner = account.map_or(Owner::Nobody, |account| Owner::Account(account.clone()));
    }

    /// Copies the properties that the step declares for its tasks.
    pub(super) fn apply_step(&mut self, step: &Step) {
        self.charge = charge(step);
        self.is_long_running = step.is_long_running;
        self.is_best_effort = step.is_best_effort;
        let millis = |target: Duration| u64::try_from(target.as_millis()).unwrap_or(u64::MAX);
        self.latency_target_ms = step.latency_target.map(millis);
        self.estimate = step.run_time();
    }

    /// Updates the run from the worker's inventory.
    pub(super) fn apply_status(&mut self, status: &Status, now: Instant) {
        self.has_been_in_inventory = true;
        if self.percent != status.percent {
            self.percent = status.percent;
            self.progressed_at = now;
        }
        self.measurement = status.measurement;
        if !status.checkpoint.is_empty() {
            self.checkpoint = status.checkpoint.clone();
        }
    }
}
