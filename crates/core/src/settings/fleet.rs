//! Settings of the fleet daemon.

use std::time::Duration;

use super::Node;
use super::reader::Reader;
use crate::errors::{Error, Result};
use crate::fleet::Options;

/// Smallest number of renewal intervals that the member timeout must span.
const RENEWALS_PER_TIMEOUT_MIN: u32 = 3;

/// `Fleet` holds the settings of the fleet daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Settings common to all daemons.
    pub node: Node,
    /// Options of the fleet manager.
    pub manager: Options,
}

impl TryFrom<&str> for Fleet {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self> {
        super::parse(text, |reader| {
            let node = Node::read(reader);
            let defaults = Options::default();
            let member_timeout = reader.read_duration("member_timeout", defaults.member_timeout);
            let report_timeout = reader.read_duration("report_timeout", defaults.report_timeout);
            let reboot_timeout = reader.read_duration("reboot_timeout", defaults.reboot_timeout);
            check_renewals(reader, node.as_ref(), member_timeout);
            let manager = Options {
                member_timeout: member_timeout?,
                report_timeout: report_timeout?,
                reboot_timeout: reboot_timeout?,
                ..defaults
            };
            Some(Self {
                node: node?,
                manager,
            })
        })
    }
}

/// Adds a finding when the member timeout spans too few renewals: a member would be removed after a
/// short delay of its renewals.
fn check_renewals(reader: &mut Reader<'_>, node: Option<&Node>, timeout: Option<Duration>) {
    let (Some(node), Some(timeout)) = (node, timeout) else {
        return;
    };
    let timeout_min = node.renewal_interval * RENEWALS_PER_TIMEOUT_MIN;
    if timeout < timeout_min {
        let problem = format!(
            "{timeout:?} is too short for a renewal interval of {:?}",
            node.renewal_interval
        );
        reader.add_finding(
            "member_timeout",
            &problem,
            &format!("at least {timeout_min:?}"),
        );
    }
}
