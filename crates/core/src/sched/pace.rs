use std::time::{Duration, Instant};

use super::event::{Action, Call, Command};
use super::run::{Run, RunState};
use super::scheduler::Scheduler;
use crate::ids;
use crate::job::Task;

/// Share of its target, in percent, from which a serving task counts as at risk.
const RISK_PERCENT: u64 = 80;
/// Share of its target, in percent, under which a serving task counts as calm.
const CALM_PERCENT: u64 = 60;
/// Time for which all must be calm before tasks that fill get more.
const CALM_PERIOD: Duration = Duration::from_millis(1_500);
/// Share that tasks that fill get back at once, in percent.
const PACE_STEP_PERCENT: u32 = 20;

impl Scheduler {
    /// Limits the tasks that fill on a worker as soon as one that serves nears its target, and gives
    /// the room back slowly.
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
        let serving = |run: &&Run| run.state == RunState::Running && !run.is_best_effort;
        let share = worker
            .runs
            .values()
            .filter(serving)
            .filter_map(|run| Some(run.measurement * 100 / run.latency_target_ms?.max(1)))
            .max();
        let share = share.unwrap_or(0);
        if share >= CALM_PERCENT {
            worker.calm_since = None;
        }
        let calm = *worker.calm_since.get_or_insert(now);
        let grow = now.saturating_duration_since(calm) >= CALM_PERIOD;
        if grow {
            worker.calm_since = Some(now);
        }
        let address = worker.report.address;
        for (task, run) in &mut worker.runs {
            if !run.is_best_effort || run.state != RunState::Running {
                continue;
            }
            let pace = match share {
                over if over >= 100 => 0,
                near if near >= RISK_PERCENT => run.pace_percent / 2,
                _ if grow => (run.pace_percent + PACE_STEP_PERCENT).min(100),
                _ => run.pace_percent,
            };
            if pace != run.pace_percent {
                run.pace_percent = pace;
                actions.push(Action::Call(pace_call(
                    id, address, token, task, run.number, pace,
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
    pace: u32,
) -> Call {
    Call {
        worker: worker.clone(),
        address,
        token,
        task: task.clone(),
        run,
        command: Command::Pace(pace),
    }
}
