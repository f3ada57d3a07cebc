//! Overload of one service, and the share of their answers that the other services keep.

use std::time::Duration;

use persimmongate_core::gate::{Gate, Options};

use crate::sim::{
    ANDAMAN, Baseline, Deployment, Dispatcher, Flood, KUISEB, Plan, SLOTS, World, percent,
};
use crate::table::Table;

/// Mean loads of every service as shares of its slots.
const LOADS: [f64; 2] = [0.5, 0.8];
/// Demand during a flood as a multiple of the mean.
const FLOOD_FACTOR: f64 = 5.0;
/// Length of a run, in seconds.
const RUN_S: u64 = 16;
/// Time at which the first flood starts.
const FLOOD_START: Duration = Duration::from_secs(7);
/// Time at which the last flood ends.
const FLOOD_END: Duration = Duration::from_secs(15);
/// Time at which the flood of the least urgent service ends and that of the most urgent one starts.
const SECOND_FLOOD_START: Duration = Duration::from_secs(11);
/// Minimum number of answers that each other service keeps, per ten thousand.
const MIN_KEPT_PER_10_000: u64 = 9900;
/// Minimum goodput of the flooded service as a share of the capacity of its own slots.
const MIN_GOODPUT_SHARE: f64 = 0.95;
/// Maximum number of requests that one entry host of nine has in flight on a worker with a
/// baseline.
const BASELINE_IN_FLIGHT_MAX: u32 = 7;

/// `Strategy` is the admission and dispatch under test or a baseline.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Strategy {
    Gate,
    /// The gate on six entry hosts.
    SixGates,
    /// The gate without loans of idle slots.
    NoLoans,
    Fifo,
    RoundRobin,
}

impl Strategy {
    const ALL: [Self; 5] = [
        Self::Gate,
        Self::SixGates,
        Self::NoLoans,
        Self::Fifo,
        Self::RoundRobin,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Gate => "gate",
            Self::SixGates => "gate, 6 entries",
            Self::NoLoans => "gate, no loans",
            Self::Fifo => "fifo",
            Self::RoundRobin => "round robin",
        }
    }

    fn dispatcher(self, options: Options, seed: u64) -> Dispatcher {
        match self {
            Self::Gate | Self::SixGates => Dispatcher::Gate(Box::new(Gate::new(options, seed))),
            Self::NoLoans => {
                let options = Options {
                    lendable_slots: 0,
                    ..options
                };
                Dispatcher::Gate(Box::new(Gate::new(options, seed)))
            }
            Self::Fifo => Dispatcher::Baseline(Baseline::new(true, BASELINE_IN_FLIGHT_MAX)),
            Self::RoundRobin => Dispatcher::Baseline(Baseline::new(false, BASELINE_IN_FLIGHT_MAX)),
        }
    }
}

/// Prints the effect of each flood; returns whether the gate met its targets.
pub(crate) fn run(seed: u64) -> bool {
    let mut table = Table::new(&[
        "flood",
        "strategy",
        "kept by others, min",
        "goodput of own slots",
        "steady callers",
        "not run",
        "unknown",
        "p50 ms",
        "p99 ms",
        "refused by workers",
    ]);
    let mut targets_met = true;
    for deployment in [&KUISEB, &ANDAMAN] {
        for (load, strategy) in LOADS
            .iter()
            .flat_map(|load| Strategy::ALL.map(|strategy| (*load, strategy)))
        {
            let unflooded = world(deployment, &[], (seed, load), strategy);
            for service in 0..deployment.services.len() {
                let floods = [flood(service, FLOOD_START, FLOOD_END)];
                let flooded = world(deployment, &floods, (seed, load), strategy);
                targets_met &= add_row(
                    &mut table,
                    (load, strategy),
                    &unflooded,
                    &flooded,
                    &floods,
                    0,
                );
            }
            let floods = consecutive_floods(deployment);
            let flooded = world(deployment, &floods, (seed, load), strategy);
            for index in 0..floods.len() {
                targets_met &= add_row(
                    &mut table,
                    (load, strategy),
                    &unflooded,
                    &flooded,
                    &floods,
                    index,
                );
            }
        }
    }
    table.print();
    targets_met
}

fn flood(service: usize, from: Duration, until: Duration) -> Flood {
    Flood {
        service,
        demand_factor: FLOOD_FACTOR,
        from,
        until,
    }
}

/// Makes a flood of the least urgent service that is followed by one of the most urgent service.
fn consecutive_floods(deployment: &Deployment) -> [Flood; 2] {
    let services = || deployment.services.iter().enumerate();
    let least_urgent = services().max_by_key(|(_, service)| service.urgency);
    let most_urgent = services().min_by_key(|(_, service)| service.urgency);
    let index = |found: Option<(usize, _)>| found.map_or(0, |(index, _)| index);
    [
        flood(index(least_urgent), FLOOD_START, SECOND_FLOOD_START),
        flood(index(most_urgent), SECOND_FLOOD_START, FLOOD_END),
    ]
}

fn world(
    deployment: &'static Deployment,
    floods: &[Flood],
    (seed, load): (u64, f64),
    strategy: Strategy,
) -> World {
    let mut plan = Plan::new(deployment, load, RUN_S);
    if strategy == Strategy::SixGates {
        plan.entry_count = 6;
    }
    plan.floods.extend(floods);
    let mut world = World::new(plan, seed, |options, seed| {
        strategy.dispatcher(options, seed)
    });
    world.run();
    world
}

/// Adds a row for one of the floods of a run; returns whether its targets were met.
fn add_row(
    table: &mut Table,
    (load, strategy): (f64, Strategy),
    unflooded: &World,
    flooded: &World,
    floods: &[Flood],
    index: usize,
) -> bool {
    let Flood {
        service,
        from,
        until,
        ..
    } = floods[index];
    let deployment = flooded.plan.deployment;
    let is_unflooded = |other: &usize| floods.iter().all(|flood| flood.service != *other);
    let others = (0..deployment.services.len()).filter(is_unflooded);
    let kept_answers = |other: usize| {
        flooded.service_stats[other].answered_in_time * 10_000
            / unflooded.service_stats[other].answered_in_time.max(1)
    };
    let min_kept = others.map(kept_answers).min().unwrap_or(0);
    let stats = &flooded.service_stats[service];
    let service_plan = deployment.services[service];
    #[expect(clippy::cast_precision_loss, reason = "a few workers")]
    let slots = service_plan.worker_count as f64 * f64::from(SLOTS);
    let goodput = stats.flood_work_s / (slots * until.saturating_sub(from).as_secs_f64());
    let order = match floods.len() {
        1 => "",
        _ if index == 0 => ", first",
        _ => ", then",
    };
    table.add(vec![
        format!(
            "{} {}{} at {load}",
            deployment.name, service_plan.name, order
        ),
        strategy.name().to_owned(),
        percent(min_kept, 10_000),
        format!("{:.1}%", 100.0 * goodput),
        percent(stats.steady_callers.0, stats.steady_callers.1),
        percent(stats.not_run, stats.arrived),
        percent(stats.unknown + stats.answered_late, stats.arrived),
        stats.percentile(50).to_string(),
        stats.percentile(99).to_string(),
        percent(stats.refused, stats.send_count),
    ]);
    let is_correct = flooded.false_not_run + flooded.second_runs + flooded.second_outcomes == 0;
    let targets_met = min_kept >= MIN_KEPT_PER_10_000 && goodput >= MIN_GOODPUT_SHARE && is_correct;
    !matches!(strategy, Strategy::Gate | Strategy::SixGates) || targets_met
}
