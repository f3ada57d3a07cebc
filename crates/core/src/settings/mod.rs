//! Settings of the daemons, checked as a whole.

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

/// Parses settings with a function that takes each key it knows.
///
/// # Errors
///
/// Returns every finding of the text: those of the function, and keys that it did not take.
fn parse<T>(text: &str, read: impl FnOnce(&mut Reader) -> Option<T>) -> Result<T> {
    let mut reader = Reader::new(text)?;
    let value = read(&mut reader);
    let mut findings = reader.finish();
    if value.is_none() && findings.is_empty() {
        findings.add(1, "", "", "settings are incomplete", "");
    }
    let value = findings.finish(value)?;
    value.ok_or_else(|| value_error("settings", "incomplete"))
}
