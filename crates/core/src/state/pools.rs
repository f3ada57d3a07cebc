//! Application of records about pools.

use super::apply::ApplyResult;
use super::{Change, Pool, Reason, State};
use crate::ids;
use crate::map::Set;

impl State {
    pub(super) fn check_holder(
        &self,
        author: &ids::Instance,
        pool: &ids::Pool,
        term: ids::Term,
    ) -> ApplyResult {
        let Some(current_pool) = self.pools.get(pool) else {
            return Err(Reason::NotFound(format!("pool {pool}")));
        };
        if current_pool.term != term || current_pool.holder.as_ref() != Some(author) {
            return Err(Reason::Term {
                current: current_pool.term,
                seen: term,
            });
        }
        Ok(())
    }

    pub(super) fn apply_claim(
        &mut self,
        author: &ids::Instance,
        pool: &ids::Pool,
        term: ids::Term,
        changes: &mut Vec<Change>,
    ) -> ApplyResult {
        let Some(current_pool) = self.pools.get_mut(pool) else {
            return Err(Reason::NotFound(format!("pool {pool}")));
        };
        if term != current_pool.term + 1 {
            return Err(Reason::Term {
                current: current_pool.term,
                seen: term,
            });
        }
        current_pool.term = term;
        current_pool.holder = Some(author.clone());
        changes.push(Change::Pool(pool.clone(), current_pool.clone()));
        Ok(())
    }

    pub(super) fn set_pool(
        &mut self,
        name: &ids::Pool,
        service: Option<&ids::Service>,
        hosts: u32,
        changes: &mut Vec<Change>,
    ) {
        let current_pool: &mut Pool = self.pools.entry(name.clone()).or_default();
        if current_pool.service.as_ref() == service && current_pool.target == hosts && hosts > 0 {
            return;
        }
        current_pool.service = service.cloned();
        current_pool.target = hosts;
        changes.push(Change::Pool(name.clone(), current_pool.clone()));
    }

    /// Sets the target of pools that the sheet no longer names to zero, so that their hosts are
    /// moved to other pools.
    pub(super) fn retire_pools(&mut self, named: &Set<ids::Pool>, changes: &mut Vec<Change>) {
        for (id, pool) in &mut self.pools {
            if !named.contains(id) && pool.target > 0 {
                pool.target = 0;
                changes.push(Change::Pool(id.clone(), pool.clone()));
            }
        }
    }
}
