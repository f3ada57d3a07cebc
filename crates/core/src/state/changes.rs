//! The whole state as changes, for views that start anew or skip records.

use super::{Change, Member, State};
use crate::ids;

impl State {
    /// Gets the whole state as changes, for a view that starts from nothing.
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

    /// Gets the whole state as changes, for a view that follows an older state.
    ///
    /// What the older state had and this one has not is named as gone.
    #[must_use]
    pub fn changes_since(&self, old: &Self) -> Vec<Change> {
        let mut changes = Vec::new();
        let members = old
            .members
            .keys()
            .filter(|id| !self.members.contains_key(*id));
        changes.extend(members.map(|id| Change::Member(id.clone(), None)));
        let pins = old.pins.keys().filter(|id| !self.pins.contains_key(*id));
        changes.extend(pins.map(|id| Change::Pin(id.clone(), None)));
        let budgets = old
            .budgets
            .keys()
            .filter(|id| !self.budgets.contains_key(*id));
        changes.extend(budgets.map(|id| Change::Budget(id.clone(), 0)));
        for (service, callers) in &old.quotas {
            let now = self.quotas.get(service);
            let gone = callers
                .keys()
                .filter(|id| now.is_none_or(|now| !now.contains_key(*id)));
            changes.extend(gone.map(|id| Change::Quota(service.clone(), id.clone(), 0)));
        }
        changes.extend(self.changes());
        changes
    }
}
