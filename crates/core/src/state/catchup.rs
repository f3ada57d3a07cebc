//! Changes between two folds of the same log.

use super::{Change, State};
use crate::map::Map;

impl State {
    /// Gets the changes that bring a view of an older fold to this one, removals included.
    #[must_use]
    pub fn changes_from(&self, older: &Self) -> Vec<Change> {
        let members = older
            .members
            .keys()
            .filter(|name| !self.members.contains_key(*name))
            .map(|name| Change::Member(name.clone(), None));
        let budgets = older
            .budgets
            .keys()
            .filter(|name| !self.budgets.contains_key(*name))
            .map(|name| Change::Budget(name.clone(), 0));
        let mut changes: Vec<Change> = members.chain(budgets).collect();
        let none = Map::default();
        for (service, callers) in &older.quotas {
            let kept = self.quotas.get(service).unwrap_or(&none);
            let gone = callers.keys().filter(|caller| !kept.contains_key(*caller));
            changes.extend(gone.map(|caller| Change::Quota(service.clone(), caller.clone(), 0)));
        }
        changes.extend(self.changes());
        changes
    }
}
