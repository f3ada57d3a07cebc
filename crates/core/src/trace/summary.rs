//! Results of a replay.

use serde::{Deserialize, Serialize};

use crate::invariant::Check;

/// `Summary` is the result of a replay, or the expected result that it is compared with.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Summary {
    /// Number of events replayed.
    #[serde(rename = "steps")]
    pub step_count: u64,
    /// Number of actions that the replay returned.
    #[serde(rename = "actions")]
    pub action_count: u64,
    /// Number of events whose actions differ from the recorded ones.
    #[serde(rename = "differing")]
    pub mismatched_steps: u64,
    /// Invariant checks without a breach.
    #[serde(rename = "held")]
    pub passed_checks: Vec<Check>,
    /// Invariant checks with a breach.
    #[serde(rename = "broken")]
    pub failed_checks: Vec<Check>,
}
