//! Client accounts of the configuration, with their keys, shares and limits, and what their callers may do.

mod access;
mod directory;
mod key;
mod spec;

pub use access::{Caller, Denial};
pub use directory::Directory;
pub use key::Key;
pub use spec::{Account, Limit};
