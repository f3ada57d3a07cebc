//! What came of a replay.

use serde::{Deserialize, Serialize};

use crate::invariant::Check;

/// `Summary` is what came of a replay, or what is stated to come of it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Summary {
    /// Events replayed.
    #[serde(rename = "steps")]
    pub step_count: u64,
    /// Actions returned.
    #[serde(rename = "actions")]
    pub action_count: u64,
    /// Events whose actions differ from the recorded ones.
    #[serde(rename = "differing")]
    pub mismatched_steps: u64,
    /// Checks without a breach.
    #[serde(rename = "held")]
    pub passed_checks: Vec<Check>,
    /// Checks with a breach.
    #[serde(rename = "broken")]
    pub failed_checks: Vec<Check>,
}
