use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::graph::Graph;
use super::rank::Timeliness;
use super::scheduler::Scheduler;
use crate::ids;
use crate::journal::{Excess, Load, MAX_EXCESSES};
use crate::map::Map;
use crate::share::{Outlook, Standing};

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

/// `Backlog` is the waiting work of a service that could start now, in millicore-seconds.
#[derive(Debug, Default)]
struct Backlog {
    /// That of jobs which can complete in time and are within the shares of their accounts.
    within_shares: u64,
    /// That of other jobs which can complete in time.
    beyond_shares: u64,
    /// That of jobs which will be late.
    late: u64,
    /// That of jobs which are beyond the rates of their accounts.
    beyond_rates: u64,
    /// Accounts with work beyond their share, and how much.
    accounts: Map<ids::Account, u64>,
}

impl Scheduler {
    /// Returns the demand and the capacity of each service of the shard, sorted by service.
    #[must_use]
    pub fn loads(&self, now: Instant) -> Vec<Load> {
        let mut loads: Map<ids::Service, Load> = Map::default();
        for worker in self.workers.values() {
            let load = load_of(&mut loads, &worker.report.service);
            let is_staying = worker.is_staying();
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
        let mut backlogs: Map<ids::Service, Backlog> = Map::default();
        for graph in self.jobs.values().filter(|graph| !graph.is_over()) {
            let service = self.service_of(graph);
            let load = load_of(&mut loads, service);
            load.min_hosts = load.min_hosts.max(min_hosts(graph));
            backlogs.entry(service.clone()).or_default().add(now, graph);
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
            let backlog = backlogs.remove(&load.service).unwrap_or_default();
            self.set_delays(now, load, &backlog);
        }
        loads.sort_by(|a, b| a.service.cmp(&b.service));
        loads
    }

    /// Sets the waiting work of a service, and when a job that is submitted now would start.
    fn set_delays(&self, now: Instant, load: &mut Load, backlog: &Backlog) {
        let in_time = backlog.within_shares.saturating_add(backlog.beyond_shares);
        load.backlog = in_time;
        // A leader that has read no worker of the service yet does not know what room there is.
        if load.capacity == 0 {
            return;
        }
        let mut outlook = Outlook::new(load.capacity.saturating_sub(load.long_running));
        for arrival in self.arrivals_to(&load.service) {
            outlook.expect(now, arrival.since, arrival.cpu_millicores);
        }
        let all_within_rates = in_time.saturating_add(backlog.late);
        load.queue_delay = outlook.start_delay(backlog.within_shares);
        load.late_delay = outlook.start_delay(all_within_rates);
        let beyond_rate_delay =
            outlook.start_delay(all_within_rates.saturating_add(backlog.beyond_rates));
        let beyond_share_delay = outlook.start_delay(in_time);
        let throttles = self.sharing.throttles.iter();
        let admitted: Map<&ids::Account, u32> = throttles
            .map(|throttle| (&throttle.account, throttle.admitted))
            .collect();
        let exceeds_share = backlog.accounts.iter();
        let mut exceeds_share: Vec<(&ids::Account, &u64)> = exceeds_share.collect();
        exceeds_share.sort_by_key(|(account, work)| (Reverse(**work), *account));
        // Those that exceed their rate come first.
        let others = exceeds_share.iter().map(|(account, _)| *account);
        let others = others.filter(|account| !admitted.contains_key(account));
        let accounts = self
            .sharing
            .throttles
            .iter()
            .map(|throttle| &throttle.account);
        let excess = |account: &ids::Account| Excess {
            account: account.clone(),
            delay: if backlog.accounts.contains_key(account) {
                beyond_share_delay
            } else {
                load.queue_delay
            },
            admitted: admitted
                .get(account)
                .copied()
                .unwrap_or(Excess::ALL_ADMITTED),
            beyond_rate_delay,
        };
        let excesses = accounts.chain(others).take(MAX_EXCESSES).map(excess);
        load.excesses = excesses.collect();
    }
}

impl Backlog {
    fn add(&mut self, now: Instant, graph: &Graph) {
        let work = graph.ready_work();
        if work == 0 {
            return;
        }
        if graph.standing == Standing::BeyondRate {
            add(&mut self.beyond_rates, work);
            return;
        }
        match graph.timeliness(now) {
            Timeliness::OnTime if graph.standing == Standing::BeyondShare => {
                add(&mut self.beyond_shares, work);
                if let Some(account) = &graph.job.account {
                    add(self.accounts.entry(account.clone()).or_default(), work);
                }
            }
            Timeliness::OnTime => add(&mut self.within_shares, work),
            Timeliness::Late => add(&mut self.late, work),
            // It comes after all others.
            Timeliness::Expired => {}
        }
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
