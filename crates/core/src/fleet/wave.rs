//! Maintenance waves: batches inside the budget.
//!
//! A wave takes a host out only while its service keeps its promise and the hosts of its largest
//! rack in service on top, so that the loss of any one rack in the middle of a batch is covered.

use super::manager::Subject;
use super::{Action, Manager};
use crate::ids;
use crate::map::Map;
use crate::record::{Body, Phase};
use crate::state::{Host, SPARE, Wave};

/// Hosts that may fail to return before a wave pauses, above those that its progress allows.
const FAILURES_FREE: usize = 1;
/// Hosts that returned for each further host that may fail to return.
const FAILURES_SHARE: usize = 10;

impl Manager {
    /// Starts the drains that each running wave of a held pool may start now.
    pub(crate) fn advance_waves(
        &mut self,
        pool: &ids::Pool,
        term: ids::Term,
        actions: &mut Vec<Action>,
    ) {
        let waves = self.view.waves.iter();
        let running = waves.filter(|(_, w)| w.pool == *pool && w.phase == Phase::Running);
        let mut running: Vec<(ids::Wave, Wave)> = running
            .map(|(name, wave)| (name.clone(), wave.clone()))
            .collect();
        running.sort_by(|(a, x), (b, y)| (x.sheet_offset, a).cmp(&(y.sheet_offset, b)));
        // Waves over one pool follow each other; a host that the first maintains counts for both.
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
        let done = hosts().filter(|(_, host)| host.maintained_offset >= wave.sheet_offset);
        let done = done.count();
        let failed = usize::try_from(wave.failed_count).unwrap_or(usize::MAX);
        if failed > 0 && (done == 0 || failed > FAILURES_FREE + done / FAILURES_SHARE) {
            let reason = format!(
                "{failed} hosts did not return from maintenance, {done} did; find out why at one of \
                 them, then resume or abort the wave"
            );
            self.pause(name, reason, term, actions);
            return;
        }
        let (due, lent) = self.remaining(wave);
        let out = self.view.out_of_service_in(&wave.pool);
        let out = out.filter(|(_, host)| host.wave().is_some()).count();
        let moving = self.pending_hosts().any(|name| {
            let host = self.view.hosts.get(name);
            host.is_some_and(|host| host.pool == wave.pool)
        });
        if due.len() <= lent {
            // The wave ends when the hosts lent to it are back in the spare pool.
            let spare = ids::Pool::from_static(SPARE);
            let staying = due.is_empty() || self.candidates(&wave.pool, &spare, 1).is_empty();
            if out == 0 && !moving && staying && !self.is_filling(&wave.pool) {
                self.finish(name, wave, term, actions);
            }
            return;
        }
        let pending = due.iter().filter(|(name, _)| self.is_host_pending(name));
        let busy = out + pending.count();
        // The first host goes alone; the batch grows with what came back.
        let batch = usize::try_from(wave.batch).unwrap_or(usize::MAX);
        let free = batch.min(done + 1).saturating_sub(busy);
        let free = free.min(due.len() - lent);
        if free == 0 {
            return;
        }
        let chosen = self.choose(wave, &due, free);
        if chosen.is_empty() && busy == 0 {
            self.explain(name, wave, term, actions);
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

    /// Gets the serving hosts that a wave has not maintained, with how many of them are lent.
    ///
    /// Hosts lent for the wave by the spare pool go back as they came.
    fn remaining(&self, wave: &Wave) -> (Vec<(&ids::Host, &Host)>, usize) {
        let is_due = |host: &Host| host.maintained_offset < wave.sheet_offset && host.is_serving();
        let hosts = self.view.hosts_of(&wave.pool);
        let due: Vec<_> = hosts.filter(|(_, host)| is_due(host)).collect();
        let lent = due
            .iter()
            .filter(|(_, host)| host.revision > wave.sheet_offset);
        let lent = lent.count().min(self.surplus(&wave.pool));
        (due, lent)
    }

    /// Gets whether a running wave has hosts to take out or out.
    pub(crate) fn has_work(&self, wave: &Wave) -> bool {
        let (due, lent) = self.remaining(wave);
        let mut out = self.view.out_of_service_in(&wave.pool);
        due.len() > lent || out.any(|(_, host)| host.wave().is_some())
    }

    /// Gets hosts to drain, each from the rack that serves most, as far as the promise allows.
    fn choose(
        &self,
        wave: &Wave,
        due: &[(&ids::Host, &Host)],
        free: usize,
    ) -> Vec<(ids::Host, ids::Generation)> {
        let service = self.view.pools.get(&wave.pool);
        let service = service.and_then(|pool| pool.service.as_ref());
        let mut racks = self.racks_of(wave, service);
        let mut serving: u32 = racks.values().sum();
        let promised = service.map_or(0, |service| self.view.budget(service));
        let mut open: Vec<_> = due
            .iter()
            .filter(|(n, _)| !self.is_host_pending(n))
            .collect();
        let mut chosen = Vec::new();
        while chosen.len() < free {
            let count = |host: &Host| racks.get(&host.rack).copied().unwrap_or(0);
            let best = open.iter().enumerate();
            let best = best.max_by_key(|(at, (_, host))| {
                (
                    host.revision <= wave.sheet_offset,
                    count(host),
                    usize::MAX - at,
                )
            });
            let Some((at, (name, host))) = best.map(|(at, found)| (at, **found)) else {
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
            if serving < promised.saturating_add(reserve) {
                break;
            }
            open.swap_remove(at);
            chosen.push((name.clone(), host.generation));
        }
        chosen
    }

    /// Gets the serving hosts of a service by rack, without those about to change.
    fn racks_of(&self, wave: &Wave, service: Option<&ids::Service>) -> Map<ids::Rack, u32> {
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

    /// Tells the operator why a running wave starts nothing.
    fn explain(
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
        let promised = self.view.budget(&service);
        let rack = self.view.largest_rack_size(&service);
        let reason = format!(
            "waits: {service} serves with {serving} hosts, promises {promised} and has {rack} in one \
             rack; it continues when a spare host joins or a lost host returns"
        );
        self.progress(name, Phase::Running, reason, term, actions);
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
        self.progress(name, Phase::Done, reason, term, actions);
    }

    /// Pauses a wave for a reason that also tells the next step.
    pub(crate) fn pause(
        &mut self,
        name: &ids::Wave,
        reason: String,
        term: ids::Term,
        actions: &mut Vec<Action>,
    ) {
        self.progress(name, Phase::Paused, reason, term, actions);
    }

    fn progress(
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
