//! Tests of the fleet's decisions.

mod bench;
mod drains;
mod failures;
mod waves;
