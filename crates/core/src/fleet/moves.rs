//! Moves of hosts between the spare pool and the pools of services.
//!
//! A pool with a deficit gets hosts at once. A pool returns surplus hosts to the spare pool only after a
//! delay, so that a lost host that returns soon causes no second move.

use std::cmp::Reverse;
use std::time::Instant;

use super::claim::weight;
use super::manager::Subject;
use super::{Action, Manager};
use crate::ids;
use crate::map::Map;
use crate::record::{Body, Phase};
use crate::state::{Host, SPARE, Wave};

/// Hosts above its budget that a service must have before a service below its budget borrows one.
const MIN_LENDER_SURPLUS: u32 = 2;

impl Manager {
    /// Moves hosts between a held pool and other pools towards its desired number of hosts.
    pub(crate) fn balance(
        &mut self,
        now: Instant,
        pool: &ids::Pool,
        term: ids::Term,
        actions: &mut Vec<Action>,
    ) {
        self.enforce_pins(pool, term, actions);
        let spare = ids::Pool::from_static(SPARE);
        if *pool == spare {
            return;
        }
        let host_count = self.host_count(pool);
        let required = self.required_hosts(pool);
        let target = self.view.pools.get(pool).map_or(0, |entry| entry.target);
        let desired = required.max(target);
        let has_surplus = host_count > desired;
        // A lost host that is expected back is replaced only if the required number of hosts needs it.
        let deficit = required.saturating_sub(host_count);
        let deficit =
            deficit.max(target.saturating_sub(host_count + self.expected_back(now, pool)));
        let review = self.reviews.entry(pool.clone()).or_default();
        if !has_surplus {
            review.surplus_since = None;
        }
        if deficit > 0 {
            let mut hosts = self.choose_moves(&spare, pool, deficit);
            if hosts.is_empty() && self.is_below_budget(pool) {
                hosts.extend(self.borrow(pool));
            }
            for host in hosts {
                self.move_host(&host, pool, term, actions);
            }
        } else if has_surplus {
            let since = *review.surplus_since.get_or_insert(now);
            let is_delay_over = now.saturating_duration_since(since) >= self.options.surplus_delay;
            // A surplus during a running wave means that the wave no longer needs the hosts lent to it.
            let has_running_wave = self.running_waves(pool).next().is_some();
            if is_delay_over || has_running_wave || self.has_deficit_elsewhere(pool) {
                for host in self.choose_moves(pool, &spare, host_count - desired) {
                    self.move_host(&host, &spare, term, actions);
                }
            }
        }
    }

    /// Counts the hosts of a pool that serve, are under maintenance or are moving to it.
    fn host_count(&self, pool: &ids::Pool) -> u32 {
        let out = self.view.out_of_service_in(pool);
        let under_maintenance = out.filter(|(_, host)| host.wave().is_some()).count();
        let incoming = self.pending_moves.values().filter(|to| *to == pool).count();
        self.view.serving_in(pool) + u32::try_from(under_maintenance + incoming).unwrap_or(u32::MAX)
    }

    fn running_waves<'a>(&'a self, pool: &'a ids::Pool) -> impl Iterator<Item = &'a Wave> {
        let waves = self.view.waves.values();
        waves.filter(move |wave| wave.pool == *pool && wave.phase == Phase::Running)
    }

    /// Counts the lost hosts of a pool that may still return within the repair time.
    fn expected_back(&self, now: Instant, pool: &ids::Pool) -> u32 {
        let lost = self
            .view
            .out_of_service_in(pool)
            .filter(|(_, host)| host.wave().is_none());
        let recent = lost.filter(|(name, _)| {
            let watch = self.watches.get(*name);
            watch.is_some_and(|watch| {
                now.saturating_duration_since(watch.started_at) < self.options.repair_time
            })
        });
        u32::try_from(recent.count()).unwrap_or(u32::MAX)
    }

    /// Returns the number of hosts that a pool needs at any time.
    ///
    /// They cover the budget of its service and the loss of its largest rack, and a whole batch while a wave
    /// has work.
    fn required_hosts(&self, pool: &ids::Pool) -> u32 {
        let Some(entry) = self.view.pools.get(pool) else {
            return 0;
        };
        let Some(service) = entry.service.as_ref().filter(|_| entry.target > 0) else {
            return 0;
        };
        let running = self.running_waves(pool);
        let with_work = running.filter(|wave| self.has_work(wave));
        let batch = with_work.map(|wave| wave.batch).max();
        let elsewhere = self.view.serving_hosts(service) - self.view.serving_in(pool);
        let reserve = self.view.budget(service) + self.view.largest_rack_size(service);
        let required = reserve.saturating_sub(elsewhere);
        match batch {
            Some(batch) => required + batch,
            None => required.min(entry.target),
        }
    }

    /// Checks if another pool has a deficit while the spare pool is empty.
    fn has_deficit_elsewhere(&self, pool: &ids::Pool) -> bool {
        let has_deficit =
            |name: &ids::Pool| name != pool && self.host_count(name) < self.required_hosts(name);
        self.view.serving_in(&SPARE.into()) == 0
            && self
                .view
                .pools
                .keys()
                .any(|name| &**name != SPARE && has_deficit(name))
    }

    /// Checks if a pool is below its target and a move to it is in flight or the spare pool can lend.
    pub(crate) fn is_awaiting_hosts(&self, pool: &ids::Pool) -> bool {
        let target = self.view.pools.get(pool).map_or(0, |entry| entry.target);
        let present = u32::try_from(self.view.hosts_of(pool).count()).unwrap_or(u32::MAX);
        let has_incoming = self.pending_moves.values().any(|to| to == pool);
        present < target && (has_incoming || self.view.serving_in(&SPARE.into()) > 0)
    }

    /// Returns the number of hosts that a pool has above its target in the sheet.
    pub(crate) fn surplus_hosts(&self, pool: &ids::Pool) -> usize {
        let target = self.view.pools.get(pool).map_or(0, |entry| entry.target);
        usize::try_from(self.host_count(pool).saturating_sub(target)).unwrap_or(usize::MAX)
    }

    fn is_below_budget(&self, pool: &ids::Pool) -> bool {
        let service = self.view.pools.get(pool).and_then(|p| p.service.as_ref());
        service.is_some_and(|service| self.view.serving_hosts(service) < self.view.budget(service))
    }

    /// Returns a host to borrow from the service with the most hosts above its budget.
    fn borrow(&self, pool: &ids::Pool) -> Option<ids::Host> {
        let surplus = |(name, entry): (&ids::Pool, &crate::state::Pool)| {
            let service = entry.service.as_ref().filter(|_| name != pool)?;
            let surplus = self
                .view
                .serving_hosts(service)
                .checked_sub(self.view.budget(service))?;
            (surplus >= MIN_LENDER_SURPLUS).then(|| (surplus, Reverse(name.clone())))
        };
        let (_, Reverse(lender)) = self.view.pools.iter().filter_map(surplus).max()?;
        self.choose_moves(&lender, pool, 1).into_iter().next()
    }

    /// Moves pinned hosts from or to a held pool if they are in the wrong pool.
    fn enforce_pins(&mut self, pool: &ids::Pool, term: ids::Term, actions: &mut Vec<Action>) {
        let pins = self.view.pins.iter();
        let misplaced = pins.filter(|(name, to)| {
            let host = self.view.hosts.get(*name);
            host.is_some_and(|h| h.pool != **to && (h.pool == *pool || *to == pool))
        });
        let mut misplaced: Vec<(ids::Host, ids::Pool)> = misplaced
            .map(|(name, to)| (name.clone(), to.clone()))
            .collect();
        misplaced.sort();
        for (name, to) in misplaced {
            let is_outside_wave = self
                .view
                .hosts
                .get(&name)
                .is_some_and(|h| h.wave().is_none());
            if is_outside_wave {
                self.move_host(&name, &to, term, actions);
            }
        }
    }

    fn move_host(
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
            self.pending_moves.insert(name.clone(), to.clone());
        }
        self.append(Subject::Host(name.clone()), body, actions);
    }

    /// Chooses serving hosts to move, so that the pool that is not the spare pool stays spread over racks
    /// and zones.
    pub(crate) fn choose_moves(
        &self,
        from: &ids::Pool,
        to: &ids::Pool,
        count: u32,
    ) -> Vec<ids::Host> {
        let is_growing = **from == *SPARE || **to != *SPARE;
        let pool = if is_growing { to } else { from };
        let mut racks: Map<&ids::Rack, i64> = Map::default();
        let mut zones: Map<&ids::Zone, i64> = Map::default();
        let incoming = self.pending_moves.iter().filter(|(_, to)| *to == pool);
        let incoming = incoming.filter_map(|(name, _)| self.view.hosts.get(name));
        for host in self
            .view
            .hosts_of(pool)
            .map(|(_, host)| host)
            .chain(incoming)
        {
            *racks.entry(&host.rack).or_default() += 1;
            *zones.entry(&host.zone).or_default() += 1;
        }
        let is_free = |(name, host): &(&ids::Host, &Host)| {
            let pin = self.view.pins.get(*name);
            let is_pinned_elsewhere = pin.is_some_and(|pin| pin != to);
            host.is_serving() && !is_pinned_elsewhere && !self.is_host_pending(name)
        };
        let latest_wave_offset = self.view.waves.values().filter(|wave| wave.pool == *from);
        let latest_wave_offset = latest_wave_offset
            .map(|wave| wave.sheet_offset)
            .max()
            .unwrap_or(0);
        let mut candidates: Vec<_> = self.view.hosts_of(from).filter(is_free).collect();
        let limit = self
            .options
            .max_moves
            .min(usize::try_from(count).unwrap_or(usize::MAX));
        let mut chosen = Vec::new();
        while chosen.len() < limit {
            let spread = |host: &Host| {
                let (rack, zone) = (racks.get(&host.rack), zones.get(&host.zone));
                (rack.copied().unwrap_or(0), zone.copied().unwrap_or(0))
            };
            // The weight breaks ties, so that pools that grow at the same time choose different hosts.
            let key = |(_, (name, host)): &(usize, &(&ids::Host, &Host))| {
                let (rack, zone) = spread(host);
                let sign = if is_growing { 1 } else { -1 };
                // Hosts that the latest wave of the pool did not maintain move first.
                let is_maintained = !is_growing && host.maintained_offset >= latest_wave_offset;
                (is_maintained, sign * rack, sign * zone, weight(pool, name))
            };
            let Some(index) = candidates
                .iter()
                .enumerate()
                .min_by_key(key)
                .map(|(index, _)| index)
            else {
                break;
            };
            let (name, host) = candidates.swap_remove(index);
            let change = if is_growing { 1 } else { -1 };
            *racks.entry(&host.rack).or_default() += change;
            *zones.entry(&host.zone).or_default() += change;
            chosen.push(name.clone());
        }
        chosen
    }
}
