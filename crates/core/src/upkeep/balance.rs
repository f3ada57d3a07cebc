//! Moves of hosts between pools, according to the demand of the services.
//!
//! Load pattern: the services peak one after another. At its peak a service needs several times its mean,
//! more than its own pool has, while the others are idle. Hosts therefore move to the pool that lacks them,
//! from the spare pool first, and idle hosts return to the spare pool when no service needs them.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use super::event::{Action, Operation};
use super::history::History;
use super::host::{Host, State};
use super::planner::Planner;
use super::sizing::Sizing;
use crate::ids;
use crate::journal::Load;
use crate::map::Map;

/// Time for which a pool has a surplus of hosts before one returns to the spare pool. A move costs about
/// as much as a host that is idle for a second.
const SURPLUS_DELAY: Duration = Duration::from_millis(1_200);
/// Time for which the hosts of a turn that has ended stay, if the next turn is expected within it or at an unknown time:
/// they are at the next service after one move rather than two.
const HANDOVER_TIME: Duration = Duration::from_secs(4);

/// Age of a load up to which a surplus counts by it: leaders report each 400 ms.
const MAX_LOAD_AGE: Duration = Duration::from_secs(1);
/// Time after which a move that did not complete is ignored, and the host counts for the pool that the
/// host list names.
const MOVE_TIMEOUT: Duration = Duration::from_secs(5);

/// `Balance` is the state kept between two rounds of planning moves.
#[derive(Debug, Default)]
pub(super) struct Balance {
    /// Time since which each service with a surplus of hosts has had it.
    surplus_since: Map<ids::Service, Instant>,
    /// Time of the latest load of each service.
    pub(super) reported_at: Map<ids::Service, Instant>,
    /// Hosts that are moving, with their new pool and the time of the command.
    pub(super) moving: Map<ids::Host, (ids::Service, Instant)>,
    /// Recent demand of the services.
    pub(super) history: History,
    /// Services whose turn is about to start, with the demand for which hosts are kept ready, in millicores.
    pub(super) upcoming: Map<ids::Service, u64>,
}

impl Balance {
    /// Creates the state of a new term.
    pub(super) fn new(history: History) -> Self {
        Self {
            history,
            ..Self::default()
        }
    }

    /// Checks if a host is on its way to another pool.
    pub(super) fn is_moving(&self, host: &ids::Host) -> bool {
        self.moving.contains_key(host)
    }

    /// Records that a host started to move to a pool.
    pub(super) fn record_move(&mut self, now: Instant, host: &ids::Host, service: &ids::Service) {
        self.moving.insert(host.clone(), (service.clone(), now));
    }

    /// Ends the move of a host that the host list has in its new pool, or whose move timed out.
    pub(super) fn update_move(&mut self, now: Instant, host: &Host) {
        let has_ended = |(service, started_at): &(ids::Service, Instant)| {
            let is_overdue = now.saturating_duration_since(*started_at) > MOVE_TIMEOUT;
            is_overdue || (host.state == State::Up && host.service == *service)
        };
        if self.moving.get(&host.name).is_some_and(has_ended) {
            self.moving.remove(&host.name);
        }
    }
}

impl Planner {
    /// Updates the services whose turn is about to start.
    pub(super) fn foresee_turns(&mut self, now: Instant) {
        let services = self.config.services.iter();
        let services = services.filter(|service| !service.is_spare);
        let services: Vec<ids::Service> = services.map(|service| service.name.clone()).collect();
        let upcoming = self.balance.history.turns.upcoming(now, &services);
        self.balance.upcoming = upcoming.into_iter().collect();
    }

    /// Starts the moves that the demand of the services requires.
    pub(super) fn plan_moves(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(spare) = self.spare() else {
            return;
        };
        let service_names = self.loads.keys().filter(|service| !self.is_spare(service));
        let services: Vec<ids::Service> = service_names.cloned().collect();
        let pools = self.pools();
        let sizings = services.iter().map(|service| self.sizing(service, &pools));
        let mut sizings: Vec<Sizing> = sizings.collect();
        // The service with the highest demand for its processor time comes first.
        sizings.sort_by_key(|sizing| {
            Reverse((self.demand_percent(&sizing.service), sizing.service.clone()))
        });
        let mut moves: Vec<(ids::Host, ids::Service)> = Vec::new();
        let mut spare_hosts = self.spare_hosts(&spare);
        // The required hosts and reserves of all services come before the growth of any.
        for sizing in &sizings {
            for _ in sizing.host_count..sizing.reserved {
                moves.extend(spare_hosts.pop().map(|host| (host, sizing.service.clone())));
            }
        }
        // Services of the same demand, such as those of which one may have the next turn, get hosts in turn.
        let mut growth: Vec<(Reverse<u64>, usize, ids::Service)> = Vec::new();
        for sizing in &sizings {
            let demand = self.demand_percent(&sizing.service);
            for host in sizing.host_count.max(sizing.reserved)..sizing.desired {
                growth.push((Reverse(demand), host, sizing.service.clone()));
            }
        }
        growth.sort();
        for (_, _, service) in growth {
            moves.extend(spare_hosts.pop().map(|host| (host, service)));
        }
        // To services with waiting work, a service lends idle and busy hosts above its required ones; to
        // services with growing demand, only idle hosts above its desired ones.
        let mut lent = Loans::default();
        self.lend(&sizings, Reason::Waiting, &mut lent, &mut moves);
        self.lend(&sizings, Reason::Growing, &mut lent, &mut moves);
        for sizing in &sizings {
            moves.extend(self.surplus_moves(now, sizing, &lent, &spare));
        }
        for (host, service) in moves {
            self.start_transition(now, &host, Operation::Move(service), actions);
        }
    }

    /// Moves hosts from pools with a surplus to pools with a deficit.
    fn lend(
        &self,
        sizings: &[Sizing],
        reason: Reason,
        lent: &mut Loans,
        moves: &mut Vec<(ids::Host, ids::Service)>,
    ) {
        // A borrower gets hosts up to this number, and a lender keeps this number.
        let target_hosts = |sizing: &Sizing| match reason {
            Reason::Waiting => sizing.required,
            Reason::Growing => sizing.desired,
        };
        let includes_busy = reason == Reason::Waiting;
        let mut movable: Map<ids::Service, Vec<ids::Host>> = Map::default();
        for sizing in sizings {
            let incoming = moves.iter().filter(|(_, to)| *to == sizing.service).count();
            for _ in sizing.host_count + incoming..target_hosts(sizing) {
                let mut lend_host = |other: &Sizing| {
                    let lent_count = lent.get(&other.service).copied().unwrap_or(0);
                    if other.service == sizing.service
                        || other.host_count <= target_hosts(other) + lent_count
                    {
                        return None;
                    }
                    let hosts = movable
                        .entry(other.service.clone())
                        .or_insert_with(|| self.movable_hosts(&other.service, includes_busy));
                    let host = hosts.get(lent_count).cloned()?;
                    lent.insert(other.service.clone(), lent_count + 1);
                    Some(host)
                };
                // The service with the lowest demand for its processor time lends first.
                let Some(host) = sizings.iter().rev().find_map(&mut lend_host) else {
                    break;
                };
                moves.push((host, sizing.service.clone()));
            }
        }
    }

    /// Returns the idle hosts that a service returns to the spare pool, once its surplus has lasted for
    /// `SURPLUS_DELAY`.
    fn surplus_moves(
        &mut self,
        now: Instant,
        sizing: &Sizing,
        lent: &Loans,
        spare: &ids::Service,
    ) -> Vec<(ids::Host, ids::Service)> {
        let lent_count = lent.get(&sizing.service).copied().unwrap_or(0);
        let surplus = sizing
            .host_count
            .saturating_sub(sizing.desired + lent_count);
        // Idle hosts in an old load say nothing: the work of a turn may wait for a leader that is held up.
        let reported_at = self.balance.reported_at.get(&sizing.service);
        let is_old = reported_at.is_none_or(|at| *at + MAX_LOAD_AGE < now);
        if surplus == 0 || is_old {
            self.balance.surplus_since.remove(&sizing.service);
            return Vec::new();
        }
        let since = *self
            .balance
            .surplus_since
            .entry(sizing.service.clone())
            .or_insert(now);
        let turns = &self.balance.history.turns;
        let delay = if turns.awaits_successor(now, &sizing.service, HANDOVER_TIME) {
            HANDOVER_TIME
        } else {
            SURPLUS_DELAY
        };
        if now.saturating_duration_since(since) < delay {
            return Vec::new();
        }
        let hosts = self
            .movable_hosts(&sizing.service, false)
            .into_iter()
            .skip(lent_count);
        hosts
            .take(surplus)
            .map(|host| (host, spare.clone()))
            .collect()
    }

    /// Returns the host count, the desired hosts and the load of each service, for the log.
    #[must_use]
    pub fn demands(&self) -> Vec<(usize, usize, &Load)> {
        let pools = self.pools();
        let served = self
            .loads
            .values()
            .filter(|load| !self.is_spare(&load.service));
        served
            .map(|load| {
                let sizing = self.sizing(&load.service, &pools);
                (sizing.host_count, sizing.desired, load)
            })
            .collect()
    }

    fn spare(&self) -> Option<ids::Service> {
        let spare = self.config.services.iter().find(|service| service.is_spare);
        spare.map(|service| service.name.clone())
    }

    fn spare_hosts(&self, spare: &ids::Service) -> Vec<ids::Host> {
        let is_free = |host: &&Host| {
            host.service == *spare
                && host.state == State::Up
                && !self.balance.is_moving(&host.name)
                && !self.transitions.contains_key(&host.name)
        };
        let mut hosts: Vec<ids::Host> = self
            .hosts
            .values()
            .filter(is_free)
            .map(|host| host.name.clone())
            .collect();
        // The last one moves first.
        hosts.sort_by_key(|host| {
            let is_due = self.awaits_maintenance(host);
            (
                Reverse(is_due),
                Reverse(self.setbacks.get(host)),
                host.clone(),
            )
        });
        hosts
    }

    /// Returns the hosts of a pool whose workers run no long-running task, the least busy first; without
    /// `includes_busy` only idle ones.
    fn movable_hosts(&self, service: &ids::Service, includes_busy: bool) -> Vec<ids::Host> {
        let Some(load) = self.loads.get(service) else {
            return Vec::new();
        };
        let may_move = |host: &&Host| {
            host.service == *service
                && host.state == State::Up
                && !self.balance.is_moving(&host.name)
                && !self.transitions.contains_key(&host.name)
        };
        let hosts = self.hosts.values().filter(may_move);
        let host_by_worker: Map<&ids::Worker, &ids::Host> = hosts
            .filter_map(|host| Some((host.worker.as_ref()?, &host.name)))
            .collect();
        let movable = load
            .short_running_workers
            .iter()
            .filter(|(_, used)| includes_busy || *used == 0);
        let hosts = movable.filter_map(|(worker, _)| host_by_worker.get(worker).copied());
        let mut hosts: Vec<ids::Host> = hosts.cloned().collect();
        hosts.sort_by_key(|host| (self.awaits_maintenance(host), self.setbacks.get(host)));
        hosts
    }
}

/// `Loans` is the number of hosts that each service lends in a round.
type Loans = Map<ids::Service, usize>;

/// `Reason` is why a service borrows hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reason {
    /// Work waits, so busy hosts move too.
    Waiting,
    /// Demand is going to grow, so only idle hosts move.
    Growing,
}
