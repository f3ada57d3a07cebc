//! Maintenance waves of the manager, compared with fixed batches and with one host at a time, with
//! and without faults.

use std::time::Duration;

use crate::table::Table;
use crate::testbed::{self, ANDAMAN, Faults, KUISEB, Outcome, Plan, Policy, Service};

/// Number of hosts in the spare pool.
const SPARE_HOSTS: usize = 3;
/// Maximum number of hosts that a wave takes out of service at a time.
const MAX_BATCH_HOSTS: u32 = 2;
/// Number of runs for each row.
const RUNS: u64 = 10;
/// Time after which the baseline with fixed batches stops a host.
const FIXED_STOP_DELAY: Duration = Duration::from_secs(30);
/// Maximum mean ratio of the duration of a wave to the time that its budget allows.
const MAX_MEAN_TIME_RATIO: f64 = 1.25;
/// Faults of every kind, several in an hour.
const FAULTS: Faults = Faults {
    kill_rate: 300,
    freeze_rate: 2000,
    slow_append_rate: 1000,
    outage_rate: 50,
    crash_rate: 200,
    rack_failure_rate: 20,
    failed_reboot_percent: 2,
    duplicate_append_percent: 3,
};

/// `Strategy` determines how the hosts of pools are maintained.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Strategy {
    /// The manager of the fleet, with the largest batch.
    Manager,
    /// A fixed batch, each host stopped after a fixed delay.
    Fixed,
    /// The manager, with one host at a time.
    Single,
}

/// Runs all strategies on both deployments; returns whether the manager met the targets.
pub(crate) fn run(seed: u64) -> bool {
    let mut table = Table::new(&[
        "wave",
        "ended",
        "time / bound",
        "worst",
        "violation s",
        "shortfall s",
        "cut",
        "moves",
        "pauses",
        "states equal",
    ]);
    let mut targets_met = true;
    for (name, services) in [("kuiseb", &KUISEB), ("andaman", &ANDAMAN)] {
        for (kind, pools) in [("one pool", 1), ("five pools", services.len())] {
            for (conditions, faults) in [("calm", Faults::default()), ("faults", FAULTS)] {
                for strategy in [Strategy::Manager, Strategy::Fixed, Strategy::Single] {
                    let plans = plans(services, pools, faults, strategy, seed);
                    let outcomes: Vec<Outcome> = plans.into_iter().map(testbed::run).collect();
                    let title = format!("{name}, {kind}, {conditions}, {strategy:?}");
                    let row_met = add_row(&mut table, title, &outcomes, conditions == "calm");
                    targets_met &= row_met || strategy != Strategy::Manager;
                }
            }
        }
    }
    table.print();
    targets_met
}

/// Makes the plans of a row; each run starts its waves at another pool.
fn plans(
    services: &[Service],
    pools: usize,
    faults: Faults,
    strategy: Strategy,
    seed: u64,
) -> Vec<Plan> {
    let plan = |run: u64| {
        let mut plan = Plan::new(services, SPARE_HOSTS, seed * 1000 + run);
        let first = usize::try_from(run).unwrap_or(0) % services.len();
        let maintained = services.iter().cycle().skip(first).take(pools);
        let batch = if strategy == Strategy::Single {
            1
        } else {
            MAX_BATCH_HOSTS
        };
        plan.waves = maintained.map(|service| (service.name, batch)).collect();
        plan.max_hosts_out = MAX_BATCH_HOSTS;
        plan.faults = faults;
        if strategy == Strategy::Fixed {
            plan.policy = Policy::Fixed(FIXED_STOP_DELAY);
        }
        plan
    };
    (0..RUNS).map(plan).collect()
}

/// Adds a row; returns whether the targets were met, with one on the time if `is_timed`.
fn add_row(table: &mut Table, title: String, outcomes: &[Outcome], is_timed: bool) -> bool {
    let sum = |value: fn(&Outcome) -> f64| outcomes.iter().map(value).sum::<f64>();
    let ended = outcomes
        .iter()
        .filter(|outcome| outcome.has_completed)
        .count();
    let time_ratio = |outcome: &Outcome| {
        outcome.duration.as_secs_f64() / outcome.duration_bound.as_secs_f64().max(1.0)
    };
    let mean_ratio = outcomes.iter().map(time_ratio).sum::<f64>()
        / f64::from(u32::try_from(outcomes.len()).unwrap_or(1));
    let worst_ratio = outcomes.iter().map(time_ratio).fold(0.0, f64::max);
    let violations = sum(|outcome| outcome.violation_s);
    let interrupted: usize = outcomes
        .iter()
        .map(|outcome| outcome.interrupted_requests)
        .sum();
    let moves: u64 = outcomes.iter().map(|outcome| outcome.move_count).sum();
    let pauses: usize = outcomes.iter().map(|outcome| outcome.pause_count).sum();
    let states_equal = outcomes.iter().all(|outcome| outcome.is_consistent);
    table.add(vec![
        title,
        format!("{ended}/{}", outcomes.len()),
        format!("{mean_ratio:.2}"),
        format!("{worst_ratio:.2}"),
        format!("{violations:.1}"),
        format!("{:.1}", sum(|outcome| outcome.shortfall_s)),
        interrupted.to_string(),
        moves.to_string(),
        pauses.to_string(),
        states_equal.to_string(),
    ]);
    let is_in_time = !is_timed || mean_ratio <= MAX_MEAN_TIME_RATIO;
    ended == outcomes.len() && is_in_time && violations == 0.0 && interrupted == 0 && states_equal
}
