use super::graph::Graph;
use super::pool::Pool;
use super::run::{Owner, charge};
use super::scheduler::Scheduler;
use super::worker::Resources;
use crate::limit::{Amount, Budget, Usage};

impl From<Resources> for Amount {
    fn from(resources: Resources) -> Self {
        Self {
            cpu_millicores: resources.cpu_millicores,
            memory_mb: resources.memory_mb,
            gpus: resources.gpus,
        }
    }
}

impl Scheduler {
    /// Returns what the runs of each account reserve on the workers of the shard.
    ///
    /// An older leader may have started anything on a worker that has not answered under this term, up to the capacity
    /// of the worker.
    pub(super) fn usage(&self) -> Usage {
        let mut usage = Usage::default();
        let has_old_runs = !self.is_past_deadline();
        let mut largest = Resources::default();
        for worker in self.workers.values() {
            for run in worker.runs.values() {
                match &run.owner {
                    Owner::Account(account) => usage.add(account, run.charge),
                    Owner::Unknown => usage.add_unattributed(run.charge),
                    Owner::Nobody => {}
                }
            }
            let capacity = worker.report.capacity;
            largest = largest.largest(capacity);
            if has_old_runs && !worker.is_confirmed && !worker.has_terminated {
                usage.add_unattributed(capacity.into());
            }
        }
        if has_old_runs {
            let unlisted = self.hosted_unknown_count();
            match unlisted.and_then(|count| u64::try_from(count).ok()) {
                Some(0) => {}
                Some(count) if !self.workers.is_empty() => {
                    usage.add_unattributed(Amount::from(largest).times(count));
                }
                _ => usage.set_unknown(),
            }
        }
        usage
    }

    /// Checks if the limit of its account allows no task of a stage to start.
    pub(super) fn is_limited(graph: &Graph, stage: usize, budget: &Budget) -> bool {
        let (step, account) = (graph.step_of(stage), graph.job.account.as_ref());
        let max_starts = budget.max_starts(account, charge(step));
        if !step.is_gang {
            return max_starts == 0;
        }
        let size = graph.stages[stage].tasks.len() as u64;
        u64::from(graph.stages[stage].idle_count) == size && max_starts < size
    }

    /// Records a stage of which the limit of its account allows no task to start.
    pub(super) fn hold_back_all(graph: &Graph, stage: usize, pool: &Pool, budget: &mut Budget) {
        let (step, account) = (graph.step_of(stage), graph.job.account.as_ref());
        if step.is_gang {
            let size = graph.stages[stage].tasks.len() as u64;
            budget.hold_back_gang(account, charge(step).times(size));
        } else {
            Self::hold_back(graph, stage, 0, pool, budget);
        }
    }

    /// Records the idle tasks of a stage that its account's limit holds back, `started` of them being started in this
    /// pass. Those that the pool has no room for wait for a worker instead.
    pub(super) fn hold_back(
        graph: &Graph,
        stage: usize,
        started: u64,
        pool: &Pool,
        budget: &mut Budget,
    ) {
        let (step, account) = (graph.step_of(stage), graph.job.account.as_ref());
        let need = charge(step);
        let known = account.map(|account| budget.held_back(account));
        let known = known.unwrap_or_default().cpu_millicores;
        let free = pool.tally.free_millicores.saturating_sub(known);
        let with_room = free.checked_div(need.cpu_millicores).unwrap_or(u64::MAX);
        let idle = u64::from(graph.stages[stage].idle_count).saturating_sub(started);
        // One task more keeps the account in the demand of the shard while the pool is almost full.
        budget.hold_back(account, need, idle.min(with_room.max(1)));
    }
}
