//! What came of a replay.

use serde::{Deserialize, Serialize};

use crate::invariant::Check;

/// `Outcome` is what came of a replay, or what is stated to come of it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Outcome {
    /// Events replayed.
    pub steps: u64,
    /// Actions returned.
    pub actions: u64,
    /// Events whose actions differ from the recorded ones.
    pub differing: u64,
    /// Checks without a breach.
    pub held: Vec<Check>,
    /// Checks with a breach.
    pub broken: Vec<Check>,
}
