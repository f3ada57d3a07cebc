use std::time::Instant;

use super::event::Action;
use super::run::RunState;
use super::scheduler::Scheduler;
use super::state::{JobState, Placement};
use super::worker::Worker;
use crate::ids;
use crate::job::Task;
use crate::map::Map;

/// Share of its work of a lasting task that is at work, in percent.
const SERVING_PERCENT: u32 = 100;

impl Scheduler {
    pub(super) fn handle_drain(
        &mut self,
        now: Instant,
        id: &ids::Worker,
        on: bool,
        actions: &mut Vec<Action>,
    ) {
        if on {
            self.draining.insert(id.clone());
        } else {
            self.draining.remove(id);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.is_draining = on;
            // Who asks again has not heard that the worker is free.
            worker.has_reported_drained = false;
            self.needs_placement = true;
        }
        self.advance_drains(now, actions);
    }

    /// Stops the lasting tasks of a worker that leaves; they start elsewhere.
    pub(super) fn stop_long_running(
        &mut self,
        now: Instant,
        id: &ids::Worker,
        actions: &mut Vec<Action>,
    ) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        if !worker.report.is_draining && !worker.is_draining {
            return;
        }
        let forced = worker.report.is_draining;
        let lasting = worker
            .runs
            .iter()
            .filter(|(_, run)| run.is_long_running && run.state == RunState::Running);
        let lasting: Vec<Task> = lasting.map(|(task, _)| task.clone()).collect();
        for task in lasting {
            if forced || self.is_stop_allowed(&task) {
                self.stop_run(now, id, &task, actions);
            }
        }
    }

    /// Checks if a lasting task may be stopped with those of its step that are away already.
    fn is_stop_allowed(&self, task: &Task) -> bool {
        let Some(work) = self.jobs.get(&task.job) else {
            return true;
        };
        if work.is_over() {
            return true;
        }
        let Some((stage, index)) = work.find(task) else {
            return true;
        };
        let most = work.step_of(stage).max_unavailable as usize;
        most == 0 || self.count_unavailable(work, stage, index) < most
    }

    /// Counts the tasks of a stage that are not at work, but for one.
    fn count_unavailable(&self, work: &JobState, stage: usize, but: usize) -> usize {
        let own = &work.stages[stage];
        let mut runs: Map<u32, bool> = Map::default();
        for (index, item) in (0_u32..).zip(&own.tasks) {
            let Placement::On(id) = &item.placement else {
                runs.insert(index, false);
                continue;
            };
            let worker = self.workers.get(id);
            let task = work.task(own.occurrence, own.step, index);
            let run = worker.and_then(|worker| worker.runs.get(&task));
            let works = run.is_some_and(|run| {
                run.state == RunState::Running && run.percent >= SERVING_PERCENT
            });
            let sound = worker.is_some_and(|worker| {
                worker.missed_polls == 0 && worker.is_listed && !worker.report.is_draining
            });
            runs.insert(index, works && sound);
        }
        let others = runs
            .iter()
            .filter(|(index, works)| **index as usize != but && !**works);
        others.count()
    }

    /// Goes on freeing workers, and notes those that are free.
    pub(super) fn advance_drains(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let leaving = |(id, worker): (&ids::Worker, &Worker)| {
            let lasting = worker
                .runs
                .values()
                .filter(|run| run.is_long_running)
                .count();
            (worker.is_draining || worker.report.is_draining).then(|| (lasting, id.clone()))
        };
        // What a step may miss goes to the worker that is free soonest, not a little to each.
        let mut ids: Vec<(usize, ids::Worker)> = self.workers.iter().filter_map(leaving).collect();
        ids.sort();
        for (_, id) in ids {
            self.stop_long_running(now, &id, actions);
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            let free = worker.is_draining && worker.is_confirmed && worker.runs.is_empty();
            if free && !worker.has_reported_drained {
                worker.has_reported_drained = true;
                self.newly_drained.push(id);
            }
        }
    }
}
