//! Settings of the command line tool.

use std::net::SocketAddr;

use crate::errors::{Error, Result};
use crate::ids;

/// `Control` holds the settings of `persimmonctl`; command line options override them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Control {
    /// Addresses of the HTTP interfaces of fleet instances; the first that answers is used.
    pub fleet_addresses: Vec<SocketAddr>,
    /// Operator in whose name changes are made.
    pub operator: Option<ids::Operator>,
}

impl TryFrom<&str> for Control {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self> {
        super::parse(text, |reader| {
            let fleet_addresses = reader.read_addresses("fleet");
            let operator = reader.read_optional_name("operator");
            Some(Self {
                fleet_addresses: fleet_addresses?,
                operator,
            })
        })
    }
}
