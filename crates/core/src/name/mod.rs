//! Syntax of names.

/// Longest name accepted, in bytes.
const LEN_MAX_BYTES: usize = 64;
/// Accepted syntax of a name, as findings describe it.
pub const SYNTAX: &str = "a name of letters, digits, '-', '_' and '.', at most 64 characters";

/// Checks the syntax of a name.
///
/// # Errors
///
/// Returns the problem when the text is not a name.
pub fn check(text: &str) -> Result<(), &'static str> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if text.is_empty() {
        Err("name is empty")
    } else if text.len() > LEN_MAX_BYTES {
        Err("name is too long")
    } else if !text.chars().all(allowed) {
        Err("not a name")
    } else {
        Ok(())
    }
}
