//! Options of the manager.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// `Options` sets the policy of the manager.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Options {
    /// Time without a renewal after which a member is removed.
    pub member_timeout: Duration,
    /// Delay that each lower rank adds before an instance claims a free pool.
    #[serde(rename = "claim_step")]
    pub claim_delay_per_rank: Duration,
    /// Time that a drain waits for an entry host that does not report.
    pub report_timeout: Duration,
    /// Time after which a drain that does not end is cancelled and its wave paused.
    pub drain_timeout: Duration,
    /// Time between two calls to the platform about one host.
    #[serde(rename = "poll")]
    pub poll_interval: Duration,
    /// Time after which a call to the platform that got no answer is given up.
    pub call_timeout: Duration,
    /// Time after a stop within which a host is expected back.
    pub reboot_timeout: Duration,
    /// Time within which each host in service is asked for its status once.
    #[serde(rename = "audit")]
    pub audit_interval: Duration,
    /// Time for which a host is missing from the host list before it is asked for its status.
    pub missing_timeout: Duration,
    /// Time for which a host that does not answer is missing before it counts as lost.
    #[serde(rename = "gone_timeout")]
    pub lost_timeout: Duration,
    /// Equal answers in a row that decide whether a host is lost or back.
    #[serde(rename = "checks")]
    pub required_answers: u32,
    /// Time between two reviews of a pool in which nothing changed.
    #[serde(rename = "review")]
    pub review_interval: Duration,
    /// Time for which a pool has too many hosts before it gives one away.
    #[serde(rename = "settle")]
    pub surplus_delay: Duration,
    /// Time after a failure within which a host is expected back by itself.
    #[serde(rename = "repair")]
    pub repair_time: Duration,
    /// Moves under way for one pool, at most.
    #[serde(rename = "moves")]
    pub max_moves: usize,
    /// Share of all hosts expected to be under repair at one time, in percent.
    pub repair_percent: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            member_timeout: Duration::from_secs(10),
            claim_delay_per_rank: Duration::from_millis(500),
            report_timeout: Duration::from_secs(5),
            drain_timeout: Duration::from_mins(30),
            poll_interval: Duration::from_millis(500),
            call_timeout: Duration::from_secs(10),
            reboot_timeout: Duration::from_mins(10),
            audit_interval: Duration::from_mins(1),
            missing_timeout: Duration::from_secs(5),
            lost_timeout: Duration::from_mins(1),
            required_answers: 2,
            review_interval: Duration::from_secs(1),
            surplus_delay: Duration::from_mins(2),
            repair_time: Duration::from_mins(30),
            max_moves: 4,
            repair_percent: 2,
        }
    }
}
