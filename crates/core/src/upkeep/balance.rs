//! Hosts follow the demand of the services.
//!
//! Load pattern: the queues' demand comes by turns. Each asks in its time for several times its mean,
//! more than its own pool holds, while the others are idle. Hosts that run nothing go to the pool that
//! lacks room, from the spare pool first, and back to it when nobody needs them.

use std::time::{Duration, Instant};

use super::demand::{Demand, asked};
use super::event::{Action, Operation};
use super::host::{Host, State};
use super::planner::Planner;
use crate::ids;
use crate::journal::Load;
use crate::map::Map;

/// Time in which waiting work should be done.
const HORIZON: Duration = Duration::from_millis(400);
/// Room beyond the demand seen, in percent of it: jobs come unevenly.
const MARGIN_PERCENT: u64 = 20;
/// Most hosts that a service gets for growth alone, in percent of the fleet.
const GROWTH_MOST_PERCENT: usize = 50;
/// Hosts of a pool beyond what its lasting tasks need, so that a turn can begin.
const RESERVE: usize = 3;
/// Hosts of a pool beyond what its lasting tasks need that are never lent.
const KEPT: usize = 2;
/// Time for which a pool must have too many hosts before one leaves it; a move costs about as much as
/// a host that idles for a second.
const IDLE: Duration = Duration::from_millis(1_200);

/// Time after which a host that did not arrive counts where the list has it.
const ARRIVAL: Duration = Duration::from_secs(5);

/// `Balance` is what is kept between two rounds.
#[derive(Debug, Default)]
pub(super) struct Balance {
    /// Time since which a service has more hosts than it needs.
    surplus: Map<ids::Service, Instant>,
    /// Hosts on their way to a pool, with the time of the command.
    moving: Map<ids::Host, (ids::Service, Instant)>,
    /// Demand of the services, now and lately.
    pub(super) demand: Demand,
}

impl Balance {
    /// Notes that a host was told to go to a pool.
    pub(super) fn note_move(&mut self, now: Instant, host: &ids::Host, service: &ids::Service) {
        self.moving.insert(host.clone(), (service.clone(), now));
    }

    /// Notes what the list says; a host that has arrived is no longer on its way.
    pub(super) fn note_host(&mut self, now: Instant, host: &Host) {
        let arrived = |(service, at): &(ids::Service, Instant)| {
            let late = now.saturating_duration_since(*at) > ARRIVAL;
            late || (host.state == State::Up && host.service == *service)
        };
        if self.moving.get(&host.name).is_some_and(arrived) {
            self.moving.remove(&host.name);
        }
    }
}

impl Planner {
    /// Begins the moves that demand asks for.
    pub(super) fn plan_moves(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(spare) = self.spare() else {
            return;
        };
        let served = self.loads.keys().filter(|service| !self.is_spare(service));
        let services: Vec<ids::Service> = served.cloned().collect();
        let counts = services.iter().map(|service| self.count(service));
        let mut counts: Vec<Count> = counts.collect();
        // The service with the most work for its room comes first.
        counts.sort_by_key(|count| {
            std::cmp::Reverse((self.press(&count.service), count.service.clone()))
        });
        let mut moves: Vec<(ids::Host, ids::Service)> = Vec::new();
        let mut free = self.spare_hosts(&spare);
        // What each service needs and its reserve come before the growth of any.
        for count in &counts {
            for _ in count.has..count.base {
                moves.extend(free.pop().map(|host| (host, count.service.clone())));
            }
        }
        for count in &counts {
            for _ in count.has.max(count.base)..count.wants {
                moves.extend(free.pop().map(|host| (host, count.service.clone())));
            }
        }
        // Hosts that another service only wants go where work waits now, and idle ones that it doesn't
        // want go where demand grows.
        let mut lent = Loans::default();
        self.lend(&counts, Reason::Waiting, &mut lent, &mut moves);
        self.lend(&counts, Reason::Growing, &mut lent, &mut moves);
        for count in &counts {
            moves.extend(self.surplus(now, count, &lent, &spare));
        }
        for (host, service) in moves {
            self.begin(now, &host, Operation::Move(service), actions);
        }
    }

    /// Moves hosts from pools that can do without to pools that lack some.
    fn lend(
        &self,
        counts: &[Count],
        reason: Reason,
        lent: &mut Loans,
        moves: &mut Vec<(ids::Host, ids::Service)>,
    ) {
        let keeps = |count: &Count| match reason {
            Reason::Waiting => count.needs,
            Reason::Growing => count.wants,
        };
        for count in counts {
            let comes = moves.iter().filter(|(_, to)| *to == count.service).count();
            for _ in count.has + comes..keeps(count) {
                let lends = |other: &&Count| {
                    let gone = lent.get(&other.service).copied().unwrap_or(0);
                    other.service != count.service && other.has > keeps(other) + gone
                };
                // The service with the least work for its room lends first.
                let Some(lender) = counts.iter().rev().find(lends) else {
                    break;
                };
                let gone = lent.entry(lender.service.clone()).or_default();
                let busy = reason == Reason::Waiting;
                let host = self
                    .light_hosts(&lender.service, busy)
                    .into_iter()
                    .nth(*gone);
                *gone += 1;
                moves.extend(host.map(|host| (host, count.service.clone())));
            }
        }
    }

    /// Gets the idle hosts that a service has had too many of for a while.
    fn surplus(
        &mut self,
        now: Instant,
        count: &Count,
        lent: &Loans,
        spare: &ids::Service,
    ) -> Vec<(ids::Host, ids::Service)> {
        let gone = lent.get(&count.service).copied().unwrap_or(0);
        let extra = count.has.saturating_sub(count.wants + gone);
        if extra == 0 {
            self.balance.surplus.remove(&count.service);
            return Vec::new();
        }
        let since = *self
            .balance
            .surplus
            .entry(count.service.clone())
            .or_insert(now);
        if now.saturating_duration_since(since) < IDLE {
            return Vec::new();
        }
        let hosts = self
            .light_hosts(&count.service, false)
            .into_iter()
            .skip(gone);
        hosts
            .take(extra)
            .map(|host| (host, spare.clone()))
            .collect()
    }

    /// Gets for each service the hosts that it has and needs, with its load, for the log lines.
    #[must_use]
    pub fn demands(&self) -> Vec<(usize, usize, &Load)> {
        let served = self
            .loads
            .values()
            .filter(|load| !self.is_spare(&load.service));
        served
            .map(|load| {
                (
                    self.has(&load.service),
                    self.count(&load.service).wants,
                    load,
                )
            })
            .collect()
    }

    fn spare(&self) -> Option<ids::Service> {
        let spare = self.config.services.iter().find(|service| service.is_spare);
        spare.map(|service| service.name.clone())
    }

    /// Counts the hosts that a pool has, or soon has.
    fn has(&self, service: &ids::Service) -> usize {
        let moving = &self.balance.moving;
        let pool = |host: &Host| match moving.get(&host.name) {
            Some((target, _)) => target == service,
            None => host.service == *service && host.state != State::Down,
        };
        let stays = |host: &&Host| pool(host) && !self.tasks.contains_key(&host.name);
        let stay = self.hosts.values().filter(stays).count();
        let comes = |kind: &Operation| *kind == Operation::Move(service.clone());
        stay + self.tasks.values().filter(|task| comes(&task.kind)).count()
    }

    /// Gets the hosts that a pool has, needs and wants.
    fn count(&self, service: &ids::Service) -> Count {
        let has = self.has(service);
        let Some(load) = self.loads.get(service) else {
            return Count {
                service: service.clone(),
                has,
                needs: has,
                base: has,
                wants: has,
            };
        };
        let size = self.size(service).max(1);
        let most = self.hosts.len();
        let hosts = |cpu: u64| usize::try_from(cpu.div_ceil(size)).unwrap_or(most);
        let spread = load.min_hosts as usize;
        let needs = hosts(firm(load)).max(spread + KEPT).min(most);
        let base = needs.max(spread + RESERVE).min(most);
        let growth = hosts(self.balance.demand.growth(service));
        let growth = growth.min(most * GROWTH_MOST_PERCENT / 100);
        let margin = asked(load) * MARGIN_PERCENT / 100;
        let passing = hosts(load.long_running + asked(load) + margin) + growth;
        Count {
            service: service.clone(),
            has,
            needs,
            base,
            wants: passing.max(base).min(most),
        }
    }

    /// Gets the processor time of a host of a pool.
    fn size(&self, service: &ids::Service) -> u64 {
        let own = self.hosts.values().filter(|host| host.service == *service);
        let sizes = own.map(|host| host.resources.cpu_millicores);
        sizes
            .max()
            .or_else(|| {
                self.hosts
                    .values()
                    .map(|host| host.resources.cpu_millicores)
                    .max()
            })
            .unwrap_or(1)
    }

    fn spare_hosts(&self, spare: &ids::Service) -> Vec<ids::Host> {
        let free = |host: &&Host| {
            host.service == *spare
                && host.state == State::Up
                && !self.balance.moving.contains_key(&host.name)
                && !self.tasks.contains_key(&host.name)
        };
        let mut hosts: Vec<ids::Host> = self
            .hosts
            .values()
            .filter(free)
            .map(|host| host.name.clone())
            .collect();
        hosts.sort();
        hosts
    }

    /// Gets the hosts of a pool whose workers run no lasting task, the least busy first.
    fn light_hosts(&self, service: &ids::Service, busy: bool) -> Vec<ids::Host> {
        let Some(load) = self.loads.get(service) else {
            return Vec::new();
        };
        let host = |worker: &ids::Worker| {
            self.hosts.values().find(|host| {
                host.service == *service
                    && host.state == State::Up
                    && host.worker.as_ref() == Some(worker)
                    && !self.balance.moving.contains_key(&host.name)
                    && !self.tasks.contains_key(&host.name)
            })
        };
        let light = load
            .least_loaded
            .iter()
            .filter(|(_, used)| busy || *used == 0);
        light
            .filter_map(|(worker, _)| Some(host(worker)?.name.clone()))
            .collect()
    }
}

/// `Loans` is how many hosts each service lends in a round.
type Loans = Map<ids::Service, usize>;

/// `Reason` is why hosts move between two pools.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reason {
    /// Work waits, so hosts that are at work move too.
    Waiting,
    /// Demand grows, so idle hosts move.
    Growing,
}

/// `Count` is the hosts of a pool.
struct Count {
    service: ids::Service,
    /// Hosts that it has, or soon has.
    has: usize,
    /// Hosts that its work needs now.
    needs: usize,
    /// Hosts that it needs now, and its reserve.
    base: usize,
    /// Hosts that it wants as its demand grows.
    wants: usize,
}

/// Gets the processor time that a service's work needs now, in thousandths of a core.
fn firm(load: &Load) -> u64 {
    let horizon = u64::try_from(HORIZON.as_millis()).unwrap_or(1);
    load.long_running + load.used + load.backlog * 1_000 / horizon
}
