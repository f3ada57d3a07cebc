use std::time::Instant;

use super::event::Action;
use super::machine::Scheduler;
use super::run::Stage;
use super::work::{Place, Work};
use super::worker::Worker;
use crate::ids;
use crate::job::Task;
use crate::map::Map;

/// Share of its work of a lasting task that is at work, in percent.
const AT_WORK: u32 = 100;

impl Scheduler {
    pub(super) fn note_drain(
        &mut self,
        now: Instant,
        id: &ids::Worker,
        on: bool,
        actions: &mut Vec<Action>,
    ) {
        if on {
            self.vacating.insert(id.clone());
        } else {
            self.vacating.remove(id);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.vacating = on;
            // Who asks again has not heard that the worker is free.
            worker.vacated = false;
            self.stirred = true;
        }
        self.free_hosts(now, actions);
    }

    /// Stops the lasting tasks of a worker that leaves; they start elsewhere.
    pub(super) fn evacuate(&mut self, now: Instant, id: &ids::Worker, actions: &mut Vec<Action>) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        if !worker.report.is_draining && !worker.vacating {
            return;
        }
        let forced = worker.report.is_draining;
        let lasting = worker
            .runs
            .iter()
            .filter(|(_, run)| run.lasting && run.stage == Stage::Running);
        let lasting: Vec<Task> = lasting.map(|(task, _)| task.clone()).collect();
        for task in lasting {
            if forced || self.may_stop(&task) {
                self.stop_run(now, id, &task, actions);
            }
        }
    }

    /// Checks if a lasting task may be stopped with those of its step that are away already.
    fn may_stop(&self, task: &Task) -> bool {
        let Some(work) = self.works.get(&task.job) else {
            return true;
        };
        if work.is_over() {
            return true;
        }
        let Some((stage, index)) = work.find(task) else {
            return true;
        };
        let most = work.step_of(stage).max_unavailable as usize;
        most == 0 || self.away(work, stage, index) < most
    }

    /// Counts the tasks of a stage that are not at work, but for one.
    fn away(&self, work: &Work, stage: usize, but: usize) -> usize {
        let own = &work.stages[stage];
        let mut runs: Map<u32, bool> = Map::default();
        for (index, item) in (0_u32..).zip(&own.items) {
            let Place::On(id) = &item.place else {
                runs.insert(index, false);
                continue;
            };
            let worker = self.workers.get(id);
            let task = work.task(own.occurrence, own.step, index);
            let run = worker.and_then(|worker| worker.runs.get(&task));
            let works =
                run.is_some_and(|run| run.stage == Stage::Running && run.percent >= AT_WORK);
            let sound = worker.is_some_and(|worker| {
                worker.misses == 0 && worker.listed && !worker.report.is_draining
            });
            runs.insert(index, works && sound);
        }
        let others = runs
            .iter()
            .filter(|(index, works)| **index as usize != but && !**works);
        others.count()
    }

    /// Goes on freeing workers, and notes those that are free.
    pub(super) fn free_hosts(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let leaving = |(id, worker): (&ids::Worker, &Worker)| {
            let lasting = worker.runs.values().filter(|run| run.lasting).count();
            (worker.vacating || worker.report.is_draining).then(|| (lasting, id.clone()))
        };
        // What a step may miss goes to the worker that is free soonest, not a little to each.
        let mut ids: Vec<(usize, ids::Worker)> = self.workers.iter().filter_map(leaving).collect();
        ids.sort();
        for (_, id) in ids {
            self.evacuate(now, &id, actions);
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            let free = worker.vacating && worker.settled && worker.runs.is_empty();
            if free && !worker.vacated {
                worker.vacated = true;
                self.freed.push(id);
            }
        }
    }
}
