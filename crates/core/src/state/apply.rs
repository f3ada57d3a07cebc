//! Application of records to the state.

use std::time::SystemTime;

use super::keys::Claim;
use super::{Change, Member, Reason, State, Status, Verdict};
use crate::ids;
use crate::record::{self, Body, Completion, Record};

/// `ApplyResult` is `Ok` if a record was applied, else the reason for its rejection.
pub(super) type ApplyResult = Result<(), Reason>;

impl State {
    /// Applies the record at an offset and appends the resulting changes; `at` is the time that the
    /// log gave the record.
    pub fn apply(
        &mut self,
        offset: ids::Offset,
        at: SystemTime,
        record: &Record,
        changes: &mut Vec<Change>,
    ) -> Verdict {
        self.next_offset = offset + 1;
        self.log_time = self.log_time.max(at);
        self.keys.evict_expired(self.log_time);
        if let Err(verdict) = self.check_author(offset, record) {
            return verdict;
        }
        match self.apply_body(offset, record, changes) {
            Ok(()) => Verdict::Accepted,
            Err(reason) => Verdict::Rejected(reason),
        }
    }

    /// Checks that the author is a current member and the record is new. A record of any other
    /// incarnation must be a join.
    fn check_author(&mut self, offset: ids::Offset, record: &Record) -> Result<(), Verdict> {
        if matches!(record.body, Body::Join(_)) {
            return match self.members.get(&record.author) {
                Some(member) if member.incarnation == record.incarnation => Err(Verdict::Duplicate),
                _ => Ok(()),
            };
        }
        let Some(member) = self.members.get_mut(&record.author) else {
            return Err(Verdict::Rejected(Reason::NotMember));
        };
        if member.incarnation != record.incarnation {
            return Err(Verdict::Rejected(Reason::NotMember));
        }
        if record.sequence <= member.sequence {
            return Err(Verdict::Duplicate);
        }
        member.sequence = record.sequence;
        member.renewed_offset = offset;
        Ok(())
    }

    fn apply_body(
        &mut self,
        offset: ids::Offset,
        record: &Record,
        changes: &mut Vec<Change>,
    ) -> ApplyResult {
        match &record.body {
            Body::Amend {
                base_revision: base,
                operator,
                removed,
                added,
            } => {
                let intents = self.amended(removed, added);
                self.apply_sheet(offset, *base, operator, intents, changes)
            }
            Body::Claim { pool, term } => self.apply_claim(&record.author, pool, *term, changes),
            Body::Command {
                wave,
                command,
                operator,
            } => self.apply_command(wave, *command, operator, changes),
            Body::Drain { .. }
            | Body::Lost { .. }
            | Body::Move { .. }
            | Body::Return { .. }
            | Body::Stop { .. } => self.apply_host(offset, record, changes),
            Body::Enroll { hosts } => {
                for listing in hosts.iter().filter(|listing| listing.check().is_ok()) {
                    self.enroll_host(offset, listing, changes);
                }
                Ok(())
            }
            Body::Expire {
                instance,
                incarnation,
            } => self.apply_expire(instance, *incarnation, changes),
            Body::Join(announcement) => {
                self.apply_join(offset, record, announcement, changes);
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
            Body::Outcomes { outcomes } => {
                self.apply_outcomes(record, outcomes);
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
            Body::Snapshot { next_offset: next } => {
                if *next > offset {
                    let problem = "the records that the snapshot covers are not there".to_owned();
                    return Err(Reason::InvalidState(problem));
                }
                self.snapshot_offset = self.snapshot_offset.max(*next);
                Ok(())
            }
            Body::Sheet {
                base_revision: base,
                operator,
                intents,
            } => self.apply_sheet(offset, *base, operator, intents.clone(), changes),
        }
    }

    fn apply_join(
        &mut self,
        offset: ids::Offset,
        record: &Record,
        announcement: &record::Announcement,
        changes: &mut Vec<Change>,
    ) {
        let member = Member {
            announcement: announcement.clone(),
            incarnation: record.incarnation,
            sequence: record.sequence,
            renewed_offset: offset,
        };
        self.remove_member(&record.author, changes);
        self.members.insert(record.author.clone(), member.clone());
        changes.push(Change::Member(record.author.clone(), Some(member)));
    }

    fn apply_expire(
        &mut self,
        instance: &ids::Instance,
        incarnation: ids::Incarnation,
        changes: &mut Vec<Change>,
    ) -> ApplyResult {
        let current = self.members.get(instance).map(|member| member.incarnation);
        if current != Some(incarnation) {
            return Err(Reason::NotFound(format!("run {incarnation} of {instance}")));
        }
        self.remove_member(instance, changes);
        Ok(())
    }

    pub(super) fn remove_member(&mut self, instance: &ids::Instance, changes: &mut Vec<Change>) {
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

    fn apply_keys(
        &mut self,
        record: &Record,
        keys: &[ids::IdempotencyKey],
        changes: &mut Vec<Change>,
    ) {
        let mut won = Vec::new();
        for key in keys {
            if self.keys.status(*key, self.log_time) == Status::Free {
                let claim = Claim {
                    instance: record.author.clone(),
                    incarnation: record.incarnation,
                    outcome: None,
                };
                self.keys.insert(*key, claim);
                won.push(*key);
            }
        }
        changes.push(Change::Keys(record.author.clone(), won));
    }

    fn apply_outcomes(&mut self, record: &Record, outcomes: &[(ids::IdempotencyKey, Completion)]) {
        for (key, outcome) in outcomes {
            self.keys
                .record_outcome(*key, &record.author, record.incarnation, *outcome);
        }
    }
}
