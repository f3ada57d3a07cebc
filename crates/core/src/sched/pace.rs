use std::time::{Duration, Instant};

use super::event::{Action, Call, Command};
use super::run::{Phase, Run};
use super::scheduler::Scheduler;
use crate::ids;
use crate::job::Task;

/// Share of its latency target, in percent, from which a task is at risk of missing it.
const RISK_PERCENT: u64 = 80;
/// Share of its latency target, in percent, below which a task leaves headroom.
const HEADROOM_PERCENT: u64 = 60;
/// Time for which all tasks must leave headroom before best-effort tasks are throttled less.
const HEADROOM_PERIOD: Duration = Duration::from_millis(1_500);
/// Step by which the pace of best-effort tasks is raised, in percent of the full rate.
const PACE_STEP_PERCENT: u32 = 20;

impl Scheduler {
    /// Throttles the best-effort tasks of a worker as soon as another task nears its latency
    /// target, and raises their pace again step by step.
    pub(super) fn adjust_pace(
        &mut self,
        now: Instant,
        id: &ids::Worker,
        actions: &mut Vec<Action>,
    ) {
        let token = self.term;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let has_priority = |run: &&Run| run.state == Phase::Running && !run.is_best_effort;
        let max_share_percent = worker
            .runs
            .values()
            .filter(has_priority)
            .filter_map(|run| {
                Some(run.measurement.saturating_mul(100) / run.latency_target_ms?.max(1))
            })
            .max();
        let max_share_percent = max_share_percent.unwrap_or(0);
        if max_share_percent >= HEADROOM_PERCENT {
            worker.headroom_since = None;
        }
        let headroom_since = *worker.headroom_since.get_or_insert(now);
        let may_raise = now.saturating_duration_since(headroom_since) >= HEADROOM_PERIOD;
        if may_raise {
            worker.headroom_since = Some(now);
        }
        let address = worker.report.address;
        for (task, run) in &mut worker.runs {
            if !run.is_best_effort || run.state != Phase::Running {
                continue;
            }
            let pace_percent = match max_share_percent {
                missed if missed >= 100 => 0,
                at_risk if at_risk >= RISK_PERCENT => run.pace_percent / 2,
                _ if may_raise => (run.pace_percent + PACE_STEP_PERCENT).min(100),
                _ => run.pace_percent,
            };
            if pace_percent != run.pace_percent {
                run.pace_percent = pace_percent;
                actions.push(Action::Call(pace_call(
                    id,
                    address,
                    token,
                    task,
                    run.number,
                    pace_percent,
                )));
            }
        }
    }
}

fn pace_call(
    worker: &ids::Worker,
    address: std::net::SocketAddr,
    token: ids::Term,
    task: &Task,
    run: ids::Run,
    pace_percent: u32,
) -> Call {
    Call {
        worker: worker.clone(),
        address,
        token,
        task: task.clone(),
        run,
        command: Command::Pace(pace_percent),
    }
}
