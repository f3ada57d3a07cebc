//! Settings of the daemons and of the command line, checked as a whole.

mod control;
mod entry;
mod fleet;
mod gateway;
mod node;
mod reader;
mod unit;

pub use control::Control;
pub use entry::Entry;
pub use fleet::Fleet;
pub use gateway::Gateway;
pub use node::{Format, Node};

use crate::errors::{Result, value_error};
use reader::Reader;

/// Parses settings with a function that reads the keys of one kind of settings.
///
/// # Errors
///
/// Returns every finding of the text: those of the function, and the keys that it did not read.
fn parse<T>(text: &str, read_keys: impl FnOnce(&mut Reader) -> Option<T>) -> Result<T> {
    let mut reader = Reader::new(text)?;
    let value = read_keys(&mut reader);
    let mut findings = reader.finish();
    if value.is_none() && findings.is_empty() {
        findings.add(
            1,
            "",
            "",
            "internal error: a key was rejected without a finding",
            "",
        );
    }
    let value = findings.finish(value)?;
    value.ok_or_else(|| value_error("settings", "incomplete"))
}
