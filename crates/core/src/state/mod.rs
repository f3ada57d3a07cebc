//! The fold of the log.
//!
//! Every process folds the same records in the same order to the same state. The fold decides
//! whether a record counts; safety never depends on a clock.

mod apply;
mod change;
mod changes;
mod entry;
mod hosts;
mod keys;
mod pools;
mod sheet;
mod verdict;
mod waves;

pub use change::Change;
pub use entry::{Host, Member, Pool, Sheet, Stage, State, Wave};
pub use keys::{KEY_WINDOW, KeyStatus, Keys};
pub use verdict::{Reason, Verdict};

/// Name of the pool that new hosts enter and that all services share.
pub const SPARE: &str = "spare";
