//! Records about hosts.

use super::apply::Check;
use super::{Change, Host, Reason, SPARE, Stage, State};
use crate::ids;
use crate::record::{Fact, Phase};

impl State {
    pub(super) fn pool_of(&self, host: &ids::Host) -> Result<ids::Pool, Reason> {
        Ok(self.host(host)?.pool.clone())
    }

    fn host(&self, host: &ids::Host) -> Result<&Host, Reason> {
        self.hosts
            .get(host)
            .ok_or_else(|| Reason::Absent(format!("host {host}")))
    }

    /// Changes a host; the number of serving hosts of its pool follows.
    fn change_host(
        &mut self,
        offset: ids::Offset,
        name: &ids::Host,
        edit: impl FnOnce(&mut Host),
        changes: &mut Vec<Change>,
    ) -> Check {
        let Some(host) = self.hosts.get_mut(name) else {
            return Err(Reason::Absent(format!("host {name}")));
        };
        if host.is_serving()
            && let Some(count) = self.serving.get_mut(&host.pool)
        {
            *count -= 1;
        }
        edit(host);
        host.revision = offset;
        if host.is_serving() {
            *self.serving.entry(host.pool.clone()).or_default() += 1;
        }
        changes.push(Change::Host(name.clone(), host.clone()));
        Ok(())
    }

    /// Checks that a host serves in a generation.
    fn check_serving(&self, host: &ids::Host, generation: ids::Generation) -> Check {
        let entry = self.host(host)?;
        if entry.generation != generation {
            return Err(Reason::Conflict {
                current: entry.generation,
                seen: generation,
            });
        }
        if !entry.is_serving() {
            return Err(Reason::Stage(format!("the host is {:?}", entry.stage)));
        }
        Ok(())
    }

    /// Checks that a service keeps its promise with one serving host less.
    pub(super) fn check_budget(&self, pool: &ids::Pool) -> Check {
        let Some(service) = self.service_of(pool) else {
            return Ok(());
        };
        let promised = self.budgets.get(service).copied().unwrap_or(0);
        let serving = self.serving_hosts(service);
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
        self.check_serving(host, generation)?;
        let stage = Stage::Draining {
            wave: wave.clone(),
            since: offset,
        };
        self.change_host(offset, host, |entry| entry.stage = stage, changes)
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
        *self.serving.entry(SPARE.into()).or_default() += 1;
        changes.push(Change::Host(fact.host.clone(), host));
    }

    pub(super) fn apply_lost(
        &mut self,
        offset: ids::Offset,
        host: &ids::Host,
        generation: ids::Generation,
        changes: &mut Vec<Change>,
    ) -> Check {
        self.check_serving(host, generation)?;
        self.change_host(offset, host, |entry| entry.stage = Stage::Lost, changes)
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
        let entry = self.host(host)?;
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
        let to = to.clone();
        self.change_host(offset, host, |entry| entry.pool = to, changes)
    }

    pub(super) fn apply_return(
        &mut self,
        offset: ids::Offset,
        host: &ids::Host,
        generation: ids::Generation,
        changes: &mut Vec<Change>,
    ) -> Check {
        let entry = self.host(host)?;
        if entry.is_serving() {
            return Err(Reason::Stage("the host is serving".to_owned()));
        }
        if generation < entry.generation {
            return Err(Reason::Conflict {
                current: entry.generation,
                seen: generation,
            });
        }
        let edit = |entry: &mut Host| {
            // Only a new start counts as maintained; the same generation is a cancelled drain.
            if generation > entry.generation {
                entry.maintained = offset;
            }
            entry.generation = generation;
            entry.stage = Stage::Serving;
        };
        self.change_host(offset, host, edit, changes)
    }
}
