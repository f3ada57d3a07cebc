//! Options of the manager.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// `Options` holds the time-outs, intervals and limits of the manager.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Options {
    /// Time without a renewal after which a member expires.
    pub member_timeout: Duration,
    /// Delay that each rank adds before an instance claims a pool without a holder or expires a member.
    #[serde(rename = "claim_step")]
    pub claim_delay_per_rank: Duration,
    /// Time for which a drain waits for an entry host that does not report.
    pub report_timeout: Duration,
    /// Time after which an unfinished drain is canceled and its wave paused.
    pub drain_timeout: Duration,
    /// Time between two calls to the platform about one host.
    #[serde(rename = "poll")]
    pub poll_interval: Duration,
    /// Time after which a call to the platform without an answer is abandoned.
    pub call_timeout: Duration,
    /// Time after its stop within which a host must return, before it counts as lost.
    pub reboot_timeout: Duration,
    /// Time within which the status of each host in service is queried once.
    #[serde(rename = "audit")]
    pub audit_interval: Duration,
    /// Time for which a host is missing from the host list before its status is queried.
    pub missing_timeout: Duration,
    /// Time for which a host is missing from the host list before it counts as lost if its status is
    /// unknown.
    #[serde(rename = "gone_timeout")]
    pub lost_timeout: Duration,
    /// Number of equal answers in a row that confirm that a host is lost or has returned.
    #[serde(rename = "checks")]
    pub required_answers: u32,
    /// Time between two reviews of an unchanged pool.
    #[serde(rename = "review")]
    pub review_interval: Duration,
    /// Time for which a pool has a surplus of hosts before it returns them to the spare pool.
    #[serde(rename = "settle")]
    pub surplus_delay: Duration,
    /// Time after a failure within which a host is expected to return by itself.
    #[serde(rename = "repair")]
    pub repair_time: Duration,
    /// Maximum number of moves that one review of a pool starts.
    #[serde(rename = "moves")]
    pub max_moves: usize,
    /// Share of all hosts expected to be under repair at a time, in percent.
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
