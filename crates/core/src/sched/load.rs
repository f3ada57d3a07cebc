use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::machine::Scheduler;
use super::work::Work;
use crate::ids;
use crate::journal::Load;
use crate::map::Map;

/// Time over which offered work is averaged: short beside the time in which demand turns.
const WINDOW: Duration = Duration::from_secs(1);

/// `Offers` is the work of the jobs that came lately.
#[derive(Debug, Default)]
pub(super) struct Offers {
    latest: VecDeque<(Instant, ids::Service, u64)>,
}

impl Offers {
    /// Notes the work of a job, in thousandths of a core times seconds.
    pub(super) fn note(&mut self, now: Instant, service: ids::Service, work: u64) {
        self.latest.push_back((now, service, work));
        self.forget(now);
    }

    fn forget(&mut self, now: Instant) {
        let old = |at: Instant| now.saturating_duration_since(at) > WINDOW;
        while self.latest.front().is_some_and(|(at, ..)| old(*at)) {
            self.latest.pop_front();
        }
    }
}

impl Scheduler {
    /// Gets the demand and the room of each service of the shard.
    #[must_use]
    pub fn loads(&self, now: Instant) -> Vec<Load> {
        let mut loads: Map<ids::Service, Load> = Map::default();
        for worker in self.workers.values() {
            let load = entry(&mut loads, &worker.report.service);
            let stays =
                worker.listed && !worker.ended && !worker.report.is_draining && !worker.vacating;
            if stays {
                load.capacity += worker.report.capacity.cpu_millicores;
            }
            if stays && worker.settled && !worker.runs.values().any(|run| run.lasting) {
                load.least_loaded
                    .push((worker.report.worker.clone(), worker.used().cpu_millicores));
            }
            for run in worker.runs.values() {
                if run.lasting {
                    load.long_running += run.room.cpu_millicores;
                } else {
                    load.used += run.room.cpu_millicores;
                }
            }
        }
        for work in self.works.values().filter(|work| !work.is_over()) {
            let load = entry(&mut loads, &self.service_of(work));
            load.backlog += work.waiting(now);
            load.min_hosts = load.min_hosts.max(spread(work));
        }
        for (at, service, work) in &self.offers.latest {
            if now.saturating_duration_since(*at) <= WINDOW {
                entry(&mut loads, service).offered_load += work;
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
fn spread(work: &Work) -> u32 {
    let steps = work.job.steps.iter().filter(|step| step.is_long_running);
    let hosts = steps.map(|step| {
        step.count
            .div_ceil(step.max_per_worker.unwrap_or(step.count).max(1))
    });
    hosts.max().unwrap_or(0)
}

fn entry<'a>(loads: &'a mut Map<ids::Service, Load>, service: &ids::Service) -> &'a mut Load {
    loads.entry(service.clone()).or_insert_with(|| Load {
        service: service.clone(),
        ..Load::default()
    })
}
