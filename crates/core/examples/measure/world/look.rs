//! Comparison of what the processes know with the log.

use persimmongate_core::invariant::Check;

use super::SECOND;
use super::run::World;

/// Steps in which an accepted configuration is in force at every healthy process.
const FORCE_STEPS: u64 = 7 * SECOND;

impl World {
    /// Checks that healthy processes know what was accepted some seconds ago.
    pub(super) fn look(&mut self) {
        let step = self.step;
        self.ends.insert(step, self.log.end());
        let Some(old) = step.checked_sub(FORCE_STEPS) else {
            return;
        };
        self.ends = self.ends.split_off(&old);
        let Some(due) = self.ends.get(&old).copied() else {
            return;
        };
        if self.log.down || self.log_up_since > old {
            return;
        }
        let entries = self
            .entries
            .iter()
            .filter(|entry| entry.cut_until <= old && entry.frozen_until <= old)
            .map(|entry| &entry.follower.state);
        let fleets = self
            .fleets
            .iter()
            .filter(|fleet| fleet.cut_until <= old && fleet.frozen_until <= old)
            .map(|fleet| &fleet.follower.state);
        for state in entries
            .chain(fleets)
            .filter(|state| state.next_offset < due)
        {
            let detail = format!("a process knows {} of {due} records", state.next_offset);
            self.breaches.push(Check::Revision.breach(detail));
        }
    }

    /// Checks that all processes agree and every call ended, once nothing fails any more.
    pub(super) fn compare(&mut self) {
        let mut breaches = Vec::new();
        for fleet in &self.fleets {
            let view = fleet.manager.view();
            let same = fleet.follower.state == self.state
                && view.hosts == self.state.hosts
                && view.pools == self.state.pools
                && view.waves == self.state.waves;
            let members = view
                .members
                .keys()
                .all(|n| self.state.members.contains_key(n));
            if !same || !members {
                let detail = format!("fleet-{} differs from the log", fleet.place.index);
                breaches.push(Check::Revision.breach(detail));
            }
        }
        for entry in &self.entries {
            if entry.follower.state != self.state {
                let detail = format!("entry-{} differs from the log", entry.place.index);
                breaches.push(Check::Revision.breach(detail));
            }
            if entry.gate.unfinished_count() + entry.watch.unfinished_count() + entry.calls.len()
                > 0
            {
                let (open, calls) = (entry.gate.unfinished_count(), entry.calls.len());
                let detail = format!(
                    "entry-{} keeps {open} requests and {calls} callers, watch {}",
                    entry.place.index,
                    entry.watch.unfinished_count()
                );
                breaches.push(Check::Answer.breach(detail));
            }
        }
        if self.ledger.made() != self.ledger.ended() {
            let (made, ended) = (self.ledger.made(), self.ledger.ended());
            let detail = format!("{ended} of {made} calls ended");
            breaches.push(Check::Answer.breach(detail));
        }
        self.breaches.extend(breaches);
    }
}
