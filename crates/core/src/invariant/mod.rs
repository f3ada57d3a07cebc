//! Runtime checks of the invariants that the product guarantees.
//!
//! A monitor observes the events and actions of a state machine independently and changes nothing:
//! daemons count and report its breaches, and tests and measurements fail on them.

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
    check_answer, check_budget, check_monotonic, check_not_run, check_once, check_pool,
    check_serving, check_stop,
};
