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
const SLACK_MS: u64 = 50;
/// Share by which a worker's clock may run slow: one in this many.
const SLOW_SHARE: u32 = 50;

/// Time since an answer in which a worker does not end, start again and finish a task.
const SAME_LIFE: Duration = Duration::from_secs(1);

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
pub(super) enum Look {
    /// None is planned.
    None,
    /// It is asked after a wait.
    Planned,
    /// It was asked.
    Sent,
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
    pub(super) listed: bool,
    /// Whether the list of hosts has named it.
    pub(super) hosted: bool,
    /// Whether its host has ended its life.
    pub(super) ended: bool,
    /// Whether it answered under the token of this term.
    pub(super) settled: bool,
    /// Time of its clock and when that was learned.
    pub(super) clock: Option<(u64, Instant)>,
    /// End of its lease on its own clock, as granted by this leader.
    pub(super) until: u64,
    /// Time since which runs may have the longest lease, as its end is not known on its clock.
    pub(super) unclocked: Option<Instant>,
    pub(super) look: Look,
    /// Questions in a row without an answer.
    pub(super) misses: u32,
    /// Time at which its lease was found to have ended without an answer.
    pub(super) lapsed: Option<Instant>,
    pub(super) runs: Map<Task, Run>,
    /// Highest end taken in.
    pub(super) seen: u64,
    /// Highest end that is recorded and may be acknowledged.
    pub(super) ack: u64,
    /// Highest end acknowledged in the latest question.
    pub(super) told: u64,
    /// Highest end acknowledged in an answered question.
    pub(super) acked: u64,
    /// Time of the latest answer.
    pub(super) heard: Option<Instant>,
    /// Failed runs in a row.
    pub(super) failures: u32,
    /// Time until which it gets no task after failures.
    pub(super) suspended: Option<Instant>,
    /// Whether it is to be freed of tasks.
    pub(super) vacating: bool,
    /// Whether the log was told that it is free.
    pub(super) vacated: bool,
    /// Time since which all that serve on it have been well under their targets.
    pub(super) calm: Option<Instant>,
}

impl Worker {
    pub(super) fn new(report: Report) -> Self {
        Self {
            report,
            listed: true,
            hosted: false,
            ended: false,
            settled: false,
            clock: None,
            until: 0,
            unclocked: None,
            look: Look::None,
            misses: 0,
            lapsed: None,
            runs: Map::default(),
            seen: 0,
            ack: 0,
            told: 0,
            acked: 0,
            heard: None,
            failures: 0,
            suspended: None,
            vacating: false,
            vacated: false,
            calm: None,
        }
    }

    /// Forgets what another life of the worker said.
    pub(super) fn renew(&mut self, born: u64) {
        self.report.started_at_ms = born;
        self.settled = false;
        self.clock = None;
        self.until = 0;
        self.seen = 0;
        self.ack = 0;
        self.told = 0;
        self.acked = 0;
        self.failures = 0;
        self.suspended = None;
    }

    /// Gets the end up to which the next question acknowledges: none while another life of the worker
    /// may answer, whose ends have the same numbers.
    pub(super) fn acknowledgement(&mut self, now: Instant) -> u64 {
        let recent = |heard| now.saturating_duration_since(heard) < SAME_LIFE;
        let same = self.misses == 0 && self.heard.is_some_and(recent);
        self.told = if same { self.ack } else { 0 };
        self.told
    }

    /// Notes the time of the worker's clock, which was read before now.
    pub(super) fn note_clock(&mut self, clock: u64, now: Instant) {
        // Answers on different connections overtake each other.
        if self.clock.is_none_or(|(known, _)| clock >= known) {
            self.clock = Some((clock, now));
        }
    }

    /// Gets a new end of the lease, nothing while the worker's clock is unknown.
    pub(super) fn grant(&mut self, now: Instant) -> Option<u64> {
        let (clock, at) = self.clock?;
        let elapsed = u64::try_from(now.saturating_duration_since(at).as_millis());
        let until = clock + elapsed.unwrap_or(0) + LEASE_MS;
        self.until = self.until.max(until);
        Some(until)
    }

    /// Checks if the lease has ended for sure, so that nothing runs there any more.
    ///
    /// `longest` is the longest lease that a worker accepts.
    pub(super) fn has_lapsed(&self, now: Instant, longest: Duration) -> bool {
        let Some((clock, at)) = self.clock else {
            // Without a clock no lease was given in this life, but an order for an earlier one may
            // have arrived.
            return self.unclocked.is_none_or(|since| {
                now.saturating_duration_since(since) > longest + longest / SLOW_SHARE
            });
        };
        let elapsed = now.saturating_duration_since(at).as_millis();
        let elapsed = u64::try_from(elapsed).unwrap_or(u64::MAX);
        let least = elapsed - elapsed / u64::from(SLOW_SHARE);
        clock + least > self.until + SLACK_MS
    }

    /// Gets the room that its runs take.
    pub(super) fn used(&self) -> Resources {
        let rooms = self.runs.values().map(|run| run.room);
        rooms.fold(Resources::default(), Resources::plus)
    }

    /// Gets the room that is free.
    pub(super) fn free(&self) -> Resources {
        self.report.capacity.minus(self.used())
    }

    /// Checks if new tasks may go to it.
    pub(super) fn is_usable(&self, now: Instant) -> bool {
        self.listed
            && !self.ended
            && self.settled
            && !self.report.is_draining
            && !self.vacating
            && self.misses == 0
            && self.clock.is_some()
            && self.suspended.is_none_or(|until| until <= now)
    }

    /// Checks if questions about its runs are of use.
    pub(super) fn wants_look(&self) -> bool {
        !self.ended && (!self.settled || !self.runs.is_empty() || self.acked < self.ack)
    }

    /// Gets its rack or kind labels.
    pub(super) fn has_label(&self, label: &ids::Label) -> bool {
        self.report.labels.contains(label)
    }
}
