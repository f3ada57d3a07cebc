//! Records about hosts.

use super::apply::Check;
use super::{Change, Host, Reason, SPARE, Stage, State};
use crate::ids;
use crate::record::{Fact, Phase};

impl State {
    pub(super) fn pool_of(&self, host: &ids::Host) -> Result<ids::Pool, Reason> {
        match self.hosts.get(host) {
            Some(entry) => Ok(entry.pool.clone()),
            None => Err(Reason::Absent(format!("host {host}"))),
        }
    }

    pub(super) fn host_mut(&mut self, host: &ids::Host) -> Result<&mut Host, Reason> {
        self.hosts
            .get_mut(host)
            .ok_or_else(|| Reason::Absent(format!("host {host}")))
    }

    /// Checks that a service keeps its promise with one serving host less.
    pub(super) fn check_budget(&self, pool: &ids::Pool) -> Check {
        let Some(service) = self.service_of(pool) else {
            return Ok(());
        };
        let promised = self.budgets.get(service).copied().unwrap_or(0);
        let serving = self.serving(service);
        if serving <= promised {
            return Err(Reason::Budget {
                service: service.clone(),
                serving,
                promised,
            });
        }
        Ok(())
    }

    pub(super) fn apply_drain(
        &mut self,
        offset: ids::Offset,
        host: &ids::Host,
        generation: ids::Generation,
        wave: &ids::Wave,
        changes: &mut Vec<Change>,
    ) -> Check {
        let phase = self.wave(wave)?.phase;
        if phase != Phase::Running {
            return Err(Reason::Stage(format!("the wave is {phase:?}")));
        }
        self.check_budget(&self.pool_of(host)?)?;
        let entry = self.host_mut(host)?;
        if entry.generation != generation {
            return Err(Reason::Conflict {
                current: entry.generation,
                seen: generation,
            });
        }
        if !entry.is_serving() {
            return Err(Reason::Stage(format!("the host is {:?}", entry.stage)));
        }
        entry.stage = Stage::Draining {
            wave: wave.clone(),
            since: offset,
        };
        entry.revision = offset;
        changes.push(Change::Host(host.clone(), entry.clone()));
        Ok(())
    }

    pub(super) fn apply_fact(
        &mut self,
        offset: ids::Offset,
        fact: &Fact,
        changes: &mut Vec<Change>,
    ) {
        // A host is enrolled once; the list lags, so later facts never undo a decision.
        if self.hosts.contains_key(&fact.host) {
            return;
        }
        let host = Host {
            address: fact.address,
            zone: fact.zone.clone(),
            rack: fact.rack.clone(),
            pool: SPARE.into(),
            stage: Stage::Serving,
            generation: fact.generation,
            revision: offset,
            maintained: 0,
            slots: fact.slots,
            connections: fact.connections,
        };
        self.hosts.insert(fact.host.clone(), host.clone());
        changes.push(Change::Host(fact.host.clone(), host));
    }

    pub(super) fn apply_lost(
        &mut self,
        offset: ids::Offset,
        host: &ids::Host,
        generation: ids::Generation,
        changes: &mut Vec<Change>,
    ) -> Check {
        let entry = self.host_mut(host)?;
        if entry.generation != generation {
            return Err(Reason::Conflict {
                current: entry.generation,
                seen: generation,
            });
        }
        if !entry.is_serving() {
            return Err(Reason::Stage(format!("the host is {:?}", entry.stage)));
        }
        entry.stage = Stage::Lost;
        entry.revision = offset;
        changes.push(Change::Host(host.clone(), entry.clone()));
        Ok(())
    }

    pub(super) fn apply_move(
        &mut self,
        offset: ids::Offset,
        host: &ids::Host,
        from: &ids::Pool,
        to: &ids::Pool,
        revision: ids::Revision,
        changes: &mut Vec<Change>,
    ) -> Check {
        if !self.pools.contains_key(to) {
            return Err(Reason::Absent(format!("pool {to}")));
        }
        let entry = self
            .hosts
            .get(host)
            .ok_or_else(|| Reason::Absent(format!("host {host}")))?;
        if entry.revision != revision || entry.pool != *from {
            return Err(Reason::Conflict {
                current: entry.revision,
                seen: revision,
            });
        }
        if matches!(entry.stage, Stage::Draining { .. }) {
            return Err(Reason::Stage("the host is draining".to_owned()));
        }
        if entry.is_serving() && self.service_of(from) != self.service_of(to) {
            self.check_budget(from)?;
        }
        self.moves += 1;
        let entry = self.host_mut(host)?;
        entry.pool = to.clone();
        entry.revision = offset;
        changes.push(Change::Host(host.clone(), entry.clone()));
        Ok(())
    }

    pub(super) fn apply_return(
        &mut self,
        offset: ids::Offset,
        host: &ids::Host,
        generation: ids::Generation,
        changes: &mut Vec<Change>,
    ) -> Check {
        let entry = self.host_mut(host)?;
        if entry.is_serving() {
            return Err(Reason::Stage("the host is serving".to_owned()));
        }
        if generation < entry.generation {
            return Err(Reason::Conflict {
                current: entry.generation,
                seen: generation,
            });
        }
        // Only a new start counts as maintained; the same generation is a cancelled drain.
        if generation > entry.generation {
            entry.maintained = offset;
        }
        entry.generation = generation;
        entry.stage = Stage::Serving;
        entry.revision = offset;
        changes.push(Change::Host(host.clone(), entry.clone()));
        Ok(())
    }
}
