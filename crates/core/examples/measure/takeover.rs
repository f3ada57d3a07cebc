//! Time from the loss of a pool's holder to the next holder's claim and first act.

use std::time::Duration;

use hdrhistogram::Histogram;

use crate::table::Table;
use crate::testbed::{self, KUISEB, Loss, Plan};

/// Runs of each row.
const SEEDS: u64 = 20;
/// Longest time of a run.
const LIMIT: Duration = Duration::from_mins(5);

/// Measures both losses at several numbers of instances; returns whether every run saw a takeover
/// that did no harm.
pub(crate) fn run(seed: u64) -> bool {
    let mut table = Table::new(&[
        "holder",
        "instances",
        "runs",
        "claim p50 ms",
        "claim max",
        "act p50 ms",
        "act max",
        "cut",
    ]);
    let mut met = true;
    for (title, loss) in [("ended", Loss::Kill), ("frozen", Loss::Freeze)] {
        for instances in [3, 9, 18] {
            met &= row(&mut table, title, loss, instances, seed).unwrap_or(false);
        }
    }
    table.print();
    met
}

fn row(table: &mut Table, title: &str, loss: Loss, instances: usize, seed: u64) -> Option<bool> {
    let mut claims = Histogram::<u64>::new(3).ok()?;
    let mut acts = Histogram::<u64>::new(3).ok()?;
    let (mut cut, mut runs) = (0, 0);
    for run in 0..SEEDS {
        let mut plan = Plan::new(&KUISEB, 3, seed * 1000 + run);
        plan.instance_count = instances;
        plan.waves = vec![("renderer", 2)];
        plan.loss = Some(loss);
        plan.time_limit = LIMIT;
        let outcome = testbed::run(plan);
        cut += outcome.interrupted_requests;
        if let Some((claim, act)) = outcome.takeover {
            runs += 1;
            claims.record(u64::try_from(claim.as_millis()).ok()?).ok()?;
            acts.record(u64::try_from(act.as_millis()).ok()?).ok()?;
        }
    }
    table.add(vec![
        title.to_owned(),
        instances.to_string(),
        format!("{runs}/{SEEDS}"),
        claims.value_at_quantile(0.5).to_string(),
        claims.max().to_string(),
        acts.value_at_quantile(0.5).to_string(),
        acts.max().to_string(),
        cut.to_string(),
    ]);
    Some(runs == SEEDS && cut == 0)
}
