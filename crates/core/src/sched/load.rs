use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::scheduler::Scheduler;
use super::state::JobState;
use crate::ids;
use crate::journal::Load;
use crate::map::Map;

/// Time over which offered work is averaged: short beside the time in which demand turns.
const WINDOW: Duration = Duration::from_secs(1);

/// `Offers` is the work of the jobs that came lately.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    recent: VecDeque<(Instant, ids::Service, u64)>,
}

impl Arrivals {
    /// Notes the work of a job, in thousandths of a core times seconds.
    pub(super) fn record(&mut self, now: Instant, service: ids::Service, work: u64) {
        self.recent.push_back((now, service, work));
        self.drop_old(now);
    }

    fn drop_old(&mut self, now: Instant) {
        let old = |at: Instant| now.saturating_duration_since(at) > WINDOW;
        while self.recent.front().is_some_and(|(at, ..)| old(*at)) {
            self.recent.pop_front();
        }
    }
}

impl Scheduler {
    /// Gets the demand and the room of each service of the shard.
    #[must_use]
    pub fn loads(&self, now: Instant) -> Vec<Load> {
        let mut loads: Map<ids::Service, Load> = Map::default();
        for worker in self.workers.values() {
            let load = load_of(&mut loads, &worker.report.service);
            let stays = worker.is_listed
                && !worker.has_terminated
                && !worker.report.is_draining
                && !worker.is_draining;
            if stays {
                load.capacity += worker.report.capacity.cpu_millicores;
            }
            if stays && worker.is_confirmed && !worker.runs.values().any(|run| run.is_long_running)
            {
                load.least_loaded.push((
                    worker.report.worker.clone(),
                    worker.used_resources().cpu_millicores,
                ));
            }
            for run in worker.runs.values() {
                if run.is_long_running {
                    load.long_running += run.resources.cpu_millicores;
                } else {
                    load.used += run.resources.cpu_millicores;
                }
            }
        }
        for work in self.jobs.values().filter(|work| !work.is_over()) {
            let load = load_of(&mut loads, &self.service_of(work));
            load.backlog += work.backlog(now);
            load.min_hosts = load.min_hosts.max(min_hosts(work));
        }
        for (at, service, work) in &self.arrivals.recent {
            if now.saturating_duration_since(*at) <= WINDOW {
                load_of(&mut loads, service).offered_load += work;
            }
        }
        let mut loads: Vec<Load> = loads.into_values().collect();
        for load in &mut loads {
            load.least_loaded
                .sort_by(|a, b| (a.1, &a.0).cmp(&(b.1, &b.0)));
            let room = load.capacity.saturating_sub(load.long_running).max(1);
            load.queue_delay = Duration::from_millis(load.backlog * 1_000 / room);
        }
        loads.sort_by(|a, b| a.service.cmp(&b.service));
        loads
    }
}

/// Gets the hosts without which a lasting step of a job can't be spread as it asks.
fn min_hosts(work: &JobState) -> u32 {
    let steps = work.job.steps.iter().filter(|step| step.is_long_running);
    let hosts = steps.map(|step| {
        step.count
            .div_ceil(step.max_per_worker.unwrap_or(step.count).max(1))
    });
    hosts.max().unwrap_or(0)
}

fn load_of<'a>(loads: &'a mut Map<ids::Service, Load>, service: &ids::Service) -> &'a mut Load {
    loads.entry(service.clone()).or_insert_with(|| Load {
        service: service.clone(),
        ..Load::default()
    })
}
