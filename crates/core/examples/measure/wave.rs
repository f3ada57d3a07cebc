//! Maintenance waves against a fixed batch and one host at a time, with and without faults.

use std::time::Duration;

use crate::table::Table;
use crate::testbed::{self, ANDAMAN, Faults, KUISEB, Outcome, Plan, Policy, Service};

/// Hosts in the spare pool.
const SPARE: usize = 3;
/// Hosts out of service at once in a wave, at most.
const BATCH: u32 = 2;
/// Runs of each row.
const SEEDS: u64 = 10;
/// Time after which the baseline stops a host.
const DELAY: Duration = Duration::from_secs(30);
/// Largest ratio of a wave's time and the time that its budget allows.
const RATIO_MAX: f64 = 1.25;
/// Faults of every kind, several an hour.
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

/// `Way` is a way to maintain pools.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    Manager,
    Fixed,
    Single,
}

/// Runs all ways over both deployments; returns whether the manager met the targets.
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
        "folds equal",
    ]);
    let mut met = true;
    for (name, services) in [("kuiseb", &KUISEB), ("andaman", &ANDAMAN)] {
        for (kind, pools) in [("one pool", 1), ("five pools", services.len())] {
            for (weather, faults) in [("calm", Faults::default()), ("faults", FAULTS)] {
                for way in [Way::Manager, Way::Fixed, Way::Single] {
                    let plans = plans(services, pools, faults, way, seed);
                    let outcomes: Vec<Outcome> = plans.into_iter().map(testbed::run).collect();
                    let title = format!("{name}, {kind}, {weather}, {way:?}");
                    let good = add(&mut table, title, &outcomes, weather == "calm");
                    met &= good || way != Way::Manager;
                }
            }
        }
    }
    table.print();
    met
}

fn plans(services: &[Service], pools: usize, faults: Faults, way: Way, seed: u64) -> Vec<Plan> {
    let plan = |run: u64| {
        let mut plan = Plan::new(services, SPARE, seed * 1000 + run);
        let first = usize::try_from(run).unwrap_or(0) % services.len();
        let chosen = services.iter().cycle().skip(first).take(pools);
        let batch = if way == Way::Single { 1 } else { BATCH };
        plan.waves = chosen.map(|service| (service.name, batch)).collect();
        plan.max_hosts_out = BATCH;
        plan.faults = faults;
        if way == Way::Fixed {
            plan.policy = Policy::Fixed(DELAY);
        }
        plan
    };
    (0..SEEDS).map(plan).collect()
}

/// Adds a row; returns whether the targets were met.
fn add(table: &mut Table, title: String, outcomes: &[Outcome], timed: bool) -> bool {
    let sum = |figure: fn(&Outcome) -> f64| outcomes.iter().map(figure).sum::<f64>();
    let ended = outcomes.iter().filter(|o| o.has_completed).count();
    let ratio = |o: &Outcome| o.duration.as_secs_f64() / o.duration_bound.as_secs_f64().max(1.0);
    let mean = outcomes.iter().map(ratio).sum::<f64>()
        / f64::from(u32::try_from(outcomes.len()).unwrap_or(1));
    let worst = outcomes.iter().map(ratio).fold(0.0, f64::max);
    let violations = sum(|o| o.violation_s);
    let cut: usize = outcomes.iter().map(|o| o.interrupted_requests).sum();
    let moves: u64 = outcomes.iter().map(|o| o.move_count).sum();
    let pauses: usize = outcomes.iter().map(|o| o.pause_count).sum();
    let equal = outcomes.iter().all(|o| o.is_consistent);
    table.add(vec![
        title,
        format!("{ended}/{}", outcomes.len()),
        format!("{mean:.2}"),
        format!("{worst:.2}"),
        format!("{violations:.1}"),
        format!("{:.1}", sum(|o| o.shortfall_s)),
        cut.to_string(),
        moves.to_string(),
        pauses.to_string(),
        equal.to_string(),
    ]);
    let fast = !timed || mean <= RATIO_MAX;
    ended == outcomes.len() && fast && violations == 0.0 && cut == 0 && equal
}
