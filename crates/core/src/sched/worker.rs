use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::event::Report;
use super::run::Run;
use crate::ids;
use crate::job::{Step, Task};
use crate::map::Map;

/// Lease duration of a worker in milliseconds: three polls, so that two may be lost.
pub(super) const LEASE_MS: u64 = 2_800;
/// Tolerance for a worker's clock in milliseconds: its resolution and the delay of its timers.
const CLOCK_SLACK_MS: u64 = 50;
/// Divisor that gives the share by which a worker's clock may run slow: 1/50 is 2 %.
const MAX_CLOCK_LAG_DIVISOR: u32 = 50;

/// Shortest time in which a worker can terminate, restart and finish a task. An answer that is more
/// recent comes from the present incarnation.
const MIN_RESTART_TIME: Duration = Duration::from_secs(1);

/// `Resources` is an amount of processor time, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resources {
    /// Processor time, in millicores.
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
    /// Returns the resources that a task of a step reserves.
    #[must_use]
    pub fn reserved_by(step: &Step) -> Self {
        Self {
            // A best-effort task uses only the processor time that others leave.
            cpu_millicores: if step.is_best_effort {
                0
            } else {
                step.cpu_millicores
            },
            memory_mb: step.memory_mb,
            gpus: step.gpus,
        }
    }

    /// Checks if `other` fits into these resources.
    #[must_use]
    pub fn covers(&self, other: Self) -> bool {
        self.cpu_millicores >= other.cpu_millicores
            && self.memory_mb >= other.memory_mb
            && self.gpus >= other.gpus
    }

    /// Returns the larger amount of each resource.
    pub(super) fn largest(self, other: Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.max(other.cpu_millicores),
            memory_mb: self.memory_mb.max(other.memory_mb),
            gpus: self.gpus.max(other.gpus),
        }
    }

    pub(super) fn plus(self, other: Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_add(other.cpu_millicores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            gpus: self.gpus.saturating_add(other.gpus),
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

/// `Polling` is the state of the polling of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Polling {
    /// No poll is scheduled.
    Idle,
    /// The next poll follows after a delay.
    Scheduled,
    /// A poll is in flight.
    InFlight,
}

/// `Worker` is the leader's state of a worker.
#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the worker and host lists and the drain requests are independent"
)]
pub(super) struct Worker {
    pub(super) report: Report,
    /// Time at which the leader learned of its incarnation.
    pub(super) incarnation_known_at: Instant,
    /// Whether the worker list contains it.
    pub(super) is_listed: bool,
    /// Whether the host list has contained it.
    pub(super) was_seen_on_host: bool,
    /// Consecutive host lists that did not contain it.
    pub(super) host_lists_without: u32,
    /// Whether its host runs it no longer, so that it never comes back.
    pub(super) has_terminated: bool,
    /// Whether it has answered a poll under the term of this leader.
    pub(super) is_confirmed: bool,
    /// Latest time of its clock in milliseconds, and when it was received.
    pub(super) clock: Option<(u64, Instant)>,
    /// Lease expiry on its own clock in milliseconds, as granted by this leader.
    pub(super) lease_expiry_ms: u64,
    /// Time since which runs may hold a lease of the longest duration, as the expiry on the
    /// worker's clock is unknown.
    pub(super) clock_unknown_since: Option<Instant>,
    pub(super) poll_state: Polling,
    /// Consecutive polls without an answer.
    pub(super) missed_polls: u32,
    /// Time at which its lease was found expired while polls went unanswered.
    pub(super) expired_at: Option<Instant>,
    pub(super) runs: Map<Task, Run>,
    /// Highest sequence number of an exit that was processed.
    pub(super) observed_through: u64,
    /// Highest sequence number of an exit that the log holds, so that it may be acknowledged.
    pub(super) recorded_through: u64,
    /// Sequence number acknowledged in the latest poll.
    pub(super) sent_acknowledgement: u64,
    /// Highest sequence number acknowledged in a poll that was answered.
    pub(super) acknowledged_through: u64,
    /// Time of the latest answer to a poll.
    pub(super) answered_at: Option<Instant>,
    /// Consecutive failed runs.
    pub(super) consecutive_failures: u32,
    /// Time until which no task is placed on it, after failures or a refused start.
    pub(super) suspended_until: Option<Instant>,
    /// Whether it has a drain request.
    pub(super) is_draining: bool,
    /// Whether the record that it is drained was queued for the log.
    pub(super) has_reported_drained: bool,
    /// Time since which all of its tasks with a latency target have been well below it.
    pub(super) headroom_since: Option<Instant>,
}

impl Worker {
    pub(super) fn new(report: Report, now: Instant) -> Self {
        Self {
            report,
            incarnation_known_at: now,
            is_listed: true,
            was_seen_on_host: false,
            host_lists_without: 0,
            has_terminated: false,
            is_confirmed: false,
            clock: None,
            lease_expiry_ms: 0,
            clock_unknown_since: None,
            poll_state: Polling::Idle,
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
            headroom_since: None,
        }
    }

    /// Resets everything that an earlier incarnation of the worker reported.
    pub(super) fn reset(&mut self, now: Instant, started_at_ms: u64) {
        self.report.started_at_ms = started_at_ms;
        self.incarnation_known_at = now;
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

    /// Returns the sequence number that the next poll acknowledges: 0 while another incarnation of
    /// the worker may answer, since its exits have the same numbers.
    pub(super) fn next_acknowledgement(&mut self, now: Instant) -> u64 {
        let is_recent = |answered_at| now.saturating_duration_since(answered_at) < MIN_RESTART_TIME;
        let is_same_incarnation = self.missed_polls == 0 && self.answered_at.is_some_and(is_recent);
        self.sent_acknowledgement = if is_same_incarnation {
            self.recorded_through
        } else {
            0
        };
        self.sent_acknowledgement
    }

    /// Records the time of the worker's clock, which was read before `now`.
    pub(super) fn record_clock(&mut self, clock: u64, now: Instant) {
        // Answers on different connections can arrive out of order.
        if self.clock.is_none_or(|(known, _)| clock >= known) {
            self.clock = Some((clock, now));
        }
    }

    /// Extends the lease and returns its expiry on the worker's clock in milliseconds, or
    /// `None` while that clock is unknown.
    pub(super) fn extend_lease(&mut self, now: Instant) -> Option<u64> {
        let (clock, at) = self.clock?;
        let elapsed = u64::try_from(now.saturating_duration_since(at).as_millis());
        let lease_expiry_ms = clock
            .saturating_add(elapsed.unwrap_or(0))
            .saturating_add(LEASE_MS);
        self.lease_expiry_ms = self.lease_expiry_ms.max(lease_expiry_ms);
        Some(lease_expiry_ms)
    }

    /// Checks if the lease has expired even on the slowest clock allowed, so that no task runs
    /// on the worker any more.
    ///
    /// `max_lease` is the longest lease that a worker accepts.
    pub(super) fn has_lease_expired(&self, now: Instant, max_lease: Duration) -> bool {
        let Some((clock, at)) = self.clock else {
            // Without a clock no lease was granted to this incarnation, but a command meant for an
            // earlier one may have arrived.
            return self.clock_unknown_since.is_none_or(|since| {
                now.saturating_duration_since(since) > max_lease + max_lease / MAX_CLOCK_LAG_DIVISOR
            });
        };
        let elapsed = now.saturating_duration_since(at).as_millis();
        let elapsed = u64::try_from(elapsed).unwrap_or(u64::MAX);
        let min_elapsed = elapsed - elapsed / u64::from(MAX_CLOCK_LAG_DIVISOR);
        clock.saturating_add(min_elapsed) > self.lease_expiry_ms.saturating_add(CLOCK_SLACK_MS)
    }

    /// Returns the resources that its runs reserve.
    pub(super) fn used_resources(&self) -> Resources {
        let resources = self.runs.values().map(|run| run.resources);
        resources.fold(Resources::default(), Resources::plus)
    }

    /// Returns the resources that no run reserves.
    pub(super) fn free_resources(&self) -> Resources {
        self.report.capacity.minus(self.used_resources())
    }

    /// Checks if it stays in its pool, so that its capacity is room for tasks.
    pub(super) fn is_staying(&self) -> bool {
        self.is_listed && !self.has_terminated && !self.report.is_shutting_down && !self.is_draining
    }

    /// Checks if new tasks may be placed on it.
    pub(super) fn accepts_tasks(&self, now: Instant) -> bool {
        self.is_listed
            && !self.has_terminated
            && self.is_confirmed
            && !self.report.is_shutting_down
            && !self.is_draining
            && self.missed_polls == 0
            && self.clock.is_some()
            && self.suspended_until.is_none_or(|until| until <= now)
    }

    /// Checks if a poll is needed: for a first answer, to learn that it is reachable again, for the
    /// state of runs, or to acknowledge exits.
    pub(super) fn needs_poll(&self) -> bool {
        !self.has_terminated
            && (!self.is_confirmed
                || self.missed_polls > 0
                || !self.runs.is_empty()
                || self.acknowledged_through < self.recorded_through)
    }

    /// Returns the label of its rack: a report names the kind first.
    pub(super) fn rack(&self) -> Option<&ids::Label> {
        self.report.labels.last()
    }

    /// Checks if it has a label, which names its kind or its rack.
    pub(super) fn has_label(&self, label: &ids::Label) -> bool {
        self.report.labels.contains(label)
    }
}
