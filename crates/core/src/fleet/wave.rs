//! Maintenance waves: batches inside the budget.

use super::manager::Subject;
use super::{Action, Manager};
use crate::ids;
use crate::record::{Body, Phase};
use crate::state::{Host, Stage, Wave};

impl Manager {
    /// Starts the drains that each running wave of a held pool may start now.
    pub(crate) fn advance_waves(
        &mut self,
        pool: &ids::Pool,
        term: ids::Term,
        actions: &mut Vec<Action>,
    ) {
        let running = self
            .view
            .waves
            .iter()
            .filter(|(_, wave)| wave.pool == *pool && wave.phase == Phase::Running);
        let mut running: Vec<(ids::Wave, Wave)> = running
            .map(|(name, wave)| (name.clone(), wave.clone()))
            .collect();
        running.sort_by_key(|(_, wave)| wave.since);
        for (name, wave) in running {
            self.advance_wave(&name, &wave, term, actions);
        }
    }

    fn advance_wave(
        &mut self,
        name: &ids::Wave,
        wave: &Wave,
        term: ids::Term,
        actions: &mut Vec<Action>,
    ) {
        let hosts: Vec<(&ids::Host, &Host)> = self.view.hosts_of(&wave.pool).collect();
        let out = hosts
            .iter()
            .filter(|(_, host)| matches!(host.stage, Stage::Draining { .. }));
        let out = out.count();
        let due: Vec<(&ids::Host, &Host)> = hosts
            .iter()
            .filter(|(_, host)| host.maintained < wave.since && host.is_serving())
            .copied()
            .collect();
        if due.is_empty() && out == 0 {
            let reason = "every host of the pool was maintained".to_owned();
            let body = Body::Progress {
                wave: name.clone(),
                phase: Phase::Done,
                reason,
                term,
            };
            self.append(Subject::Wave(name.clone()), body, actions);
            return;
        }
        let done = hosts
            .iter()
            .filter(|(_, host)| host.maintained >= wave.since)
            .count();
        // The first host goes alone; the batch grows with what came back.
        let batch = usize::try_from(wave.batch)
            .unwrap_or(usize::MAX)
            .min(done + 1);
        let headroom = usize::try_from(self.view.headroom(&wave.pool)).unwrap_or(usize::MAX);
        let free = batch.saturating_sub(out).min(headroom);
        let chosen: Vec<(ids::Host, u64)> = due
            .iter()
            .take(free)
            .map(|(host, entry)| ((*host).clone(), entry.generation))
            .collect();
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
}
