//! Moves between the spare pool and the pools of services.
//!
//! A pool that lacks hosts gets them at once; a pool that has too many gives them away only after
//! it had them for a while, so that a host that returns a little later causes no second move.

use std::cmp::Reverse;
use std::time::Instant;

use super::claim::weight;
use super::manager::Subject;
use super::{Action, Manager};
use crate::ids;
use crate::map::Map;
use crate::record::{Body, Phase};
use crate::state::{Host, SPARE, Wave};

/// Hosts that a service keeps above its promise when another below its promise takes one.
const DONOR_SLACK: u32 = 2;

impl Manager {
    /// Moves hosts between a held pool and others until the pool has its size.
    pub(crate) fn balance(
        &mut self,
        now: Instant,
        pool: &ids::Pool,
        term: ids::Term,
        actions: &mut Vec<Action>,
    ) {
        self.follow_pins(pool, term, actions);
        let spare = ids::Pool::from_static(SPARE);
        if *pool == spare {
            return;
        }
        let have = self.size(pool);
        let floor = self.floor(pool);
        let target = self.view.pools.get(pool).map_or(0, |entry| entry.target);
        let wanted = floor.max(target);
        let surplus = have > wanted;
        // A lost host that is expected back is replaced only when the floor needs it.
        let lacking = floor.saturating_sub(have);
        let lacking = lacking.max(target.saturating_sub(have + self.expected(now, pool)));
        let review = self.reviews.entry(pool.clone()).or_default();
        if !surplus {
            review.surplus = None;
        }
        if lacking > 0 {
            let mut hosts = self.candidates(&spare, pool, lacking);
            if hosts.is_empty() && self.is_below_promise(pool) {
                hosts.extend(self.borrow(pool));
            }
            for host in hosts {
                self.transfer(&host, pool, term, actions);
            }
        } else if surplus {
            let since = *review.surplus.get_or_insert(now);
            let settled = now.saturating_duration_since(since) >= self.options.surplus_delay;
            // A wave without work left has no use for the hosts lent to it.
            let unused = self.running(pool).next().is_some();
            if settled || unused || self.is_wanted_elsewhere(pool) {
                for host in self.candidates(pool, &spare, have - wanted) {
                    self.transfer(&host, &spare, term, actions);
                }
            }
        }
    }

    /// Gets the hosts of a pool that serve or are expected back from maintenance, with the moves
    /// to it that are under way.
    fn size(&self, pool: &ids::Pool) -> u32 {
        let out = self.view.out_of_service_in(pool);
        let out = out.filter(|(_, host)| host.wave().is_some()).count();
        let coming = self.coming.values().filter(|to| *to == pool).count();
        self.view.serving_in(pool) + u32::try_from(out + coming).unwrap_or(u32::MAX)
    }

    fn running<'a>(&'a self, pool: &'a ids::Pool) -> impl Iterator<Item = &'a Wave> {
        let waves = self.view.waves.values();
        waves.filter(move |wave| wave.pool == *pool && wave.phase == Phase::Running)
    }

    /// Gets the lost hosts of a pool that may be back after a short repair.
    fn expected(&self, now: Instant, pool: &ids::Pool) -> u32 {
        let lost = self
            .view
            .out_of_service_in(pool)
            .filter(|(_, host)| host.wave().is_none());
        let recent = lost.filter(|(name, _)| {
            let watch = self.watches.get(*name);
            watch.is_some_and(|watch| {
                now.saturating_duration_since(watch.started) < self.options.repair_time
            })
        });
        u32::try_from(recent.count()).unwrap_or(u32::MAX)
    }

    /// Gets the hosts that a pool needs at any time: those of its service's promise and of its
    /// largest rack, and during a wave as many as let a whole batch go.
    fn floor(&self, pool: &ids::Pool) -> u32 {
        let Some(entry) = self.view.pools.get(pool) else {
            return 0;
        };
        let Some(service) = entry.service.as_ref().filter(|_| entry.target > 0) else {
            return 0;
        };
        let running = self.running(pool);
        let working = running.filter(|wave| self.has_work(wave));
        let batch = working.map(|wave| wave.batch).max();
        let elsewhere = self.view.serving_hosts(service) - self.view.serving_in(pool);
        let reserve = self.view.budget(service) + self.view.largest_rack_size(service);
        let floor = reserve.saturating_sub(elsewhere);
        match batch {
            Some(batch) => floor + batch,
            None => floor.min(entry.target),
        }
    }

    /// Gets whether another pool lacks a host and the spare pool has none.
    fn is_wanted_elsewhere(&self, pool: &ids::Pool) -> bool {
        let lacks = |name: &ids::Pool| name != pool && self.size(name) < self.floor(name);
        self.view.serving_in(&SPARE.into()) == 0
            && self
                .view
                .pools
                .keys()
                .any(|name| &**name != SPARE && lacks(name))
    }

    /// Gets whether a pool lacks hosts that are on the way to it or that the spare pool can give.
    pub(crate) fn is_filling(&self, pool: &ids::Pool) -> bool {
        let target = self.view.pools.get(pool).map_or(0, |entry| entry.target);
        let present = u32::try_from(self.view.hosts_of(pool).count()).unwrap_or(u32::MAX);
        let coming = self.coming.values().any(|to| to == pool);
        present < target && (coming || self.view.serving_in(&SPARE.into()) > 0)
    }

    /// Gets the hosts that a pool has above those that the sheet asks for.
    pub(crate) fn surplus(&self, pool: &ids::Pool) -> usize {
        let target = self.view.pools.get(pool).map_or(0, |entry| entry.target);
        usize::try_from(self.size(pool).saturating_sub(target)).unwrap_or(usize::MAX)
    }

    fn is_below_promise(&self, pool: &ids::Pool) -> bool {
        let service = self.view.pools.get(pool).and_then(|p| p.service.as_ref());
        service.is_some_and(|service| self.view.serving_hosts(service) < self.view.budget(service))
    }

    /// Gets a host of the service with most hosts above its promise, for one below its own.
    fn borrow(&self, pool: &ids::Pool) -> Option<ids::Host> {
        let slack = |(name, entry): (&ids::Pool, &crate::state::Pool)| {
            let service = entry.service.as_ref().filter(|_| name != pool)?;
            let slack = self
                .view
                .serving_hosts(service)
                .checked_sub(self.view.budget(service))?;
            (slack >= DONOR_SLACK).then(|| (slack, Reverse(name.clone())))
        };
        let (_, Reverse(donor)) = self.view.pools.iter().filter_map(slack).max()?;
        self.candidates(&donor, pool, 1).into_iter().next()
    }

    /// Moves the pinned hosts that a held pool has or should have.
    fn follow_pins(&mut self, pool: &ids::Pool, term: ids::Term, actions: &mut Vec<Action>) {
        let pins = self.view.pins.iter();
        let wrong = pins.filter(|(name, to)| {
            let host = self.view.hosts.get(*name);
            host.is_some_and(|h| h.pool != **to && (h.pool == *pool || *to == pool))
        });
        let mut wrong: Vec<(ids::Host, ids::Pool)> =
            wrong.map(|(name, to)| (name.clone(), to.clone())).collect();
        wrong.sort();
        for (name, to) in wrong {
            let free = self
                .view
                .hosts
                .get(&name)
                .is_some_and(|h| h.wave().is_none());
            if free {
                self.transfer(&name, &to, term, actions);
            }
        }
    }

    fn transfer(
        &mut self,
        name: &ids::Host,
        to: &ids::Pool,
        term: ids::Term,
        actions: &mut Vec<Action>,
    ) {
        let Some(host) = self.view.hosts.get(name) else {
            return;
        };
        let body = Body::Move {
            host: name.clone(),
            from: host.pool.clone(),
            to: to.clone(),
            revision: host.revision,
            term,
        };
        if !self.is_host_pending(name) {
            self.coming.insert(name.clone(), to.clone());
        }
        self.append(Subject::Host(name.clone()), body, actions);
    }

    /// Gets serving hosts to move so that the pool of the service spreads over racks and zones.
    pub(crate) fn candidates(
        &self,
        from: &ids::Pool,
        to: &ids::Pool,
        wanted: u32,
    ) -> Vec<ids::Host> {
        let grows = **from == *SPARE || **to != *SPARE;
        let pool = if grows { to } else { from };
        let mut racks: Map<&ids::Rack, i64> = Map::default();
        let mut zones: Map<&ids::Zone, i64> = Map::default();
        let coming = self.coming.iter().filter(|(_, to)| *to == pool);
        let coming = coming.filter_map(|(name, _)| self.view.hosts.get(name));
        for host in self.view.hosts_of(pool).map(|(_, host)| host).chain(coming) {
            *racks.entry(&host.rack).or_default() += 1;
            *zones.entry(&host.zone).or_default() += 1;
        }
        let free = |(name, host): &(&ids::Host, &Host)| {
            let pin = self.view.pins.get(*name);
            let pinned = pin.is_some_and(|pin| pin != to);
            host.is_serving() && !pinned && !self.is_host_pending(name)
        };
        let since = self.view.waves.values().filter(|wave| wave.pool == *from);
        let since = since.map(|wave| wave.sheet_offset).max().unwrap_or(0);
        let mut open: Vec<_> = self.view.hosts_of(from).filter(free).collect();
        let limit = self
            .options
            .max_moves
            .min(usize::try_from(wanted).unwrap_or(usize::MAX));
        let mut chosen = Vec::new();
        while chosen.len() < limit {
            let count = |host: &Host| {
                let (rack, zone) = (racks.get(&host.rack), zones.get(&host.zone));
                (rack.copied().unwrap_or(0), zone.copied().unwrap_or(0))
            };
            // Pools that grow at the same time start from different hosts.
            let key = |(_, (name, host)): &(usize, &(&ids::Host, &Host))| {
                let (rack, zone) = count(host);
                let sign = if grows { 1 } else { -1 };
                // A pool gives away first what its latest wave did not maintain.
                let maintained = !grows && host.maintained_offset >= since;
                (maintained, sign * rack, sign * zone, weight(pool, name))
            };
            let Some(at) = open.iter().enumerate().min_by_key(key).map(|(at, _)| at) else {
                break;
            };
            let (name, host) = open.swap_remove(at);
            let change = if grows { 1 } else { -1 };
            *racks.entry(&host.rack).or_default() += change;
            *zones.entry(&host.zone).or_default() += change;
            chosen.push(name.clone());
        }
        chosen
    }
}
