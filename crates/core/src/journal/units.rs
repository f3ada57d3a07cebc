use serde::{Deserialize, Serialize};

use crate::ids;

/// `Units` is a number of parts of the right to an account's limit.
pub type Units = u64;

/// `Demand` is the units of an account that a shard asks for.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Demand {
    /// Account.
    pub account: ids::Account,
    /// Units that the shard would like to have, those that it has among them.
    pub units: Units,
    /// Count of lent units that the shard knows of.
    pub lent: Units,
    /// Units that the first task or gang needs that waits for the limit; 0 if none waits.
    #[serde(default, rename = "first", skip_serializing_if = "is_zero")]
    pub first_need: Units,
    /// Units whose share covers what the runs of the shard reserve, if that is more than it has, as after a limit has
    /// fallen; otherwise 0. It may exceed the whole.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub used: Units,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_zero(units: &Units) -> bool {
    *units == 0
}

/// `Recall` asks a shard to return units of an account.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Recall {
    /// Account.
    pub account: ids::Account,
    /// Units that the shard may have at most once its runs allow it, as others lack units; `None` if it is only to
    /// return what it has no use for.
    #[serde(default, rename = "max", skip_serializing_if = "Option::is_none")]
    pub max_units: Option<Units>,
    /// Count of returned units that the lender knows of.
    pub returned: Units,
}
