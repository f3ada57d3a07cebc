//! Application of records about hosts.

use super::apply::ApplyResult;
use super::{Change, Host, Reason, SPARE, Stage, State};
use crate::ids;
use crate::record::{Body, Listing, MAX_GENERATION, Phase, Record};

impl Host {
    /// Returns what the platform's host list has of the host.
    #[must_use]
    pub fn listing(&self, name: &ids::Host) -> Listing {
        Listing {
            host: name.clone(),
            address: self.address,
            zone: self.zone.clone(),
            rack: self.rack.clone(),
            generation: self.generation,
            slots: self.slots,
            connections: self.connections,
        }
    }

    /// Checks that a record refers to the current generation.
    fn check_generation(&self, seen: ids::Generation) -> ApplyResult {
        let current = self.generation;
        if current == seen {
            Ok(())
        } else {
            Err(Reason::Conflict { current, seen })
        }
    }
}

impl State {
    /// Applies a record about one host.
    pub(super) fn apply_host(
        &mut self,
        offset: ids::Offset,
        record: &Record,
        changes: &mut Vec<Change>,
    ) -> ApplyResult {
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
        Ok(self.host(host)?.pool.clone())
    }

    fn host(&self, host: &ids::Host) -> Result<&Host, Reason> {
        self.hosts
            .get(host)
            .ok_or_else(|| Reason::NotFound(format!("host {host}")))
    }

    /// Changes a host and updates the number of serving hosts of its pool.
    fn change_host(
        &mut self,
        offset: ids::Offset,
        name: &ids::Host,
        edit: impl FnOnce(&mut Host),
        changes: &mut Vec<Change>,
    ) -> ApplyResult {
        let Some(host) = self.hosts.get_mut(name) else {
            return Err(Reason::NotFound(format!("host {name}")));
        };
        if host.is_serving()
            && let Some(count) = self.serving_counts.get_mut(&host.pool)
        {
            *count -= 1;
        }
        edit(host);
        host.revision = offset;
        if host.is_serving() {
            *self.serving_counts.entry(host.pool.clone()).or_default() += 1;
        }
        changes.push(Change::Host(name.clone(), host.clone()));
        Ok(())
    }

    /// Checks that a host is in service with a generation.
    fn check_serving(&self, host: &ids::Host, generation: ids::Generation) -> ApplyResult {
        let current_host = self.host(host)?;
        current_host.check_generation(generation)?;
        if !current_host.is_serving() {
            return Err(Reason::InvalidState(format!(
                "the host is {:?}",
                current_host.stage
            )));
        }
        Ok(())
    }

    /// Checks that a service keeps its availability budget with one serving host less.
    fn check_budget(&self, pool: &ids::Pool) -> ApplyResult {
        let Some(service) = self.service_of(pool) else {
            return Ok(());
        };
        let required = self.budgets.get(service).copied().unwrap_or(0);
        let serving = self.serving_hosts(service);
        if serving <= required {
            return Err(Reason::Budget {
                service: service.clone(),
                serving,
                required,
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
    ) -> ApplyResult {
        let phase = self.wave(wave)?.phase;
        if phase != Phase::Running {
            return Err(Reason::InvalidState(format!("the wave is {phase:?}")));
        }
        self.check_budget(&self.pool_of(host)?)?;
        self.check_serving(host, generation)?;
        let stage = Stage::Draining {
            wave: wave.clone(),
            since: offset,
        };
        self.change_host(offset, host, |host| host.stage = stage, changes)
    }

    pub(super) fn enroll_host(
        &mut self,
        offset: ids::Offset,
        listing: &Listing,
        changes: &mut Vec<Change>,
    ) {
        // A host is enrolled only once: the platform's list lags, so a later listing must not undo
        // an accepted change.
        if self.hosts.contains_key(&listing.host) {
            return;
        }
        let host = Host {
            address: listing.address,
            zone: listing.zone.clone(),
            rack: listing.rack.clone(),
            pool: SPARE.into(),
            stage: Stage::Serving,
            generation: listing.generation,
            revision: offset,
            maintained_offset: 0,
            slots: listing.slots,
            connections: listing.connections,
        };
        self.hosts.insert(listing.host.clone(), host.clone());
        *self.serving_counts.entry(SPARE.into()).or_default() += 1;
        changes.push(Change::Host(listing.host.clone(), host));
    }

    fn apply_lost(
        &mut self,
        offset: ids::Offset,
        host: &ids::Host,
        generation: ids::Generation,
        revision: ids::Revision,
        changes: &mut Vec<Change>,
    ) -> ApplyResult {
        let current_host = self.host(host)?;
        if current_host.generation != generation || current_host.revision != revision {
            return Err(Reason::Conflict {
                current: current_host.revision,
                seen: revision,
            });
        }
        let wave = current_host.wave().cloned();
        let stage = match &current_host.stage {
            Stage::Draining { .. } | Stage::Serving => Stage::Lost,
            // A stop may still be in progress, so the old generation must not return.
            Stage::Stopping { wave: Some(_) } => Stage::Stopping { wave: None },
            stage => return Err(Reason::InvalidState(format!("the host is {stage:?}"))),
        };
        self.change_host(offset, host, |host| host.stage = stage, changes)?;
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
    ) -> ApplyResult {
        let current_host = self.host(host)?;
        current_host.check_generation(generation)?;
        let wave = match &current_host.stage {
            Stage::Draining { wave, .. } => Some(wave.clone()),
            Stage::Lost => None,
            stage => return Err(Reason::InvalidState(format!("the host is {stage:?}"))),
        };
        let stage = Stage::Stopping { wave };
        self.change_host(offset, host, |host| host.stage = stage, changes)
    }

    fn apply_move(
        &mut self,
        offset: ids::Offset,
        host: &ids::Host,
        from: &ids::Pool,
        to: &ids::Pool,
        revision: ids::Revision,
        changes: &mut Vec<Change>,
    ) -> ApplyResult {
        if !self.pools.contains_key(to) {
            return Err(Reason::NotFound(format!("pool {to}")));
        }
        let current_host = self.host(host)?;
        if current_host.revision != revision || current_host.pool != *from {
            return Err(Reason::Conflict {
                current: current_host.revision,
                seen: revision,
            });
        }
        if current_host.wave().is_some() {
            return Err(Reason::InvalidState(format!(
                "the host is {:?}",
                current_host.stage
            )));
        }
        if current_host.is_serving() && self.service_of(from) != self.service_of(to) {
            self.check_budget(from)?;
        }
        self.move_count += 1;
        let to = to.clone();
        self.change_host(offset, host, |host| host.pool = to, changes)
    }

    fn apply_return(
        &mut self,
        offset: ids::Offset,
        host: &ids::Host,
        generation: ids::Generation,
        changes: &mut Vec<Change>,
    ) -> ApplyResult {
        let current_host = self.host(host)?;
        if current_host.is_serving() {
            return Err(Reason::InvalidState("the host is serving".to_owned()));
        }
        if generation > MAX_GENERATION {
            return Err(Reason::InvalidState(
                "the generation is too large".to_owned(),
            ));
        }
        // A stop of the old generation may arrive late and must not hit a host in service.
        let is_stopping = matches!(current_host.stage, Stage::Stopping { .. });
        let min_generation = current_host
            .generation
            .saturating_add(u64::from(is_stopping));
        if generation < min_generation {
            return Err(Reason::Conflict {
                current: current_host.generation,
                seen: generation,
            });
        }
        let edit = |host: &mut Host| {
            // Only a new generation counts as maintained; the same one means a cancelled drain.
            if generation > host.generation {
                host.maintained_offset = offset;
            }
            host.generation = generation;
            host.stage = Stage::Serving;
        };
        self.change_host(offset, host, edit, changes)
    }
}
