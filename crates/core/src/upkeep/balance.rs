//! Hosts follow the demand of the services.
//!
//! Load pattern: the queues' demand comes by turns. Each asks in its time for several times its mean,
//! more than its own pool holds, while the others are idle. Hosts that run nothing go to the pool that
//! lacks room, from the spare pool first, and back to it when nobody needs them.

use std::time::{Duration, Instant};

use super::event::{Action, Kind};
use super::host::{Host, State};
use super::planner::Planner;
use crate::ids;
use crate::journal::Load;
use crate::map::Map;

/// Time in which waiting work should be done.
const HORIZON: Duration = Duration::from_millis(400);
/// Room beyond the demand seen, in percent: demand grows while hosts move.
const GROWTH_PERCENT: u64 = 250;
/// Hosts of a pool beyond what its lasting tasks need, so that a turn can begin.
const RESERVE: usize = 4;
/// Time for which a pool must have too many hosts before one leaves it; a move costs about as much as
/// a host that idles for a second.
const IDLE: Duration = Duration::from_millis(2500);

/// Time after which a host that did not arrive counts where the list has it.
const ARRIVAL: Duration = Duration::from_secs(5);

/// `Balance` is what is kept between two rounds.
#[derive(Debug, Default)]
pub(super) struct Balance {
    /// Time since which a service has more hosts than it needs.
    surplus: Map<ids::Service, Instant>,
    /// Hosts on their way to a pool, with the time of the order.
    moving: Map<ids::Host, (ids::Service, Instant)>,
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
        if self.moving.get(&host.host).is_some_and(arrived) {
            self.moving.remove(&host.host);
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
        let mut lacks: Vec<(u64, ids::Service, usize)> = Vec::new();
        let mut extras: Vec<(ids::Service, usize)> = Vec::new();
        for service in services {
            let (has, needs) = (self.has(&service), self.needs(&service));
            if has < needs {
                self.balance.surplus.remove(&service);
                lacks.push((self.press(&service), service, needs - has));
            } else if has > needs {
                self.balance.surplus.entry(service.clone()).or_insert(now);
                extras.push((service, has - needs));
            } else {
                self.balance.surplus.remove(&service);
            }
        }
        lacks.sort_by(|a, b| b.cmp(a));
        let mut moves: Vec<(ids::Host, ids::Service)> = Vec::new();
        let mut free = self.spare_hosts(&spare);
        let mut idle: Vec<ids::Host> = Vec::new();
        for (service, count) in &extras {
            idle.extend(self.idle_hosts(service).into_iter().take(*count));
        }
        for (_, service, count) in lacks {
            for _ in 0..count {
                let Some(host) = free.pop().or_else(|| idle.pop()) else {
                    break;
                };
                moves.push((host, service.clone()));
            }
        }
        for (service, count) in extras {
            let since = self.balance.surplus.get(&service).copied().unwrap_or(now);
            if now.saturating_duration_since(since) < IDLE {
                continue;
            }
            let hosts = self.idle_hosts(&service).into_iter().take(count);
            let hosts = hosts.filter(|host| idle.contains(host));
            moves.extend(hosts.map(|host| (host, spare.clone())));
        }
        for (host, service) in moves {
            self.begin(now, &host, Kind::Move(service), actions);
        }
    }

    /// Gets for each service the hosts that it has and needs, with its load, for the log lines.
    #[must_use]
    pub fn demands(&self) -> Vec<(usize, usize, &Load)> {
        let served = self
            .loads
            .values()
            .filter(|load| !self.is_spare(&load.service));
        served
            .map(|load| (self.has(&load.service), self.needs(&load.service), load))
            .collect()
    }

    fn spare(&self) -> Option<ids::Service> {
        let spare = self.config.services.iter().find(|service| service.spare);
        spare.map(|service| service.name.clone())
    }

    /// Counts the hosts that a pool has, or soon has.
    fn has(&self, service: &ids::Service) -> usize {
        let moving = &self.balance.moving;
        let pool = |host: &Host| match moving.get(&host.host) {
            Some((target, _)) => target == service,
            None => host.service == *service && host.state != State::Down,
        };
        let stays = |host: &&Host| pool(host) && !self.tasks.contains_key(&host.host);
        let stay = self.hosts.values().filter(stays).count();
        let comes = |kind: &Kind| *kind == Kind::Move(service.clone());
        stay + self.tasks.values().filter(|task| comes(&task.kind)).count()
    }

    /// Gets the hosts that a pool needs.
    fn needs(&self, service: &ids::Service) -> usize {
        let Some(load) = self.loads.get(service) else {
            return 0;
        };
        let size = self.size(service).max(1);
        let most = self.hosts.len();
        let hosts = usize::try_from(demand(load).div_ceil(size)).unwrap_or(most);
        let least = load.spread as usize + RESERVE;
        hosts.max(least).min(most)
    }

    /// Gets the processor time of a host of a pool.
    fn size(&self, service: &ids::Service) -> u64 {
        let own = self.hosts.values().filter(|host| host.service == *service);
        let sizes = own.map(|host| host.room.cpu);
        sizes
            .max()
            .or_else(|| self.hosts.values().map(|host| host.room.cpu).max())
            .unwrap_or(1)
    }

    fn spare_hosts(&self, spare: &ids::Service) -> Vec<ids::Host> {
        let free = |host: &&Host| {
            host.service == *spare
                && host.state == State::Up
                && !self.balance.moving.contains_key(&host.host)
                && !self.tasks.contains_key(&host.host)
        };
        let mut hosts: Vec<ids::Host> = self
            .hosts
            .values()
            .filter(free)
            .map(|host| host.host.clone())
            .collect();
        hosts.sort();
        hosts
    }

    /// Gets the hosts of a pool whose workers run nothing.
    fn idle_hosts(&self, service: &ids::Service) -> Vec<ids::Host> {
        let Some(load) = self.loads.get(service) else {
            return Vec::new();
        };
        let idle = |host: &&Host| {
            host.service == *service
                && host.state == State::Up
                && !self.balance.moving.contains_key(&host.host)
                && !self.tasks.contains_key(&host.host)
                && host
                    .worker
                    .as_ref()
                    .is_some_and(|worker| load.idle.contains(worker))
        };
        let mut hosts: Vec<ids::Host> = self
            .hosts
            .values()
            .filter(idle)
            .map(|host| host.host.clone())
            .collect();
        hosts.sort();
        hosts
    }
}

/// Gets the processor time that a service should have, in thousandths of a core.
fn demand(load: &Load) -> u64 {
    let horizon = u64::try_from(HORIZON.as_millis()).unwrap_or(1);
    let backlog = load.used + load.waiting * 1_000 / horizon;
    let passing = load.used.max(load.offered) * GROWTH_PERCENT / 100;
    load.lasting + backlog.max(passing)
}
