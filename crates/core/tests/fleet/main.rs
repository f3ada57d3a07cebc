//! Decisions of the manager of the fleet: drains, failures and waves.

mod drains;
mod failures;
mod fixture;
mod waves;
