//! Client accounts of the configuration, with their keys, shares and limits.

mod directory;
mod spec;

pub use directory::Directory;
pub use spec::{Account, Limit};
