use std::time::{Duration, Instant};

use super::event::{Action, Call, Command};
use super::machine::Scheduler;
use super::run::{Run, Stage};
use crate::ids;
use crate::job::Task;

/// Share of its target, in percent, from which a serving task counts as at risk.
const RISK_PERCENT: u64 = 80;
/// Share of its target, in percent, under which a serving task counts as calm.
const CALM_PERCENT: u64 = 60;
/// Time for which all must be calm before tasks that fill get more.
const CALM: Duration = Duration::from_millis(1_500);
/// Share that tasks that fill get back at once, in percent.
const STEP: u32 = 20;

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
        let serving = |run: &&Run| run.stage == Stage::Running && !run.fills;
        let share = worker
            .runs
            .values()
            .filter(serving)
            .filter_map(|run| Some(run.figure * 100 / run.target?.max(1)))
            .max();
        let share = share.unwrap_or(0);
        if share >= CALM_PERCENT {
            worker.calm = None;
        }
        let calm = *worker.calm.get_or_insert(now);
        let grow = now.saturating_duration_since(calm) >= CALM;
        if grow {
            worker.calm = Some(now);
        }
        let address = worker.report.address;
        for (task, run) in &mut worker.runs {
            if !run.fills || run.stage != Stage::Running {
                continue;
            }
            let pace = match share {
                over if over >= 100 => 0,
                near if near >= RISK_PERCENT => run.pace / 2,
                _ if grow => (run.pace + STEP).min(100),
                _ => run.pace,
            };
            if pace != run.pace {
                run.pace = pace;
                actions.push(Action::Call(call(
                    id, address, token, task, run.number, pace,
                )));
            }
        }
    }
}

fn call(
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
