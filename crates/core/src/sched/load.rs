use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::graph::Graph;
use super::scheduler::Scheduler;
use crate::ids;
use crate::journal::Load;
use crate::map::Map;

/// Window over which the arrival rate is averaged: short compared with the time in which demand
/// changes.
const AVERAGING_WINDOW: Duration = Duration::from_secs(1);

/// `Arrivals` is the work of the jobs that arrived within the averaging window.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    recent: VecDeque<(Instant, ids::Service, u64)>,
}

impl Arrivals {
    /// Records the work of an accepted job, in millicore-seconds.
    pub(super) fn record(&mut self, now: Instant, service: ids::Service, work: u64) {
        self.recent.push_back((now, service, work));
        self.drop_old(now);
    }

    fn drop_old(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) > AVERAGING_WINDOW;
        while self.recent.front().is_some_and(|(at, ..)| is_old(*at)) {
            self.recent.pop_front();
        }
    }
}

impl Scheduler {
    /// Returns the demand and the capacity of each service of the shard, sorted by service.
    #[must_use]
    pub fn loads(&self, now: Instant) -> Vec<Load> {
        let mut loads: Map<ids::Service, Load> = Map::default();
        for worker in self.workers.values() {
            let load = load_of(&mut loads, &worker.report.service);
            let is_staying = worker.is_listed
                && !worker.has_terminated
                && !worker.report.is_shutting_down
                && !worker.is_draining;
            if is_staying {
                add(&mut load.capacity, worker.report.capacity.cpu_millicores);
            }
            if is_staying
                && worker.is_confirmed
                && !worker.runs.values().any(|run| run.is_long_running)
            {
                load.short_running_workers.push((
                    worker.report.worker.clone(),
                    worker.used_resources().cpu_millicores,
                ));
            }
            for run in worker.runs.values() {
                if run.is_long_running {
                    add(&mut load.long_running, run.resources.cpu_millicores);
                } else {
                    add(&mut load.used, run.resources.cpu_millicores);
                }
            }
        }
        for graph in self.jobs.values().filter(|graph| !graph.is_over()) {
            let load = load_of(&mut loads, self.service_of(graph));
            add(&mut load.backlog, graph.backlog(now));
            load.min_hosts = load.min_hosts.max(min_hosts(graph));
        }
        for (at, service, work) in &self.arrivals.recent {
            if now.saturating_duration_since(*at) <= AVERAGING_WINDOW {
                add(&mut load_of(&mut loads, service).arrival_rate, *work);
            }
        }
        let mut loads: Vec<Load> = loads.into_values().collect();
        for load in &mut loads {
            load.short_running_workers
                .sort_by(|a, b| (a.1, &a.0).cmp(&(b.1, &b.0)));
            let capacity = load.capacity.saturating_sub(load.long_running).max(1);
            load.queue_delay = Duration::from_millis(load.backlog.saturating_mul(1_000) / capacity);
        }
        loads.sort_by(|a, b| a.service.cmp(&b.service));
        loads
    }
}

/// Returns the number of hosts that the long-running steps of a job need to stay within their limit
/// of tasks per worker.
fn min_hosts(graph: &Graph) -> u32 {
    let steps = graph.job.steps.iter().filter(|step| step.is_long_running);
    let hosts = steps.map(|step| {
        step.count
            .div_ceil(step.max_per_worker.unwrap_or(step.count).max(1))
    });
    hosts.max().unwrap_or(0)
}

/// Adds an amount to a sum, which stays at its largest value when it would exceed it.
fn add(sum: &mut u64, amount: u64) {
    *sum = sum.saturating_add(amount);
}

fn load_of<'a>(loads: &'a mut Map<ids::Service, Load>, service: &ids::Service) -> &'a mut Load {
    loads.entry(service.clone()).or_insert_with(|| Load {
        service: service.clone(),
        ..Load::default()
    })
}
