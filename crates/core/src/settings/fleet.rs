//! Settings of the fleet daemon.

use super::Node;
use crate::errors::{Error, Result};
use crate::fleet::Options;

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
