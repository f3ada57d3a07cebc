//! Client accounts of the jobs that wait, and hosts on their way to the pools of the shard.

use std::time::{Duration, Instant};

use super::pool::Position;
use super::scheduler::Scheduler;
use crate::ids;
use crate::journal::Load;
use crate::map::{Map, Set};
use crate::share::{Ledger, Rates, Standing, Throttle};

/// Weight of an account that the configuration no longer has: its jobs go on.
const DEFAULT_WEIGHT: f64 = 1.0;
/// Start delay from which on most of what exceeds a rate is refused: about what the objectives of short jobs leave.
const HOLDING_DELAY: Duration = Duration::from_secs(1);

/// `Arrival` is a host on its way to a pool of the shard.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    service: ids::Service,
    /// Processor time of the host, in millicores.
    pub(super) cpu_millicores: u64,
    /// Time since which the host list shows it.
    pub(super) since: Instant,
}

/// `Sharing` is what is known of the rates of client accounts, and of hosts on their way.
#[derive(Debug, Default)]
pub(super) struct Sharing {
    rates: Rates,
    /// Accounts that exceed their rate, as of the latest heartbeat.
    pub(super) throttles: Vec<Throttle>,
    /// Accounts of which what exceeds the rate is refused, as of the latest heartbeat.
    held_back: Set<ids::Account>,
    arrivals: Map<ids::Host, Arrival>,
}

impl Sharing {
    /// Records the hosts that the host list shows on their way to pools of the shard, with their processor time in
    /// millicores. A list that is not complete removes none.
    pub(super) fn set_arrivals(
        &mut self,
        now: Instant,
        arriving: Vec<(ids::Host, ids::Service, u64)>,
        is_complete: bool,
    ) {
        let known = if is_complete {
            std::mem::take(&mut self.arrivals)
        } else {
            self.arrivals.clone()
        };
        for (host, service, cpu_millicores) in arriving {
            let earlier = known.get(&host).filter(|known| known.service == service);
            let arrival = Arrival {
                service,
                cpu_millicores,
                since: earlier.map_or(now, |known| known.since),
            };
            self.arrivals.insert(host, arrival);
        }
    }
}

impl Scheduler {
    /// Returns the hosts on their way to the pool of a service whose workers are not known yet.
    pub(super) fn arrivals_to(&self, service: &ids::Service) -> Vec<&Arrival> {
        let mut arrivals: Map<&ids::Host, &Arrival> = Map::default();
        let expected = self.sharing.arrivals.iter();
        arrivals.extend(expected.filter(|(_, arrival)| arrival.service == *service));
        if !arrivals.is_empty() {
            for worker in self.workers.values().filter(|w| w.is_staying()) {
                if let Some(host) = &worker.report.host {
                    arrivals.remove(host);
                }
            }
        }
        arrivals.into_values().collect()
    }

    fn weight_of(&self, account: &ids::Account) -> f64 {
        let account = self.config.accounts.get(account);
        account.map_or(DEFAULT_WEIGHT, |account| account.weight)
    }

    /// Counts a job of an account that was accepted in this term, and returns whether it exceeds the account's rate.
    pub(super) fn exceeds_rate(&mut self, now: Instant, account: Option<&ids::Account>) -> bool {
        let Some(account) = account.filter(|_| !self.config.accounts.is_empty()) else {
            return false;
        };
        let rate = self.weight_of(account);
        !self.sharing.rates.count(now, account, rate)
    }

    /// Adjusts which part of an account's jobs is within its rate, once for each heartbeat.
    pub(super) fn adjust_rates(&mut self, now: Instant) {
        let mut rates = std::mem::take(&mut self.sharing.rates);
        let held_back = &self.sharing.held_back;
        let throttles = rates.adjust(
            now,
            |account| self.weight_of(account),
            |account| held_back.contains(account),
        );
        self.sharing.rates = rates;
        self.sharing.throttles = throttles;
    }

    /// Records which accounts the loads of a heartbeat hold back.
    pub(super) fn record_held_back(&mut self, loads: &[Load]) {
        let excesses = loads.iter().flat_map(|load| &load.excesses);
        let held_back = excesses.filter(|excess| excess.beyond_rate_delay > HOLDING_DELAY);
        self.sharing.held_back = held_back.map(|excess| excess.account.clone()).collect();
    }

    /// Marks the jobs beyond the share of their account, and moves them behind the others in the ranking.
    ///
    /// `ranked_jobs` is in the order of rank. The room of a pool, without what jobs of no account have of it, is
    /// divided among the accounts that have or want some; each account's jobs claim its share in the order of rank.
    pub(super) fn apply_shares(&mut self, ranked_jobs: &mut [Position]) {
        if self.config.accounts.is_empty() || ranked_jobs.is_empty() {
            return;
        }
        let mut ledgers = self.ledgers(ranked_jobs);
        for ledger in ledgers.values_mut() {
            ledger.divide();
        }
        for (rank, job) in ranked_jobs.iter_mut() {
            let Some(graph) = self.jobs.get(job) else {
                continue;
            };
            let account = graph.job.account.as_ref();
            let ledger = ledgers.get_mut(self.service_of(graph));
            let is_within = match (account, ledger) {
                (Some(account), Some(ledger)) => {
                    ledger.claim(account, graph.running_cpu(), graph.ready_cpu())
                }
                _ => true,
            };
            rank.exceeds_share = !is_within;
            if let Some(graph) = self.jobs.get_mut(job) {
                graph.standing = match graph.standing {
                    Standing::BeyondRate => Standing::BeyondRate,
                    Standing::Within | Standing::BeyondShare if is_within => Standing::Within,
                    Standing::Within | Standing::BeyondShare => Standing::BeyondShare,
                };
            }
        }
        ranked_jobs.sort();
    }

    /// Returns what the accounts have and want of each pool with waiting jobs.
    fn ledgers(&self, ranked_jobs: &[Position]) -> Map<ids::Service, Ledger> {
        let mut rooms: Map<ids::Service, u64> = Map::default();
        for worker in self.workers.values() {
            let room = rooms.entry(worker.report.service.clone()).or_default();
            if worker.is_staying() {
                *room = room.saturating_add(worker.report.capacity.cpu_millicores);
            }
        }
        let account_of = |job: &ids::Job| {
            let graph = self.jobs.get(job);
            graph.and_then(|graph| graph.job.account.as_ref())
        };
        // What jobs of no account have is not shared.
        let runs = || {
            let runs_of = self.workers.values().map(|w| (&w.report.service, &w.runs));
            runs_of.flat_map(|(service, runs)| runs.iter().map(move |run| (service, run)))
        };
        for (service, (task, run)) in runs() {
            if account_of(&task.job).is_none()
                && let Some(room) = rooms.get_mut(service)
            {
                *room = room.saturating_sub(run.resources.cpu_millicores);
            }
        }
        let ledgers = rooms.into_iter();
        let mut ledgers: Map<ids::Service, Ledger> = ledgers
            .map(|(service, room)| (service, Ledger::new(room)))
            .collect();
        for (service, (task, run)) in runs() {
            if let Some(account) = account_of(&task.job)
                && let Some(ledger) = ledgers.get_mut(service)
            {
                let weight = self.weight_of(account);
                ledger.add_running(account, weight, run.resources.cpu_millicores);
            }
        }
        for (_, job) in ranked_jobs {
            if let Some(graph) = self.jobs.get(job)
                && let Some(account) = &graph.job.account
                && let Some(ledger) = ledgers.get_mut(self.service_of(graph))
            {
                ledger.add_waiting(account, self.weight_of(account), graph.ready_cpu());
            }
        }
        ledgers
    }
}
