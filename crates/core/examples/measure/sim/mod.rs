//! Simulation of the gate: entry hosts, workers and callers on a simulated clock.

mod actions;
mod baseline;
mod log;
mod plan;
mod setup;
mod stats;
mod world;

pub(crate) use baseline::Baseline;
pub(crate) use plan::{
    ANDAMAN, CONNECTIONS, Chaos, Deployment, Fault, Flood, KUISEB, Mode, Plan, SLOTS,
};
pub(crate) use stats::Stats;
pub(crate) use world::{Dispatcher, World};

/// Formats a share as a percentage.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub(crate) fn percent(part: u64, whole: u64) -> String {
    format!("{:.2}%", 100.0 * part as f64 / whole.max(1) as f64)
}
