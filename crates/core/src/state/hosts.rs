//! Records about hosts.

use super::apply::Check;
use super::{Change, Host, Reason, SPARE, Stage, State};
use crate::ids;
use crate::record::{Body, Fact, Phase, Record};

impl State {
    /// Applies a record about one host.
    pub(super) fn apply_host(
        &mut self,
        offset: ids::Offset,
        record: &Record,
        changes: &mut Vec<Change>,
    ) -> Check {
        match &record.body {
            Body::Drain {
                host,
                generation,
                wave,
                term,
            } => {
                self.check_holder(&record.author, &self.pool_of(host)?, *term)?;
                self.apply_drain(offset, host, *generation, wave, changes)
            }
            Body::Lost {
                host,
                generation,
                revision,
                term,
            } => {
                self.check_holder(&record.author, &self.pool_of(host)?, *term)?;
                self.apply_lost(offset, host, *generation, *revision, changes)
            }
            Body::Move {
                host,
                from,
                to,
                revision,
                term,
            } => {
                self.check_holder(&record.author, from, *term)
                    .or_else(|_| self.check_holder(&record.author, to, *term))?;
                self.apply_move(offset, host, from, to, *revision, changes)
            }
            Body::Return {
                host,
                generation,
                term,
            } => {
                self.check_holder(&record.author, &self.pool_of(host)?, *term)?;
                self.apply_return(offset, host, *generation, changes)
            }
            Body::Stop {
                host,
                generation,
                term,
            } => {
                self.check_holder(&record.author, &self.pool_of(host)?, *term)?;
                self.apply_stop(offset, host, *generation, changes)
            }
            _ => Ok(()),
        }
    }

    fn pool_of(&self, host: &ids::Host) -> Result<ids::Pool, Reason> {
        match self.hosts.get(host) {
            Some(entry) => Ok(entry.pool.clone()),
            None => Err(Reason::Absent(format!("host {host}"))),
        }
    }

    fn host_mut(&mut self, host: &ids::Host) -> Result<&mut Host, Reason> {
        self.hosts
            .get_mut(host)
            .ok_or_else(|| Reason::Absent(format!("host {host}")))
    }

    /// Checks that a service keeps its promise with one serving host less.
    fn check_budget(&self, pool: &ids::Pool) -> Check {
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

    fn apply_drain(
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
        entry.check_generation(generation)?;
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

    fn apply_lost(
        &mut self,
        offset: ids::Offset,
        host: &ids::Host,
        generation: ids::Generation,
        revision: ids::Revision,
        changes: &mut Vec<Change>,
    ) -> Check {
        let entry = self.host_mut(host)?;
        if entry.generation != generation || entry.revision != revision {
            return Err(Reason::Conflict {
                current: entry.revision,
                seen: revision,
            });
        }
        let wave = entry.wave().cloned();
        entry.stage = match &entry.stage {
            Stage::Draining { .. } | Stage::Serving => Stage::Lost,
            // A stop may still be under way, so the old generation must not return.
            Stage::Stopping { wave: Some(_) } => Stage::Stopping { wave: None },
            stage => return Err(Reason::Stage(format!("the host is {stage:?}"))),
        };
        entry.revision = offset;
        changes.push(Change::Host(host.clone(), entry.clone()));
        if let Some(wave) = wave {
            self.fail_wave(&wave, changes);
        }
        Ok(())
    }

    fn apply_stop(
        &mut self,
        offset: ids::Offset,
        host: &ids::Host,
        generation: ids::Generation,
        changes: &mut Vec<Change>,
    ) -> Check {
        let entry = self.host_mut(host)?;
        entry.check_generation(generation)?;
        let wave = match &entry.stage {
            Stage::Draining { wave, .. } => Some(wave.clone()),
            Stage::Lost => None,
            stage => return Err(Reason::Stage(format!("the host is {stage:?}"))),
        };
        entry.stage = Stage::Stopping { wave };
        entry.revision = offset;
        changes.push(Change::Host(host.clone(), entry.clone()));
        Ok(())
    }

    fn apply_move(
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
        if entry.wave().is_some() {
            return Err(Reason::Stage(format!("the host is {:?}", entry.stage)));
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

    fn apply_return(
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
        // A stop of the old generation may arrive late; it must not meet a host in service.
        let least = entry.generation + u64::from(matches!(entry.stage, Stage::Stopping { .. }));
        if generation < least {
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
