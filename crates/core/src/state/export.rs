//! The whole state as a list of changes, for views that start empty or skip records.

use super::{Change, Member, State};
use crate::ids;

impl State {
    /// Returns the whole state as changes, for a view that starts empty.
    #[must_use]
    pub fn changes(&self) -> Vec<Change> {
        let mut changes = Vec::new();
        let pools = self.pools.iter();
        changes.extend(pools.map(|(id, pool)| Change::Pool(id.clone(), pool.clone())));
        let budgets = self.budgets.iter();
        changes.extend(budgets.map(|(id, hosts)| Change::Budget(id.clone(), *hosts)));
        for (service, callers) in &self.quotas {
            let quota = |(caller, slots): (&ids::Caller, &u32)| {
                Change::Quota(service.clone(), caller.clone(), *slots)
            };
            changes.extend(callers.iter().map(quota));
        }
        let hosts = self.hosts.iter();
        changes.extend(hosts.map(|(id, host)| Change::Host(id.clone(), host.clone())));
        let pins = self.pins.iter();
        changes.extend(pins.map(|(id, pool)| Change::Pin(id.clone(), Some(pool.clone()))));
        let waves = self.waves.iter();
        changes.extend(waves.map(|(id, wave)| Change::Wave(id.clone(), wave.clone())));
        let member = |(id, member): (&ids::Instance, &Member)| {
            Change::Member(id.clone(), Some(member.clone()))
        };
        changes.extend(self.members.iter().map(member));
        changes
    }

    /// Returns the changes that bring a view of an older state up to date.
    ///
    /// They hold the whole state, after the removals of items that only the older state has.
    #[must_use]
    pub fn changes_since(&self, older: &Self) -> Vec<Change> {
        let mut changes = Vec::new();
        let members = older
            .members
            .keys()
            .filter(|id| !self.members.contains_key(*id));
        changes.extend(members.map(|id| Change::Member(id.clone(), None)));
        let pins = older.pins.keys().filter(|id| !self.pins.contains_key(*id));
        changes.extend(pins.map(|id| Change::Pin(id.clone(), None)));
        let budgets = older
            .budgets
            .keys()
            .filter(|id| !self.budgets.contains_key(*id));
        changes.extend(budgets.map(|id| Change::Budget(id.clone(), 0)));
        for (service, callers) in &older.quotas {
            let current = self.quotas.get(service);
            let removed = callers
                .keys()
                .filter(|id| current.is_none_or(|current| !current.contains_key(*id)));
            changes.extend(removed.map(|id| Change::Quota(service.clone(), id.clone(), 0)));
        }
        changes.extend(self.changes());
        changes
    }
}
