//! Monitor of the state that a process replays from the log.

use super::{Breach, rules};
use crate::ids;
use crate::record::Body;
use crate::state::{State, Verdict};

/// `Replica` checks invariants on the records that a process applies.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    next_offset: ids::Offset,
    revision: ids::Revision,
}

impl Replica {
    /// Checks a record after it was applied and appends the breaches.
    pub fn observe(
        &mut self,
        state: &State,
        body: &Body,
        verdict: &Verdict,
        breaches: &mut Vec<Breach>,
    ) {
        let checks = [
            rules::check_monotonic("offset", self.next_offset + 1, state.next_offset),
            rules::check_monotonic("sheet", self.revision, state.revision),
        ];
        breaches.extend(checks.into_iter().filter_map(Result::err));
        self.next_offset = state.next_offset;
        self.revision = state.revision;
        if *verdict == Verdict::Accepted {
            breaches.extend(rules::check_budget(state, body).err());
        }
    }
}
