//! Routing: preference for workers in the own zone, workers that fail, are slow or stop answering,
//! and the limits on ejection.

use std::time::Duration;

use persimmongate_core::gate::{Gate, Options};

use crate::sim::{
    ANDAMAN, Baseline, Deployment, Dispatcher, Fault, KUISEB, Mode, Plan, SLOTS, Stats, World,
};
use crate::sim::{CONNECTIONS, percent};
use crate::table::Table;

/// Length of a run, in seconds.
const RUN_S: u64 = 16;
/// Time at which the faults of the workers start.
const FAULT_START: Duration = Duration::from_secs(7);
/// Time at which the faults of the workers end.
const FAULT_END: Duration = Duration::from_secs(13);
/// Maximum number of requests that one entry host of nine has in flight on a worker with round
/// robin.
const ROUND_ROBIN_IN_FLIGHT_MAX: u32 = 7;

/// `Strategy` is the routing under test or a baseline.
#[derive(Clone, Copy, Debug)]
enum Strategy {
    /// The gate, which ejects at most this share of the workers.
    Gate(f64),
    /// The gate on entry hosts without an availability zone.
    Zoneless,
    RoundRobin,
}

/// `Scenario` is the kind of fault at the workers of the first service.
#[derive(Clone, Copy, Debug)]
enum Scenario {
    NoFault,
    OneFails,
    OneSlow,
    RackGone,
    MostFail,
    AllFail,
    /// Some requests break off at any worker.
    Poison,
}

/// Strategies with their names in the table.
const STRATEGIES: [(&str, Strategy); 5] = [
    ("gate, at most 3/4", Strategy::Gate(0.75)),
    ("gate, at most half", Strategy::Gate(0.5)),
    ("gate, no floor", Strategy::Gate(1.0)),
    ("gate, no zones", Strategy::Zoneless),
    ("round robin", Strategy::RoundRobin),
];

/// Scenarios: name in the table, kind of fault, and mean load as a share of the slots.
const SCENARIOS: [(&str, Scenario, f64); 10] = [
    ("none, load 0.25", Scenario::NoFault, 0.25),
    ("none, load 0.9", Scenario::NoFault, 0.9),
    ("one fails all", Scenario::OneFails, 0.5),
    ("one ten times slower", Scenario::OneSlow, 0.5),
    ("rack gone", Scenario::RackGone, 0.25),
    ("three quarters fail", Scenario::MostFail, 0.15),
    ("all fail", Scenario::AllFail, 0.5),
    ("3% poison", Scenario::Poison, 0.5),
    ("20% poison", Scenario::Poison, 0.5),
    ("60% poison", Scenario::Poison, 0.5),
];
/// Shares of requests that break off at any worker, one for each scenario with poison in its order.
const POISON_SHARES: [f64; 3] = [0.03, 0.2, 0.6];

/// Prints a table for each deployment; returns whether no request ran twice or had a wrong outcome,
/// and the gate kept the limits of every worker.
pub(crate) fn run(seed: u64) -> bool {
    let mut targets_met = true;
    for deployment in [&KUISEB, &ANDAMAN] {
        let mut table = Table::new(&[
            deployment.name,
            "strategy",
            "answered",
            "not run",
            "unknown",
            "p50 ms",
            "p99 ms",
            "other zones",
            "sends per request",
            "slots",
            "connections",
        ]);
        let mut poison_shares = POISON_SHARES.iter();
        for (name, scenario, load) in SCENARIOS {
            let poison = match scenario {
                Scenario::Poison => poison_shares.next().copied().unwrap_or_default(),
                _ => 0.0,
            };
            for (strategy_name, strategy) in STRATEGIES {
                let world = world(plan(deployment, scenario, load, poison), seed, strategy);
                targets_met &= add_row(
                    &mut table,
                    name,
                    strategy_name,
                    &world,
                    is_limited(strategy),
                );
            }
        }
        table.print();
    }
    targets_met
}

/// Tells whether a strategy keeps the limits on slots and connections of a worker.
fn is_limited(strategy: Strategy) -> bool {
    !matches!(strategy, Strategy::RoundRobin)
}

fn plan(deployment: &'static Deployment, scenario: Scenario, load: f64, poison: f64) -> Plan {
    let mut plan = Plan::new(deployment, load, RUN_S);
    plan.poison_share = poison;
    let (workers, mode) = match scenario {
        Scenario::NoFault | Scenario::Poison => (0..0, Mode::Healthy),
        Scenario::OneFails => (0..1, Mode::Failing),
        Scenario::OneSlow => (0..1, Mode::Slow(10.0)),
        Scenario::RackGone => (0..4, Mode::Unreachable),
        Scenario::MostFail => (0..6, Mode::Failing),
        Scenario::AllFail => (0..8, Mode::Failing),
    };
    for worker in workers {
        plan.faults.push(Fault {
            applies_at: FAULT_START,
            worker,
            mode,
        });
        plan.faults.push(Fault {
            applies_at: FAULT_END,
            worker,
            mode: Mode::Healthy,
        });
    }
    plan
}

fn world(plan: Plan, seed: u64, strategy: Strategy) -> World {
    let dispatcher = |options: Options, seed| match strategy {
        Strategy::Gate(max_ejected_share) => gate(
            Options {
                max_ejected_share,
                ..options
            },
            seed,
        ),
        Strategy::Zoneless => {
            let zone = persimmongate_core::ids::Zone::new();
            gate(Options { zone, ..options }, seed)
        }
        Strategy::RoundRobin => {
            Dispatcher::Baseline(Baseline::new(false, ROUND_ROBIN_IN_FLIGHT_MAX))
        }
    };
    let mut world = World::new(plan, seed, dispatcher);
    world.run();
    world
}

fn gate(options: Options, seed: u64) -> Dispatcher {
    Dispatcher::Gate(Box::new(Gate::new(options, seed)))
}

/// Adds a row for the first service; returns whether the targets were met.
fn add_row(
    table: &mut Table,
    scenario: &str,
    strategy: &str,
    world: &World,
    is_limited: bool,
) -> bool {
    let mut stats = Stats::default();
    stats.merge(&world.service_stats[0]);
    let (slots, connections) = world.max_in_use();
    table.add(vec![
        scenario.to_owned(),
        strategy.to_owned(),
        percent(stats.answered_in_time, stats.arrived),
        percent(stats.not_run, stats.arrived),
        percent(stats.unknown + stats.answered_late, stats.arrived),
        stats.percentile(50).to_string(),
        stats.percentile(99).to_string(),
        percent(stats.cross_zone_sends, stats.send_count),
        format!(
            "{}.{:02}",
            stats.send_count / stats.arrived.max(1),
            stats.send_count * 100 / stats.arrived.max(1) % 100
        ),
        slots.to_string(),
        connections.to_string(),
    ]);
    let is_correct = world.false_not_run + world.second_runs + world.second_outcomes == 0;
    let limits_kept = slots <= SLOTS && connections <= u32::from(CONNECTIONS);
    is_correct && (limits_kept || !is_limited)
}
