//! Settings of the command line.

use std::net::SocketAddr;

use crate::errors::{Error, Result};
use crate::ids;

/// `Control` holds the settings of `persimmonctl`, all of which options may replace.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Control {
    /// HTTP interfaces of fleet instances; the first that answers is used.
    pub fleet_addresses: Vec<SocketAddr>,
    /// Name that changes are made under.
    pub operator: Option<ids::Operator>,
}

impl TryFrom<&str> for Control {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self> {
        super::parse(text, |reader| {
            let fleet_addresses = reader.addresses("fleet");
            let operator = reader.optional_name("operator");
            Some(Self {
                fleet_addresses: fleet_addresses?,
                operator,
            })
        })
    }
}
