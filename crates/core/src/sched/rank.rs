use std::cmp::Ordering;
use std::time::{Duration, Instant};

use super::state::JobState;

/// Multiple of its objective after which a late job is of no use any more.
const LATE_FACTOR: u32 = 3;

/// Share of the declared run time, in percent, that tasks take at times: declarations are rough.
const ESTIMATE_PERCENT: u32 = 100;
/// Time that each further step takes beyond its tasks: an end is listed and the next start is sent.
const STEP_OVERHEAD: Duration = Duration::from_millis(40);

/// `Rank` is the place of a job in the order in which tasks are started.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Rank {
    /// Lasting jobs first: they are few, and each second without them counts.
    is_finite: bool,
    timeliness: Timeliness,
    priority: u32,
    deadline: Instant,
}

/// `Chance` is whether a job can still be served in time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Timeliness {
    OnTime,
    Late,
    Useless,
}

impl JobState {
    /// Gets the place in the order of starts.
    pub(super) fn rank(&self, now: Instant, priority: u32) -> Rank {
        let lasts = self.job.steps.iter().any(|step| step.is_long_running);
        Rank {
            is_finite: !lasts,
            timeliness: if lasts {
                Timeliness::OnTime
            } else {
                self.timeliness(now)
            },
            priority,
            deadline: self.deadline,
        }
    }

    fn timeliness(&self, now: Instant) -> Timeliness {
        if self.job.schedule.is_some() {
            return Timeliness::OnTime;
        }
        let end = now + self.remaining_time();
        if end <= self.deadline {
            return Timeliness::OnTime;
        }
        let objective = self.deadline.saturating_duration_since(self.accepted_at);
        match end.cmp(&(self.accepted_at + objective * LATE_FACTOR)) {
            Ordering::Greater => Timeliness::Useless,
            Ordering::Equal | Ordering::Less => Timeliness::Late,
        }
    }

    /// Gets the declared run time of the longest chain of steps that have idle tasks.
    fn remaining_time(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.job.steps.len());
        for (index, step) in (0_u32..).zip(&self.job.steps) {
            let after = step
                .dependencies
                .iter()
                .filter_map(|s| ends.get(*s as usize));
            let start = after.max().copied().unwrap_or_default();
            let stage = self.stages.iter().find(|stage| stage.step == index);
            let open = stage.is_some_and(|stage| stage.idle_count > 0);
            let own = step.estimate * ESTIMATE_PERCENT / 100 + STEP_OVERHEAD;
            ends.push(start + if open { own } else { Duration::ZERO });
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Gets the declared work of tasks that could start now, of jobs that can be served in time, in
    /// thousandths of a core times seconds.
    pub(super) fn backlog(&self, now: Instant) -> u64 {
        if self.timeliness(now) != Timeliness::OnTime {
            return 0;
        }
        let work = |stage: usize| {
            let step = self.step_of(stage);
            if step.is_long_running || !self.is_ready(stage) {
                return 0;
            }
            let millis = u64::try_from(step.estimate.as_millis()).unwrap_or(u64::MAX);
            u64::from(self.stages[stage].idle_count) * step.cpu_millicores * millis / 1_000
        };
        (0..self.stages.len()).map(work).sum()
    }
}
