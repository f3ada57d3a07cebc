//! Options of the manager.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// `Options` sets the policy of the manager.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Options {
    /// Time without a renewal after which a member is removed.
    pub member_timeout: Duration,
    /// Delay that each lower rank adds before an instance claims a free pool.
    pub claim_step: Duration,
    /// Time that a drain waits for an entry host that does not report.
    pub report_timeout: Duration,
    /// Time between two calls to the platform about one host.
    pub poll: Duration,
    /// Time after a stop within which a host is expected back.
    pub reboot_timeout: Duration,
    /// Moves under way for one pool, at most.
    pub moves: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            member_timeout: Duration::from_secs(10),
            claim_step: Duration::from_millis(500),
            report_timeout: Duration::from_secs(5),
            poll: Duration::from_millis(500),
            reboot_timeout: Duration::from_mins(10),
            moves: 4,
        }
    }
}
