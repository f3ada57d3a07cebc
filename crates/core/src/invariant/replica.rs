//! Watch beside the fold of the log.

use super::{Breach, rules};
use crate::ids;
use crate::record::Body;
use crate::state::{State, Verdict};

/// `Replica` follows the records that a process folds.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    next: ids::Offset,
    revision: ids::Revision,
}

impl Replica {
    /// Takes a record after it was folded and appends what did not hold.
    pub fn observe(
        &mut self,
        state: &State,
        body: &Body,
        verdict: &Verdict,
        breaches: &mut Vec<Breach>,
    ) {
        let after = [
            rules::check_revision("offset", self.next + 1, state.next_offset),
            rules::check_revision("sheet", self.revision, state.revision),
        ];
        breaches.extend(after.into_iter().filter_map(Result::err));
        self.next = state.next_offset;
        self.revision = state.revision;
        if *verdict == Verdict::Accepted {
            breaches.extend(rules::check_budget(state, body).err());
        }
    }
}
