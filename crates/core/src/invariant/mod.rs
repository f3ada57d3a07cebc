//! Promises to the users as checks on what the decisions took and returned.
//!
//! A watch stands beside a decision and follows its events and actions on its own. It decides
//! nothing: daemons count and report its breaches, tests and measurements fail on them.

mod check;
mod fleet;
mod gate;
mod replica;
mod rules;

pub use check::{Breach, Check};
pub use fleet::Fleet;
pub use gate::Gate;
pub use replica::Replica;
pub use rules::{
    check_answer, check_budget, check_leaving, check_not_run, check_once, check_pool,
    check_revision, check_stop,
};
