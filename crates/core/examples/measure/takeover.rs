//! Time from the loss of the fleet instance that holds a pool to the claim and the first action of
//! the next holder.

use std::time::Duration;

use hdrhistogram::Histogram;

use crate::table::Table;
use crate::testbed::{self, KUISEB, Loss, Plan};

/// Number of runs for each row.
const RUNS: u64 = 20;
/// Simulated time after which a run ends in any case.
const RUN_TIME_LIMIT: Duration = Duration::from_mins(5);

/// Measures both kinds of loss with several numbers of instances; returns whether every run had a
/// takeover that interrupted no requests.
pub(crate) fn run(seed: u64) -> bool {
    let mut table = Table::new(&[
        "holder",
        "instances",
        "runs",
        "claim p50 ms",
        "claim max",
        "action p50 ms",
        "action max",
        "cut",
    ]);
    let mut targets_met = true;
    for (title, loss) in [("ended", Loss::Kill), ("frozen", Loss::Freeze)] {
        for instances in [3, 9, 18] {
            targets_met &= add_row(&mut table, title, loss, instances, seed).unwrap_or(false);
        }
    }
    table.print();
    targets_met
}

fn add_row(
    table: &mut Table,
    title: &str,
    loss: Loss,
    instances: usize,
    seed: u64,
) -> Option<bool> {
    let mut claims = Histogram::<u64>::new(3).ok()?;
    let mut actions = Histogram::<u64>::new(3).ok()?;
    let (mut interrupted, mut completed) = (0, 0);
    for run in 0..RUNS {
        let mut plan = Plan::new(&KUISEB, 3, seed * 1000 + run);
        plan.instance_count = instances;
        plan.waves = vec![("renderer", 2)];
        plan.loss = Some(loss);
        plan.time_limit = RUN_TIME_LIMIT;
        let outcome = testbed::run(plan);
        interrupted += outcome.interrupted_requests;
        if let Some((claim, action)) = outcome.takeover {
            completed += 1;
            claims.record(u64::try_from(claim.as_millis()).ok()?).ok()?;
            actions
                .record(u64::try_from(action.as_millis()).ok()?)
                .ok()?;
        }
    }
    table.add(vec![
        title.to_owned(),
        instances.to_string(),
        format!("{completed}/{RUNS}"),
        claims.value_at_quantile(0.5).to_string(),
        claims.max().to_string(),
        actions.value_at_quantile(0.5).to_string(),
        actions.max().to_string(),
        interrupted.to_string(),
    ]);
    Some(completed == RUNS && interrupted == 0)
}
