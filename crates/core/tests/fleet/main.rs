//! Decisions of the manager of the fleet: drains, failures and waves.

mod bench;
mod drains;
mod failures;
mod waves;
