//! Records about jobs in the platform's log, and their fold.
//!
//! The log keeps the newest record of each key for good, so each record says all that is known of
//! its key. Callers' records may come from any process; the others only from the leader of the
//! shard, whose term the log checks.

mod index;
mod record;

pub use index::{Entry, Index, Phase};
pub use record::{Drain, Drained, Heartbeat, Key, Load, Record};
