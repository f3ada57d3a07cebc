//! Application of sheets.

use super::apply::ApplyResult;
use super::{Change, Reason, Sheet, State};
use crate::ids;
use crate::map::{Map, Set};
use crate::record::Body;
use crate::sheet::Intent;

impl State {
    /// Returns the record that applies a sheet: only the rows that differ from the sheet at
    /// revision `base`, or all rows if that is not the sheet in force.
    #[must_use]
    pub fn sheet_record(
        &self,
        base: ids::Revision,
        operator: ids::Operator,
        intents: Vec<Intent>,
    ) -> Body {
        let Some(sheet) = self.sheet.as_ref().filter(|_| base == self.revision) else {
            return Body::Sheet {
                base_revision: base,
                operator,
                intents,
            };
        };
        let rows_missing_in = |rows: &[Intent], other: &[Intent]| {
            let missing = rows.iter().filter(|row| !other.contains(row));
            missing.cloned().collect()
        };
        Body::Amend {
            base_revision: base,
            operator,
            removed: rows_missing_in(&sheet.intents, &intents),
            added: rows_missing_in(&intents, &sheet.intents),
        }
    }

    pub(super) fn apply_sheet(
        &mut self,
        offset: ids::Offset,
        base: ids::Revision,
        operator: &ids::Operator,
        intents: Vec<Intent>,
        changes: &mut Vec<Change>,
    ) -> ApplyResult {
        if base != self.revision {
            return Err(Reason::Conflict {
                current: self.revision,
                seen: base,
            });
        }
        if !intents.iter().all(Intent::is_valid) {
            let problem = "a row has a number out of range".to_owned();
            return Err(Reason::InvalidState(problem));
        }
        self.revision = offset;
        let mut pins: Map<ids::Host, ids::Pool> = Map::default();
        let mut quotas: Map<ids::Service, Map<ids::Caller, u32>> = Map::default();
        let mut budgets: Map<ids::Service, u32> = Map::default();
        let mut named: Set<ids::Pool> = Set::default();
        for intent in &intents {
            match intent {
                Intent::Budget { service, hosts } => {
                    budgets.insert(service.clone(), *hosts);
                }
                Intent::Move { host, pool } => {
                    pins.insert(host.clone(), pool.clone());
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
        self.replace_pins(pins, changes);
        self.replace_budgets(budgets, changes);
        self.replace_quotas(quotas, changes);
        self.sheet = Some(Sheet {
            operator: operator.clone(),
            applied_at: self.log_time,
            intents,
        });
        Ok(())
    }

    /// Returns the rows of the sheet in force with some removed and some added.
    pub(super) fn amended(&self, removed: &[Intent], added: &[Intent]) -> Vec<Intent> {
        let current = self.sheet.iter().flat_map(|sheet| &sheet.intents);
        let kept = current.filter(|intent| !removed.contains(intent));
        kept.chain(added).cloned().collect()
    }

    fn replace_pins(&mut self, pins: Map<ids::Host, ids::Pool>, changes: &mut Vec<Change>) {
        let removed = self.pins.keys().filter(|host| !pins.contains_key(*host));
        changes.extend(removed.map(|host| Change::Pin(host.clone(), None)));
        let assigned = pins.iter();
        changes.extend(assigned.map(|(host, pool)| Change::Pin(host.clone(), Some(pool.clone()))));
        self.pins = pins;
    }

    pub(super) fn replace_budgets(
        &mut self,
        budgets: Map<ids::Service, u32>,
        changes: &mut Vec<Change>,
    ) {
        let removed = self
            .budgets
            .keys()
            .filter(|service| !budgets.contains_key(*service));
        changes.extend(removed.map(|service| Change::Budget(service.clone(), 0)));
        let assigned = budgets
            .iter()
            .map(|(service, hosts)| Change::Budget(service.clone(), *hosts));
        changes.extend(assigned);
        self.budgets = budgets;
    }

    pub(super) fn replace_quotas(
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
