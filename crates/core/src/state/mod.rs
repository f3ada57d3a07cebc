//! State replicated through the log.
//!
//! Every process applies the same records in the same order and reaches the same state. Applying a
//! record decides whether it is accepted or rejected; safety never depends on a clock.

mod apply;
mod change;
mod export;
mod hosts;
mod keys;
mod model;
mod pools;
mod sheet;
mod verdict;
mod waves;

pub use change::Change;
pub use keys::{KEY_RETENTION, Keys, Status};
pub use model::{Host, Member, Pool, Sheet, Stage, State, Wave};
pub use verdict::{Reason, Verdict};

/// Name of the spare pool, which new hosts enter and all services share.
pub const SPARE: &str = "spare";
