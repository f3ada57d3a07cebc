//! Application of one record to the state.

use std::time::SystemTime;

use super::keys::Claim;
use super::{Change, Host, Member, Pool, Reason, SPARE, Stage, Standing, State, Verdict, Wave};
use crate::ids;
use crate::map::{Map, Set};
use crate::record::{Body, Command, End, Fact, Phase, Record};
use crate::sheet::Intent;

type Check = Result<(), Reason>;

impl State {
    /// Applies the record at an offset and appends what it changed.
    pub fn apply(
        &mut self,
        offset: ids::Offset,
        at: SystemTime,
        record: &Record,
        changes: &mut Vec<Change>,
    ) -> Verdict {
        self.next = offset + 1;
        self.at = self.at.max(at);
        self.keys.forget(self.at);
        if let Err(verdict) = self.admit(offset, record) {
            return verdict;
        }
        match self.apply_body(offset, record, changes) {
            Ok(()) => Verdict::Accepted,
            Err(reason) => Verdict::Rejected(reason),
        }
    }

    /// Checks the author; only its first record may be a join.
    fn admit(&mut self, offset: ids::Offset, record: &Record) -> Result<(), Verdict> {
        if matches!(record.body, Body::Join(_)) {
            return match self.members.get(&record.author) {
                Some(member) if member.incarnation == record.incarnation => Err(Verdict::Duplicate),
                _ => Ok(()),
            };
        }
        let Some(member) = self.members.get_mut(&record.author) else {
            return Err(Verdict::Rejected(Reason::Stranger));
        };
        if member.incarnation != record.incarnation {
            return Err(Verdict::Rejected(Reason::Stranger));
        }
        if record.sequence <= member.sequence {
            return Err(Verdict::Duplicate);
        }
        member.sequence = record.sequence;
        member.renewed = offset;
        Ok(())
    }

    fn apply_body(
        &mut self,
        offset: ids::Offset,
        record: &Record,
        changes: &mut Vec<Change>,
    ) -> Check {
        match &record.body {
            Body::Claim { pool, term } => self.apply_claim(&record.author, pool, *term, changes),
            Body::Command {
                wave,
                command,
                operator,
            } => self.apply_command(wave, *command, operator, changes),
            Body::Drain {
                host,
                generation,
                wave,
                term,
            } => {
                self.check_holder(&record.author, &self.pool_of(host)?, *term)?;
                self.apply_drain(offset, host, *generation, wave, changes)
            }
            Body::Enroll { hosts } => {
                for fact in hosts {
                    self.apply_fact(offset, fact, changes);
                }
                Ok(())
            }
            Body::Expire {
                instance,
                incarnation,
            } => {
                let current = self.members.get(instance).map(|member| member.incarnation);
                if current != Some(*incarnation) {
                    return Err(Reason::Absent(format!("run {incarnation} of {instance}")));
                }
                self.remove_member(instance, changes);
                Ok(())
            }
            Body::Join(about) => {
                let member = Member {
                    about: about.clone(),
                    incarnation: record.incarnation,
                    sequence: record.sequence,
                    renewed: offset,
                };
                self.remove_member(&record.author, changes);
                self.members.insert(record.author.clone(), member.clone());
                changes.push(Change::Member(record.author.clone(), Some(member)));
                Ok(())
            }
            Body::Keys { keys } => {
                self.apply_keys(record, keys, changes);
                Ok(())
            }
            Body::Leave => {
                self.remove_member(&record.author, changes);
                Ok(())
            }
            Body::Lost { host, generation } => self.apply_lost(offset, host, *generation, changes),
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
            Body::Outcomes { ends } => {
                self.apply_ends(record, ends);
                Ok(())
            }
            Body::Progress {
                wave,
                phase,
                reason,
                term,
            } => {
                let pool = self.wave(wave)?.pool.clone();
                self.check_holder(&record.author, &pool, *term)?;
                self.change_wave(wave, *phase, reason.clone(), changes)
            }
            Body::Renew => {
                changes.push(Change::Renewed(record.author.clone()));
                Ok(())
            }
            Body::Return {
                host,
                generation,
                term,
            } => {
                self.check_holder(&record.author, &self.pool_of(host)?, *term)?;
                self.apply_return(offset, host, *generation, changes)
            }
            Body::Sheet { base, intents, .. } => self.apply_sheet(offset, *base, intents, changes),
        }
    }

    fn pool_of(&self, host: &ids::Host) -> Result<ids::Pool, Reason> {
        match self.hosts.get(host) {
            Some(entry) => Ok(entry.pool.clone()),
            None => Err(Reason::Absent(format!("host {host}"))),
        }
    }

    fn wave(&self, wave: &ids::Wave) -> Result<&Wave, Reason> {
        self.waves
            .get(wave)
            .ok_or_else(|| Reason::Absent(format!("wave {wave}")))
    }

    fn host_mut(&mut self, host: &ids::Host) -> Result<&mut Host, Reason> {
        self.hosts
            .get_mut(host)
            .ok_or_else(|| Reason::Absent(format!("host {host}")))
    }

    fn check_holder(&self, author: &ids::Instance, pool: &ids::Pool, term: ids::Term) -> Check {
        let Some(entry) = self.pools.get(pool) else {
            return Err(Reason::Absent(format!("pool {pool}")));
        };
        if entry.term != term || entry.holder.as_ref() != Some(author) {
            return Err(Reason::Term {
                current: entry.term,
                seen: term,
            });
        }
        Ok(())
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

    fn apply_claim(
        &mut self,
        author: &ids::Instance,
        pool: &ids::Pool,
        term: ids::Term,
        changes: &mut Vec<Change>,
    ) -> Check {
        let Some(entry) = self.pools.get_mut(pool) else {
            return Err(Reason::Absent(format!("pool {pool}")));
        };
        if term != entry.term + 1 {
            return Err(Reason::Term {
                current: entry.term,
                seen: term,
            });
        }
        entry.term = term;
        entry.holder = Some(author.clone());
        changes.push(Change::Pool(pool.clone(), entry.clone()));
        Ok(())
    }

    fn apply_command(
        &mut self,
        wave: &ids::Wave,
        command: Command,
        operator: &ids::Operator,
        changes: &mut Vec<Change>,
    ) -> Check {
        let phase = self.wave(wave)?.phase;
        let next = match (command, phase) {
            (Command::Abort, Phase::Running | Phase::Paused) => Phase::Aborted,
            (Command::Pause, Phase::Running) => Phase::Paused,
            (Command::Resume, Phase::Paused) => Phase::Running,
            (_, phase) => return Err(Reason::Stage(format!("the wave is {phase:?}"))),
        };
        self.change_wave(wave, next, format!("asked for by {operator}"), changes)
    }

    fn change_wave(
        &mut self,
        wave: &ids::Wave,
        phase: Phase,
        reason: String,
        changes: &mut Vec<Change>,
    ) -> Check {
        let Some(entry) = self.waves.get_mut(wave) else {
            return Err(Reason::Absent(format!("wave {wave}")));
        };
        if matches!(entry.phase, Phase::Done | Phase::Aborted) {
            return Err(Reason::Stage(format!("the wave is {:?}", entry.phase)));
        }
        entry.phase = phase;
        entry.reason = reason;
        changes.push(Change::Wave(wave.clone(), entry.clone()));
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

    fn apply_fact(&mut self, offset: ids::Offset, fact: &Fact, changes: &mut Vec<Change>) {
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

    fn remove_member(&mut self, instance: &ids::Instance, changes: &mut Vec<Change>) {
        if self.members.remove(instance).is_none() {
            return;
        }
        changes.push(Change::Member(instance.clone(), None));
        for (id, pool) in &mut self.pools {
            if pool.holder.as_ref() == Some(instance) {
                pool.holder = None;
                changes.push(Change::Pool(id.clone(), pool.clone()));
            }
        }
    }

    fn apply_keys(&mut self, record: &Record, keys: &[ids::Key], changes: &mut Vec<Change>) {
        let mut won = Vec::new();
        for key in keys {
            if self.keys.standing(*key, self.at) == Standing::Free {
                let claim = Claim {
                    instance: record.author.clone(),
                    incarnation: record.incarnation,
                    end: None,
                };
                self.keys.insert(*key, claim);
                won.push(*key);
            }
        }
        changes.push(Change::Keys(record.author.clone(), won));
    }

    fn apply_ends(&mut self, record: &Record, ends: &[(ids::Key, End)]) {
        for (key, end) in ends {
            self.keys
                .finish(*key, &record.author, record.incarnation, *end);
        }
    }

    fn apply_lost(
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

    fn apply_sheet(
        &mut self,
        offset: ids::Offset,
        base: ids::Revision,
        intents: &[Intent],
        changes: &mut Vec<Change>,
    ) -> Check {
        if base != self.revision {
            return Err(Reason::Conflict {
                current: self.revision,
                seen: base,
            });
        }
        self.revision = offset;
        self.pins.clear();
        let mut quotas: Map<ids::Service, Map<ids::Caller, u32>> = Map::default();
        let mut budgets: Map<ids::Service, u32> = Map::default();
        let mut named: Set<ids::Pool> = Set::default();
        for intent in intents {
            match intent {
                Intent::Budget { service, hosts } => {
                    budgets.insert(service.clone(), *hosts);
                }
                Intent::Move { host, pool } => {
                    self.pins.insert(host.clone(), pool.clone());
                }
                Intent::Pool {
                    name,
                    service,
                    hosts,
                } => {
                    named.insert(name.clone());
                    self.set_pool(name, service.as_ref(), *hosts, changes);
                }
                Intent::Quota {
                    caller,
                    service,
                    slots,
                } => {
                    quotas
                        .entry(service.clone())
                        .or_default()
                        .insert(caller.clone(), *slots);
                }
                Intent::Wave { name, pool, batch } => {
                    self.set_wave(offset, name, pool, *batch, changes);
                }
            }
        }
        self.retire_pools(&named, changes);
        self.replace_budgets(budgets, changes);
        self.replace_quotas(quotas, changes);
        Ok(())
    }

    fn set_pool(
        &mut self,
        name: &ids::Pool,
        service: Option<&ids::Service>,
        hosts: u32,
        changes: &mut Vec<Change>,
    ) {
        let entry: &mut Pool = self.pools.entry(name.clone()).or_default();
        if entry.service.as_ref() == service && entry.target == hosts && hosts > 0 {
            return;
        }
        entry.service = service.cloned();
        entry.target = hosts;
        changes.push(Change::Pool(name.clone(), entry.clone()));
    }

    /// Sets the target of pools that the sheet no longer names to zero; their hosts move away.
    fn retire_pools(&mut self, named: &Set<ids::Pool>, changes: &mut Vec<Change>) {
        for (id, pool) in &mut self.pools {
            if !named.contains(id) && pool.target > 0 {
                pool.target = 0;
                changes.push(Change::Pool(id.clone(), pool.clone()));
            }
        }
    }

    fn set_wave(
        &mut self,
        offset: ids::Offset,
        name: &ids::Wave,
        pool: &ids::Pool,
        batch: u32,
        changes: &mut Vec<Change>,
    ) {
        let wave = self.waves.entry(name.clone()).or_insert_with(|| Wave {
            pool: pool.clone(),
            batch,
            since: offset,
            phase: Phase::Running,
            reason: "asked for by the sheet".to_owned(),
        });
        // A wave keeps its progress when a later sheet names it again; only its size may change.
        wave.batch = batch;
        changes.push(Change::Wave(name.clone(), wave.clone()));
    }

    fn replace_budgets(&mut self, budgets: Map<ids::Service, u32>, changes: &mut Vec<Change>) {
        let gone = self
            .budgets
            .keys()
            .filter(|service| !budgets.contains_key(*service));
        changes.extend(gone.map(|service| Change::Budget(service.clone(), 0)));
        let set = budgets
            .iter()
            .map(|(service, hosts)| Change::Budget(service.clone(), *hosts));
        changes.extend(set);
        self.budgets = budgets;
    }

    fn replace_quotas(
        &mut self,
        quotas: Map<ids::Service, Map<ids::Caller, u32>>,
        changes: &mut Vec<Change>,
    ) {
        for (service, callers) in &self.quotas {
            for caller in callers.keys() {
                if quotas
                    .get(service)
                    .is_none_or(|callers| !callers.contains_key(caller))
                {
                    changes.push(Change::Quota(service.clone(), caller.clone(), 0));
                }
            }
        }
        for (service, callers) in &quotas {
            for (caller, slots) in callers {
                changes.push(Change::Quota(service.clone(), caller.clone(), *slots));
            }
        }
        self.quotas = quotas;
    }
}
