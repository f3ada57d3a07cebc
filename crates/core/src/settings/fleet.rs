//! Settings of the fleet daemon.

use std::time::Duration;

use super::Node;
use super::reader::Reader;
use crate::errors::{Error, Result};
use crate::fleet::Options;

/// Renewals that a member may miss before it is removed, at least.
const MISSED_RENEWALS_MIN: u32 = 3;

/// `Fleet` holds the settings of the fleet daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Settings that every daemon has.
    pub node: Node,
    /// Policy of the manager.
    pub manager: Options,
}

impl TryFrom<&str> for Fleet {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self> {
        super::parse(text, |reader| {
            let node = Node::read(reader);
            let defaults = Options::default();
            let member_timeout = reader.duration("member_timeout", defaults.member_timeout);
            let report_timeout = reader.duration("report_timeout", defaults.report_timeout);
            let reboot_timeout = reader.duration("reboot_timeout", defaults.reboot_timeout);
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

/// Adds a finding when members would be removed after too few missed renewals.
fn check_renewals(reader: &mut Reader<'_>, node: Option<&Node>, timeout: Option<Duration>) {
    let (Some(node), Some(timeout)) = (node, timeout) else {
        return;
    };
    let least = node.renewal_interval * MISSED_RENEWALS_MIN;
    if timeout < least {
        let problem = format!(
            "{timeout:?} is too short for renewals each {:?}",
            node.renewal_interval
        );
        reader.add("member_timeout", &problem, &format!("at least {least:?}"));
    }
}
