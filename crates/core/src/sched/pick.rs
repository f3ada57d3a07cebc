use bytestring::ByteString;

use super::crash::MAX_SHARED_CRASHES;
use super::exit::to_u32;
use super::graph::{Advice, Placement};
use super::near::Places;
use super::pool::Pool;
use super::scheduler::Scheduler;
use super::worker::Resources;
use crate::ids;
use crate::job::{Step, Task};
use crate::map::Map;

/// `Candidate` is a worker that may get tasks, with its free resources.
#[derive(Clone, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is a reason of its own to pass the worker over"
)]
pub(super) struct Candidate {
    pub(super) worker: ids::Worker,
    pub(super) free: Resources,
    pub(super) consecutive_failures: u32,
    pub(super) peers: usize,
    /// A suspect of an earlier crash runs on it that has not lasted yet.
    pub(super) has_suspect: bool,
    /// It crashed lately.
    pub(super) is_unstable: bool,
    /// Number of runs that a crash could be blamed on.
    pub(super) runs: usize,
    /// A task runs on it that is to run alone.
    pub(super) is_isolated: bool,
    /// Task that is to run alone on it once its other tasks have ended.
    pub(super) reserved_for: Option<Task>,
    /// Tasks wait for a place in its rack.
    pub(super) is_wanted: bool,
}

/// `Fit` is how well a worker suits a task; the smallest value is the best.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the fields are compared in this order"
)]
struct Fit {
    /// The task failed or stalled on the worker.
    is_avoided: bool,
    /// A suspect runs on the worker, so that a crash would end the task or not show the cause.
    has_suspect: bool,
    /// The worker crashed lately and the task is a suspect, so that a crash would show nothing.
    is_unstable: bool,
    /// The latest run on the worker failed.
    is_failing: bool,
    /// The worker is not in the rack of the task's data.
    is_remote: bool,
    /// Others wait for a place in the worker's rack, and the task's data is not there.
    is_wanted: bool,
    /// Processor time left, so that whole hosts stay free; inverted for best-effort tasks.
    cpu_left: u64,
    /// Other best-effort tasks on the worker, if the task is one.
    peers: usize,
}

/// `Pick` is a task with the worker chosen for it.
pub(super) struct Pick {
    pub(super) index: usize,
    pub(super) worker: ids::Worker,
    pub(super) ticket: Option<ByteString>,
    /// Whether the worker is not in the rack of the task's data, or its group is spread over racks.
    pub(super) is_away: bool,
}

/// `Miss` is why no worker was chosen for a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Miss {
    /// No worker can take it.
    NoPlace,
    /// It waits for a place near its data.
    AwaitsPlace,
}

impl Scheduler {
    /// Chooses workers for as many idle tasks as can be placed, at most `max_picks`.
    pub(super) fn pick_each(
        &self,
        job: &ids::Job,
        stage: usize,
        step: &Step,
        pool: &mut Pool,
        max_picks: u64,
    ) -> Vec<Pick> {
        let Some(graph) = self.jobs.get(job) else {
            return Vec::new();
        };
        let Pool {
            members, places, ..
        } = pool;
        let mut counts = self.count_tasks(job, stage, step);
        let mut picks = Vec::new();
        for (index, task_state) in graph.stages[stage].tasks.iter().enumerate() {
            if picks.len() as u64 >= max_picks {
                break;
            }
            if task_state.placement != Placement::Idle || task_state.has_unrecorded_crash {
                continue;
            }
            let places = Some(&mut *places);
            match self.pick(job, stage, index, step, members, &mut counts, None, places) {
                Ok(pick) => picks.push(pick),
                // Others of the stage may find that a wait behind it does not pay.
                Err(Miss::AwaitsPlace) => {}
                Err(Miss::NoPlace) => {
                    // The remaining tasks of the stage differ only in the workers that they avoid, and in crashes.
                    if task_state.avoided_workers.is_empty() && !graph.progress.has_crashes() {
                        break;
                    }
                }
            }
        }
        places.occupy(step, &picks);
        picks
    }

    /// Chooses workers for all tasks of a gang, within one rack if it prefers that, or for none.
    pub(super) fn pick_gang(
        &self,
        job: &ids::Job,
        stage: usize,
        step: &Step,
        pool: &mut Pool,
    ) -> Vec<Pick> {
        let Some(graph) = self.jobs.get(job) else {
            return Vec::new();
        };
        let size = graph.stages[stage].tasks.len();
        let tasks = &graph.stages[stage].tasks;
        if graph.stages[stage].idle_count as usize != size
            || tasks.iter().any(|task| task.has_unrecorded_crash)
        {
            return Vec::new();
        }
        let mut racks: Vec<Option<ids::Label>> = Vec::new();
        if step.prefers_same_rack {
            for entry in &pool.members {
                let worker = self.workers.get(&entry.worker);
                let rack = worker.and_then(|worker| worker.rack().cloned());
                if rack.is_some() && !racks.contains(&rack) {
                    racks.push(rack);
                }
            }
        }
        racks.push(None);
        for rack in racks {
            let mut trial = pool.members.clone();
            let mut counts = self.count_tasks(job, stage, step);
            let mut picks = Vec::with_capacity(size);
            for index in 0..size {
                let rack = rack.as_ref();
                match self.pick(job, stage, index, step, &mut trial, &mut counts, rack, None) {
                    Ok(pick) => picks.push(pick),
                    Err(_) => break,
                }
            }
            if picks.len() == size {
                let is_spread = step.prefers_same_rack && rack.is_none();
                for pick in &mut picks {
                    pick.is_away |= is_spread;
                }
                if picks.iter().any(|pick| pick.is_away)
                    && self.group_awaits_place(graph, stage, step, pool)
                {
                    return Vec::new();
                }
                pool.members = trial;
                pool.places.occupy(step, &picks);
                return picks;
            }
        }
        Vec::new()
    }

    /// Counts the tasks of a stage on each worker, if the step limits that number.
    fn count_tasks(&self, job: &ids::Job, stage: usize, step: &Step) -> Map<ids::Worker, u32> {
        let mut counts = Map::default();
        if step.max_per_worker.is_none() {
            return counts;
        }
        if let Some(graph) = self.jobs.get(job) {
            let own = &graph.stages[stage];
            for (id, worker) in &self.workers {
                let tasks = worker.runs.keys().filter(|task| {
                    task.job == *job && task.occurrence == own.occurrence && task.step == own.step
                });
                let count = to_u32(tasks.count());
                if count > 0 {
                    counts.insert(id.clone(), count);
                }
            }
        }
        counts
    }

    /// Chooses the worker for a task: one without failures, near its data, the fullest that fits it.
    #[expect(
        clippy::too_many_arguments,
        reason = "pool, counts and places change per pick"
    )]
    fn pick(
        &self,
        job: &ids::Job,
        stage: usize,
        index: usize,
        step: &Step,
        pool: &mut [Candidate],
        counts: &mut Map<ids::Worker, u32>,
        rack: Option<&ids::Label>,
        places: Option<&mut Places>,
    ) -> Result<Pick, Miss> {
        let graph = self.jobs.get(job).ok_or(Miss::NoPlace)?;
        let task_state = &graph.stages[stage].tasks[index];
        let task = graph.task(
            graph.stages[stage].occurrence,
            graph.stages[stage].step,
            to_u32(index),
        );
        let need = Resources::reserved_by(step);
        let crashes = self.crash_count(&task);
        if crashes > 0 && graph.is_given_up(&graph.counted(&task)) {
            return Err(Miss::NoPlace);
        }
        let is_suspect = crashes > 0;
        // The members of a gang start together, so none can run alone.
        let is_to_run_alone = crashes >= MAX_SHARED_CRASHES && !step.is_gang;
        let may_share = |entry: &Candidate| {
            let is_reserved = entry
                .reserved_for
                .as_ref()
                .is_some_and(|other| *other != task);
            let is_free = !is_to_run_alone || (entry.runs == 0 && !entry.is_unstable);
            is_free && !is_reserved && !entry.is_isolated
        };
        let mut best: Option<(Fit, usize)> = None;
        // Most workers are full during a peak.
        let with_room = pool.iter().enumerate();
        let with_room = with_room.filter(|(_, entry)| entry.free.covers(need) && may_share(entry));
        for (position, entry) in with_room {
            let peers = if step.is_best_effort { entry.peers } else { 0 };
            let cpu_left = entry.free.cpu_millicores - need.cpu_millicores;
            // Best-effort tasks are placed on the worker with the most free processor time, and suspects on
            // the one with the fewest tasks beside them.
            let cpu_left = if step.is_best_effort || is_suspect {
                u64::MAX - cpu_left
            } else {
                cpu_left
            };
            let mut fit = Fit {
                is_avoided: task_state.avoided_workers.contains(&entry.worker),
                has_suspect: entry.has_suspect,
                is_unstable: is_suspect && entry.is_unstable,
                is_failing: entry.consecutive_failures > 0,
                is_remote: false,
                is_wanted: false,
                cpu_left,
                peers,
            };
            // Most workers with room suit a task less than one seen before, so they are not looked up.
            if best.is_some_and(|(best_fit, _)| fit >= best_fit) {
                continue;
            }
            let Some(worker) = self.workers.get(&entry.worker) else {
                continue;
            };
            let has_label = step
                .required_label
                .as_ref()
                .is_none_or(|label| worker.has_label(label));
            let in_rack = rack.is_none_or(|rack| worker.has_label(rack));
            let count = counts.get(&entry.worker).copied().unwrap_or(0);
            let is_below_limit = step.max_per_worker.is_none_or(|max| count < max);
            // A worker has at most one run of a task at a time.
            let has_no_run = !worker.runs.contains_key(&task);
            let is_permitted = match &graph.stages[stage].advice {
                Advice::Granted(tickets, _) => tickets.iter().any(|t| t.worker == entry.worker),
                Advice::Requested(_) | Advice::Unanswered(_) | Advice::NotRequested => true,
            };
            if !(has_label && in_rack && is_below_limit && has_no_run && is_permitted) {
                continue;
            }
            fit.is_remote = step
                .data_rack
                .as_ref()
                .is_some_and(|rack| !worker.has_label(rack));
            fit.is_wanted = entry.is_wanted && (step.data_rack.is_none() || fit.is_remote);
            if best.is_none_or(|(best_fit, _)| fit < best_fit) {
                best = Some((fit, position));
            }
        }
        let (fit, position) = best.ok_or(Miss::NoPlace)?;
        // A suspect of a crash waits for particular workers as it is.
        if let Some(places) = places.filter(|_| !is_suspect)
            && fit.is_remote
            && self.awaits_place(graph, (stage, index), step, pool, counts, places)
        {
            return Err(Miss::AwaitsPlace);
        }
        let entry = &mut pool[position];
        entry.free = entry.free.minus(need);
        entry.is_isolated |= is_to_run_alone;
        entry.has_suspect |= is_suspect;
        entry.runs += 1;
        entry.peers += usize::from(step.is_best_effort);
        *counts.entry(entry.worker.clone()).or_default() += 1;
        let ticket = match &graph.stages[stage].advice {
            Advice::Granted(tickets, _) => tickets
                .iter()
                .find(|ticket| ticket.worker == entry.worker)
                .map(|ticket| ticket.ticket.clone()),
            Advice::Requested(_) | Advice::Unanswered(_) | Advice::NotRequested => None,
        };
        Ok(Pick {
            index,
            worker: entry.worker.clone(),
            ticket,
            is_away: fit.is_remote,
        })
    }
}
