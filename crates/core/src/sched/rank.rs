use std::cmp::Ordering;
use std::time::{Duration, Instant};

use super::graph::{Graph, Stage};
use super::worker::Resources;
use crate::share::{LATE_FACTOR, Standing};

/// Share of its declared run time, in percent, that a task is expected to take. Declared run times
/// are only rough estimates.
const ESTIMATE_PERCENT: u32 = 100;
/// Overhead of each step beyond its tasks: an exit is reported and the next start is sent.
const STEP_OVERHEAD: Duration = Duration::from_millis(40);

/// `Rank` is the position of a job in the order in which tasks are started, the least first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Rank {
    tier: Tier,
    timeliness: Timeliness,
    /// Whether its account has its share of the pool without it.
    pub(super) exceeds_share: bool,
    priority: u32,
    deadline: Instant,
}

/// `Tier` is the most important part of the rank of a job.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Tier {
    /// It has long-running tasks: they are few, and each second without them counts.
    LongRunning,
    /// Its account is within its rate.
    WithinRate,
    /// Its account has sent more than its rate, so that it gets only room that is left.
    BeyondRate,
    /// Its result will have no value to its caller.
    Expired,
}

/// `Timeliness` is whether a job can still complete before its deadline.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Timeliness {
    OnTime,
    /// It is expected to complete after its deadline.
    Late,
    /// It is expected to complete so late that its result has no value to its caller.
    Expired,
}

impl Graph {
    /// Returns the rank of the job.
    pub(super) fn rank(&self, now: Instant, priority: u32) -> Rank {
        let is_long_running = self.job.steps.iter().any(|step| step.is_long_running);
        let timeliness = if is_long_running {
            Timeliness::OnTime
        } else {
            self.timeliness(now)
        };
        let tier = match timeliness {
            _ if is_long_running => Tier::LongRunning,
            Timeliness::Expired => Tier::Expired,
            _ if self.standing == Standing::BeyondRate => Tier::BeyondRate,
            Timeliness::OnTime | Timeliness::Late => Tier::WithinRate,
        };
        Rank {
            tier,
            timeliness,
            exceeds_share: false,
            priority,
            deadline: self.deadline,
        }
    }

    pub(super) fn timeliness(&self, now: Instant) -> Timeliness {
        if self.job.schedule.is_some() {
            return Timeliness::OnTime;
        }
        let expected_end = now + self.remaining_time();
        if expected_end <= self.deadline {
            return Timeliness::OnTime;
        }
        let objective = self.deadline.saturating_duration_since(self.accepted_at);
        match expected_end.cmp(&(self.accepted_at + objective * LATE_FACTOR)) {
            Ordering::Greater => Timeliness::Expired,
            Ordering::Equal | Ordering::Less => Timeliness::Late,
        }
    }

    /// Returns the declared run time of the longest dependency chain, counting steps with idle
    /// tasks.
    fn remaining_time(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.job.steps.len());
        for (index, step) in self.job.steps.iter().enumerate() {
            let dependency_ends = step
                .dependencies
                .iter()
                .filter_map(|s| ends.get(*s as usize));
            let start = dependency_ends.max().copied().unwrap_or_default();
            let stage = self.stages.get(index);
            let has_idle_tasks = stage.is_some_and(|stage| stage.idle_count > 0);
            let duration = step.run_time() * ESTIMATE_PERCENT / 100 + STEP_OVERHEAD;
            ends.push(
                start
                    + if has_idle_tasks {
                        duration
                    } else {
                        Duration::ZERO
                    },
            );
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns the declared work of the tasks that could start now, in millicore-seconds.
    pub(super) fn ready_work(&self) -> u64 {
        let work = |stage: usize| {
            let step = self.step_of(stage);
            if step.is_long_running || !self.is_ready(stage) {
                return 0;
            }
            step.work(self.stages[stage].idle_count)
        };
        let stages = 0..self.stages.len();
        stages.map(work).fold(0, u64::saturating_add)
    }

    /// Returns the processor time that its running tasks reserve, in millicores.
    pub(super) fn running_cpu(&self) -> u64 {
        let cpu = |(index, stage): (usize, &Stage)| {
            let reserved = Resources::reserved_by(self.step_of(index)).cpu_millicores;
            reserved.saturating_mul(stage.running_count())
        };
        let stages = self.stages.iter().enumerate();
        stages.map(cpu).fold(0, u64::saturating_add)
    }

    /// Returns the processor time that the tasks that could start now want, in millicores.
    pub(super) fn ready_cpu(&self) -> u64 {
        let cpu = |stage: usize| {
            let step = self.step_of(stage);
            if step.is_long_running || !self.is_ready(stage) {
                return 0;
            }
            let reserved = Resources::reserved_by(step).cpu_millicores;
            reserved.saturating_mul(u64::from(self.stages[stage].idle_count))
        };
        let stages = 0..self.stages.len();
        stages.map(cpu).fold(0, u64::saturating_add)
    }
}
