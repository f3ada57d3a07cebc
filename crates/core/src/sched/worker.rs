use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::event::Report;
use super::run::Run;
use crate::ids;
use crate::job::{Step, Task};
use crate::map::Map;

/// Lease of a worker beyond its clock, in milliseconds: three holds, so that two may be lost.
pub(super) const LEASE_MS: u64 = 2_800;
/// Slack for a worker's clock, in milliseconds: the resolution of its times and of a late timer.
const CLOCK_SLACK_MS: u64 = 50;
/// Share by which a worker's clock may run slow: one in this many.
const MAX_CLOCK_LAG_DIVISOR: u32 = 50;

/// Time since an answer in which a worker does not end, start again and finish a task.
const MIN_RESTART_TIME: Duration = Duration::from_secs(1);

/// `Room` is processor time, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    #[serde(rename = "cpu")]
    pub cpu_millicores: u64,
    /// Memory, in MB.
    #[serde(rename = "memory")]
    pub memory_mb: u64,
    /// Accelerators.
    #[serde(rename = "gpu")]
    pub gpus: u64,
}

impl Resources {
    /// Gets the room that a task of a step takes.
    #[must_use]
    pub fn reserved_by(step: &Step) -> Self {
        Self {
            // A task that fills uses only what the others leave.
            cpu_millicores: if step.is_best_effort {
                0
            } else {
                step.cpu_millicores
            },
            memory_mb: step.memory_mb,
            gpus: step.gpus,
        }
    }

    /// Checks if another room fits inside.
    #[must_use]
    pub fn covers(&self, other: Self) -> bool {
        self.cpu_millicores >= other.cpu_millicores
            && self.memory_mb >= other.memory_mb
            && self.gpus >= other.gpus
    }

    pub(super) fn plus(self, other: Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores + other.cpu_millicores,
            memory_mb: self.memory_mb + other.memory_mb,
            gpus: self.gpus + other.gpus,
        }
    }

    pub(super) fn minus(self, other: Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_sub(other.cpu_millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }
}

/// `Look` is where the next question about a worker's runs stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PollState {
    /// None is planned.
    Idle,
    /// It is asked after a wait.
    Scheduled,
    /// It was asked.
    InFlight,
}

/// `Worker` is a worker as the leader knows it.
#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the lists, the hosts and the operators each say something by themselves"
)]
pub(super) struct Worker {
    pub(super) report: Report,
    /// Whether the list has it.
    pub(super) is_listed: bool,
    /// Whether the list of hosts has named it.
    pub(super) seen_on_host: bool,
    /// Whether its host has ended its life.
    pub(super) has_terminated: bool,
    /// Whether it answered under the token of this term.
    pub(super) is_confirmed: bool,
    /// Time of its clock and when that was learned.
    pub(super) clock: Option<(u64, Instant)>,
    /// End of its lease on its own clock, as granted by this leader.
    pub(super) lease_expiry_ms: u64,
    /// Time since which runs may have the longest lease, as its end is not known on its clock.
    pub(super) clock_unknown_since: Option<Instant>,
    pub(super) poll: PollState,
    /// Questions in a row without an answer.
    pub(super) missed_polls: u32,
    /// Time at which its lease was found to have ended without an answer.
    pub(super) expired_at: Option<Instant>,
    pub(super) runs: Map<Task, Run>,
    /// Highest end taken in.
    pub(super) observed_through: u64,
    /// Highest end that is recorded and may be acknowledged.
    pub(super) recorded_through: u64,
    /// Highest end acknowledged in the latest question.
    pub(super) sent_acknowledgement: u64,
    /// Highest end acknowledged in an answered question.
    pub(super) acknowledged_through: u64,
    /// Time of the latest answer.
    pub(super) answered_at: Option<Instant>,
    /// Failed runs in a row.
    pub(super) consecutive_failures: u32,
    /// Time until which it gets no task after failures.
    pub(super) suspended_until: Option<Instant>,
    /// Whether it is to be freed of tasks.
    pub(super) is_draining: bool,
    /// Whether the log was told that it is free.
    pub(super) has_reported_drained: bool,
    /// Time since which all that serve on it have been well under their targets.
    pub(super) calm_since: Option<Instant>,
}

impl Worker {
    pub(super) fn new(report: Report) -> Self {
        Self {
            report,
            is_listed: true,
            seen_on_host: false,
            has_terminated: false,
            is_confirmed: false,
            clock: None,
            lease_expiry_ms: 0,
            clock_unknown_since: None,
            poll: PollState::Idle,
            missed_polls: 0,
            expired_at: None,
            runs: Map::default(),
            observed_through: 0,
            recorded_through: 0,
            sent_acknowledgement: 0,
            acknowledged_through: 0,
            answered_at: None,
            consecutive_failures: 0,
            suspended_until: None,
            is_draining: false,
            has_reported_drained: false,
            calm_since: None,
        }
    }

    /// Forgets what another life of the worker said.
    pub(super) fn reset(&mut self, born: u64) {
        self.report.started_at_ms = born;
        self.is_confirmed = false;
        self.clock = None;
        self.lease_expiry_ms = 0;
        self.observed_through = 0;
        self.recorded_through = 0;
        self.sent_acknowledgement = 0;
        self.acknowledged_through = 0;
        self.consecutive_failures = 0;
        self.suspended_until = None;
    }

    /// Gets the end up to which the next question acknowledges: none while another life of the worker
    /// may answer, whose ends have the same numbers.
    pub(super) fn next_acknowledgement(&mut self, now: Instant) -> u64 {
        let recent = |heard| now.saturating_duration_since(heard) < MIN_RESTART_TIME;
        let same = self.missed_polls == 0 && self.answered_at.is_some_and(recent);
        self.sent_acknowledgement = if same { self.recorded_through } else { 0 };
        self.sent_acknowledgement
    }

    /// Notes the time of the worker's clock, which was read before now.
    pub(super) fn record_clock(&mut self, clock: u64, now: Instant) {
        // Answers on different connections overtake each other.
        if self.clock.is_none_or(|(known, _)| clock >= known) {
            self.clock = Some((clock, now));
        }
    }

    /// Gets a new end of the lease, nothing while the worker's clock is unknown.
    pub(super) fn extend_lease(&mut self, now: Instant) -> Option<u64> {
        let (clock, at) = self.clock?;
        let elapsed = u64::try_from(now.saturating_duration_since(at).as_millis());
        let until = clock + elapsed.unwrap_or(0) + LEASE_MS;
        self.lease_expiry_ms = self.lease_expiry_ms.max(until);
        Some(until)
    }

    /// Checks if the lease has ended for sure, so that nothing runs there any more.
    ///
    /// `longest` is the longest lease that a worker accepts.
    pub(super) fn has_lease_expired(&self, now: Instant, longest: Duration) -> bool {
        let Some((clock, at)) = self.clock else {
            // Without a clock no lease was given in this life, but an order for an earlier one may
            // have arrived.
            return self.clock_unknown_since.is_none_or(|since| {
                now.saturating_duration_since(since) > longest + longest / MAX_CLOCK_LAG_DIVISOR
            });
        };
        let elapsed = now.saturating_duration_since(at).as_millis();
        let elapsed = u64::try_from(elapsed).unwrap_or(u64::MAX);
        let least = elapsed - elapsed / u64::from(MAX_CLOCK_LAG_DIVISOR);
        clock + least > self.lease_expiry_ms + CLOCK_SLACK_MS
    }

    /// Gets the room that its runs take.
    pub(super) fn used_resources(&self) -> Resources {
        let rooms = self.runs.values().map(|run| run.resources);
        rooms.fold(Resources::default(), Resources::plus)
    }

    /// Gets the room that is free.
    pub(super) fn free_resources(&self) -> Resources {
        self.report.capacity.minus(self.used_resources())
    }

    /// Checks if new tasks may go to it.
    pub(super) fn accepts_tasks(&self, now: Instant) -> bool {
        self.is_listed
            && !self.has_terminated
            && self.is_confirmed
            && !self.report.is_draining
            && !self.is_draining
            && self.missed_polls == 0
            && self.clock.is_some()
            && self.suspended_until.is_none_or(|until| until <= now)
    }

    /// Checks if questions about its runs are of use.
    pub(super) fn needs_poll(&self) -> bool {
        !self.has_terminated
            && (!self.is_confirmed
                || !self.runs.is_empty()
                || self.acknowledged_through < self.recorded_through)
    }

    /// Gets its rack or kind labels.
    pub(super) fn has_label(&self, label: &ids::Label) -> bool {
        self.report.labels.contains(label)
    }
}
