//! Maintenance waves: batches of hosts within the availability budget.
//!
//! A wave takes a host out of service only while its service keeps its budget and, on top, as many serving
//! hosts as its largest rack has, so that the loss of any one rack during a batch is covered.

use super::manager::Subject;
use super::{Action, Manager};
use crate::ids;
use crate::map::Map;
use crate::record::{Body, Phase};
use crate::state::{Host, SPARE, Wave};

/// Number of hosts that may fail to return before a wave pauses, above those that its progress allows.
const FAILURES_ALLOWED: usize = 1;
/// Number of returned hosts that allow one further host to fail to return.
const RETURNS_PER_FAILURE: usize = 10;

impl Manager {
    /// Starts the drains that the oldest running wave of a held pool may start now.
    pub(crate) fn advance_waves(
        &mut self,
        pool: &ids::Pool,
        term: ids::Term,
        actions: &mut Vec<Action>,
    ) {
        let waves = self.view.waves.iter();
        let running = waves.filter(|(_, wave)| wave.pool == *pool && wave.phase == Phase::Running);
        let mut running: Vec<(ids::Wave, Wave)> = running
            .map(|(name, wave)| (name.clone(), wave.clone()))
            .collect();
        running.sort_by(|(a, x), (b, y)| (x.sheet_offset, a).cmp(&(y.sheet_offset, b)));
        // The waves of a pool run one after another; a host that the first one maintains counts for all.
        if let Some((name, wave)) = running.first() {
            self.advance_wave(name, wave, term, actions);
        }
    }

    fn advance_wave(
        &mut self,
        name: &ids::Wave,
        wave: &Wave,
        term: ids::Term,
        actions: &mut Vec<Action>,
    ) {
        let hosts = || self.view.hosts_of(&wave.pool);
        let maintained = hosts().filter(|(_, host)| host.maintained_offset >= wave.sheet_offset);
        let maintained_count = maintained.count();
        let failed = usize::try_from(wave.failed_count).unwrap_or(usize::MAX);
        if failed > 0
            && (maintained_count == 0
                || failed > FAILURES_ALLOWED + maintained_count / RETURNS_PER_FAILURE)
        {
            let reason = format!(
                "{failed} hosts did not return from maintenance, {maintained_count} did; find out \
                 why at one of them, then resume or abort the wave"
            );
            self.pause(name, reason, term, actions);
            return;
        }
        let (due, lent) = self.remaining(wave);
        let out = self.view.out_of_service_in(&wave.pool);
        let out = out.filter(|(_, host)| host.wave().is_some()).count();
        let has_pending_host = self.pending_hosts().any(|name| {
            let host = self.view.hosts.get(name);
            host.is_some_and(|host| host.pool == wave.pool)
        });
        if due.len() <= lent {
            // The wave ends when the hosts lent to it have returned to the spare pool.
            let spare = ids::Pool::from_static(SPARE);
            let has_no_host_to_return =
                due.is_empty() || self.choose_moves(&wave.pool, &spare, 1).is_empty();
            if out == 0
                && !has_pending_host
                && has_no_host_to_return
                && !self.is_awaiting_hosts(&wave.pool)
            {
                self.finish(name, wave, term, actions);
            }
            return;
        }
        let pending = due.iter().filter(|(name, _)| self.is_host_pending(name));
        let in_progress = out + pending.count();
        // The first host is maintained alone; the batch grows with the number of hosts that returned.
        let batch = usize::try_from(wave.batch).unwrap_or(usize::MAX);
        let limit = batch.min(maintained_count + 1).saturating_sub(in_progress);
        let limit = limit.min(due.len() - lent);
        if limit == 0 {
            return;
        }
        let chosen = self.choose_drains(wave, &due, limit);
        if chosen.is_empty() && in_progress == 0 {
            self.report_blocked(name, wave, term, actions);
        }
        for (host, generation) in chosen {
            let body = Body::Drain {
                host: host.clone(),
                generation,
                wave: name.clone(),
                term,
            };
            self.append(Subject::Host(host), body, actions);
        }
    }

    /// Returns the serving hosts that a wave has not maintained, and how many of them are on loan.
    ///
    /// Hosts that the spare pool lends for the wave return to it without maintenance.
    fn remaining(&self, wave: &Wave) -> (Vec<(&ids::Host, &Host)>, usize) {
        let is_due = |host: &Host| host.maintained_offset < wave.sheet_offset && host.is_serving();
        let hosts = self.view.hosts_of(&wave.pool);
        let due: Vec<_> = hosts.filter(|(_, host)| is_due(host)).collect();
        let lent = due
            .iter()
            .filter(|(_, host)| host.revision > wave.sheet_offset);
        let lent = lent.count().min(self.surplus_hosts(&wave.pool));
        (due, lent)
    }

    /// Checks if a running wave has hosts out of service or still to take out.
    pub(crate) fn has_work(&self, wave: &Wave) -> bool {
        let (due, lent) = self.remaining(wave);
        let mut out = self.view.out_of_service_in(&wave.pool);
        due.len() > lent || out.any(|(_, host)| host.wave().is_some())
    }

    /// Chooses hosts to drain, each from the rack with the most serving hosts, within the budget.
    fn choose_drains(
        &self,
        wave: &Wave,
        due: &[(&ids::Host, &Host)],
        limit: usize,
    ) -> Vec<(ids::Host, ids::Generation)> {
        let service = self.view.pools.get(&wave.pool);
        let service = service.and_then(|pool| pool.service.as_ref());
        let mut racks = self.serving_by_rack(wave, service);
        let mut serving: u32 = racks.values().sum();
        let budget = service.map_or(0, |service| self.view.budget(service));
        let mut candidates: Vec<_> = due
            .iter()
            .filter(|(n, _)| !self.is_host_pending(n))
            .collect();
        let mut chosen = Vec::new();
        while chosen.len() < limit {
            let count = |host: &Host| racks.get(&host.rack).copied().unwrap_or(0);
            let best = candidates.iter().enumerate();
            let best = best.max_by_key(|(index, (_, host))| {
                (
                    host.revision <= wave.sheet_offset,
                    count(host),
                    usize::MAX - index,
                )
            });
            let Some((index, (name, host))) = best.map(|(index, found)| (index, **found)) else {
                break;
            };
            if let Some(count) = racks.get_mut(&host.rack) {
                *count = count.saturating_sub(1);
            }
            serving = serving.saturating_sub(1);
            let reserve = match service {
                Some(_) => racks.values().max().copied().unwrap_or(0),
                None => 0,
            };
            if serving < budget.saturating_add(reserve) {
                break;
            }
            candidates.swap_remove(index);
            chosen.push((name.clone(), host.generation));
        }
        chosen
    }

    /// Counts the serving hosts of a service by rack, without those about which an append is in flight.
    fn serving_by_rack(&self, wave: &Wave, service: Option<&ids::Service>) -> Map<ids::Rack, u32> {
        let pools: Vec<&ids::Pool> = match service {
            Some(service) => self.view.pools_of(service).collect(),
            None => vec![&wave.pool],
        };
        let mut racks: Map<ids::Rack, u32> = Map::default();
        for pool in pools {
            let index = self.view.pool_index.get(pool);
            for (rack, count) in index.into_iter().flat_map(|index| &index.serving_by_rack) {
                *racks.entry(rack.clone()).or_default() += count;
            }
        }
        for name in self.pending_hosts() {
            if let Some(host) = self.view.hosts.get(name)
                && host.is_serving()
                && (host.pool == wave.pool || self.service_of(host) == service)
                && let Some(count) = racks.get_mut(&host.rack)
            {
                *count = count.saturating_sub(1);
            }
        }
        racks
    }

    fn service_of(&self, host: &Host) -> Option<&ids::Service> {
        self.view.pools.get(&host.pool)?.service.as_ref()
    }

    /// Reports to operators why a running wave starts no drain.
    fn report_blocked(
        &mut self,
        name: &ids::Wave,
        wave: &Wave,
        term: ids::Term,
        actions: &mut Vec<Action>,
    ) {
        let pool = self.view.pools.get(&wave.pool);
        let Some(service) = pool.and_then(|pool| pool.service.clone()) else {
            return;
        };
        let serving = self.view.serving_hosts(&service);
        let budget = self.view.budget(&service);
        let rack = self.view.largest_rack_size(&service);
        let reason = format!(
            "waits: {service} serves with {serving} hosts, promises {budget} and has {rack} in one \
             rack; it continues when a spare host joins or a lost host returns"
        );
        self.set_phase(name, Phase::Running, reason, term, actions);
    }

    fn finish(
        &mut self,
        name: &ids::Wave,
        wave: &Wave,
        term: ids::Term,
        actions: &mut Vec<Action>,
    ) {
        let lost = self.view.out_of_service_in(&wave.pool).count();
        let reason = match lost {
            0 => "every host of the pool was maintained".to_owned(),
            lost => format!("every host in service was maintained; lost hosts: {lost}"),
        };
        self.set_phase(name, Phase::Done, reason, term, actions);
    }

    /// Pauses a wave; the reason also says what operators can do next.
    pub(crate) fn pause(
        &mut self,
        name: &ids::Wave,
        reason: String,
        term: ids::Term,
        actions: &mut Vec<Action>,
    ) {
        self.set_phase(name, Phase::Paused, reason, term, actions);
    }

    fn set_phase(
        &mut self,
        name: &ids::Wave,
        phase: Phase,
        reason: String,
        term: ids::Term,
        actions: &mut Vec<Action>,
    ) {
        let known = self.view.waves.get(name);
        if known.is_none_or(|wave| wave.phase == phase && wave.reason == reason) {
            return;
        }
        let body = Body::Progress {
            wave: name.clone(),
            phase,
            reason,
            term,
        };
        self.append(Subject::Wave(name.clone()), body, actions);
    }
}
