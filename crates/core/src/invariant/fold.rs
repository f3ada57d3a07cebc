//! Watch beside the fold of the log.

use super::{Breach, promise};
use crate::ids;
use crate::record::Body;
use crate::state::{State, Verdict};

/// `Fold` follows the records that a process folds.
#[derive(Clone, Debug, Default)]
pub struct Fold {
    next: ids::Offset,
    revision: ids::Revision,
}

impl Fold {
    /// Takes a record after it was folded and appends what did not hold.
    pub fn observe(
        &mut self,
        state: &State,
        body: &Body,
        verdict: &Verdict,
        breaches: &mut Vec<Breach>,
    ) {
        let after = [
            promise::revision("offset", self.next + 1, state.next_offset),
            promise::revision("sheet", self.revision, state.revision),
        ];
        breaches.extend(after.into_iter().filter_map(Result::err));
        self.next = state.next_offset;
        self.revision = state.revision;
        if *verdict == Verdict::Accepted {
            breaches.extend(promise::budget(state, body).err());
        }
    }
}
