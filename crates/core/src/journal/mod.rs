//! Records about jobs in the platform's log, and the state replayed from them.
//!
//! The log is compacted by key and keeps the newest record of each key, so each record holds the
//! complete state of its key. Any process may append records on behalf of callers; all others come
//! from the leader of the shard, whose term the log checks.

mod index;
mod record;

pub use index::{Entry, Index, Phase};
pub use record::{Drain, Drained, Excess, Heartbeat, Key, Limits, Load, MAX_EXCESSES, Record};
