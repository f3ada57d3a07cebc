//! Promises to the users as checks on what the decisions took and returned.
//!
//! A watch stands beside a decision and follows its events and actions on its own. It decides
//! nothing: daemons count and report its breaches, tests and measurements fail on them.

mod check;
mod fleet;
mod fold;
mod gate;
mod promise;

pub use check::{Breach, Check};
pub use fleet::Fleet;
pub use fold::Fold;
pub use gate::Gate;
pub use promise::{answer, budget, leaving, not_run, once, pool, revision, stop};
