//! Small fakes around the decision code: entry hosts, workers and callers on a simulated clock.

mod carry;
mod log;
mod plain;
mod plan;
mod setup;
mod tally;
mod world;

pub(crate) use plain::Plain;
pub(crate) use plan::{
    ANDAMAN, CONNECTIONS, Chaos, Deployment, Fault, Flood, KUISEB, Mode, Plan, SLOTS,
};
pub(crate) use tally::Tally;
pub(crate) use world::{Door, World};

/// Formats a share as a percentage.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub(crate) fn percent(part: u64, whole: u64) -> String {
    format!("{:.2}%", 100.0 * part as f64 / whole.max(1) as f64)
}
