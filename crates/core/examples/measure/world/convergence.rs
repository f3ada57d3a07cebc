//! Checks that the processes follow the log and converge on its state.

use persimmongate_core::invariant::Check;

use super::SECOND;
use super::run::World;

/// Maximum time until an accepted record is replayed by every healthy process, in steps.
const MAX_PROPAGATION_STEPS: u64 = 7 * SECOND;

impl World {
    /// Checks that healthy processes have replayed the records of `MAX_PROPAGATION_STEPS` ago.
    pub(super) fn check_propagation(&mut self) {
        let step = self.step;
        self.log_ends.insert(step, self.log.end_offset());
        let Some(earlier) = step.checked_sub(MAX_PROPAGATION_STEPS) else {
            return;
        };
        self.log_ends = self.log_ends.split_off(&earlier);
        let Some(expected) = self.log_ends.get(&earlier).copied() else {
            return;
        };
        if self.log.is_down || self.log_up_since > earlier {
            return;
        }
        let entries = self
            .entries
            .iter()
            .filter(|entry| entry.partitioned_until <= earlier && entry.frozen_until <= earlier)
            .map(|entry| &entry.follower.state);
        let fleets = self
            .fleets
            .iter()
            .filter(|fleet| fleet.partitioned_until <= earlier && fleet.frozen_until <= earlier)
            .map(|fleet| &fleet.follower.state);
        for state in entries
            .chain(fleets)
            .filter(|state| state.next_offset < expected)
        {
            let detail = format!(
                "a healthy process has replayed {} of {expected} records",
                state.next_offset
            );
            self.breaches.push(Check::Revision.breach(detail));
        }
    }

    /// Checks after recovery that all processes have the state of the log and that every call has
    /// ended.
    pub(super) fn check_convergence(&mut self) {
        let mut breaches = Vec::new();
        for fleet in &self.fleets {
            let view = fleet.manager.view();
            let is_equal = fleet.follower.state == self.state
                && view.hosts == self.state.hosts
                && view.pools == self.state.pools
                && view.waves == self.state.waves;
            let members_known = view
                .members
                .keys()
                .all(|instance| self.state.members.contains_key(instance));
            if !is_equal || !members_known {
                let detail = format!(
                    "the state of fleet-{} differs from the log",
                    fleet.process.index
                );
                breaches.push(Check::Revision.breach(detail));
            }
        }
        for entry in &self.entries {
            if entry.follower.state != self.state {
                let detail = format!(
                    "the state of entry-{} differs from the log",
                    entry.process.index
                );
                breaches.push(Check::Revision.breach(detail));
            }
            if entry.gate.unfinished_count() + entry.checker.unfinished_count() + entry.calls.len()
                > 0
            {
                let (requests, calls) = (entry.gate.unfinished_count(), entry.calls.len());
                let detail = format!(
                    "entry-{} still holds {requests} requests and {calls} calls, its checker {}",
                    entry.process.index,
                    entry.checker.unfinished_count()
                );
                breaches.push(Check::Answer.breach(detail));
            }
        }
        if self.ledger.attempt_count() != self.ledger.ended_count() {
            let (made, ended) = (self.ledger.attempt_count(), self.ledger.ended_count());
            let detail = format!("{ended} of {made} attempts ended");
            breaches.push(Check::Answer.breach(detail));
        }
        self.breaches.extend(breaches);
    }
}
