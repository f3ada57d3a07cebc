//! One service's flood, and what the others keep.

use std::time::Duration;

use persimmongate_core::gate::{Gate, Options};

use crate::sim::{ANDAMAN, Deployment, Door, Flood, KUISEB, Plain, Plan, SLOTS, World, percent};
use crate::table::Table;

/// Mean loads of each service as shares of its slots.
const LOADS: [f64; 2] = [0.5, 0.8];
/// Demand during a flood as a multiple of the mean.
const FACTOR: f64 = 5.0;
/// Length of a run, in seconds.
const RUN_S: u64 = 16;
const FLOOD_FROM: Duration = Duration::from_secs(7);
const FLOOD_UNTIL: Duration = Duration::from_secs(15);
/// Time at which the flood of the most urgent service follows that of the least urgent.
const FLOOD_TURN: Duration = Duration::from_secs(11);
/// Answers that the other services keep, at least, per ten thousand.
const KEPT_MIN: u64 = 9900;
/// Share of the goodput of its own slots that the flooding service gets, at least.
const GOODPUT_MIN: f64 = 0.95;
/// Requests that one entry host of nine may have in flight on a worker.
const SHARE: u32 = 7;

/// `Way` is the decision code of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Gate,
    /// The gate on six entry hosts.
    SixGates,
    /// The gate without loans of idle slots.
    NoLoans,
    Fifo,
    RoundRobin,
}

impl Way {
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

    fn door(self, options: Options, seed: u64) -> Door {
        match self {
            Self::Gate | Self::SixGates => Door::Gate(Box::new(Gate::new(options, seed))),
            Self::NoLoans => {
                let options = Options {
                    lendable_slots: 0,
                    ..options
                };
                Door::Gate(Box::new(Gate::new(options, seed)))
            }
            Self::Fifo => Door::Plain(Plain::new(true, SHARE)),
            Self::RoundRobin => Door::Plain(Plain::new(false, SHARE)),
        }
    }
}

/// Prints what each service keeps; returns whether the gate met its targets.
pub(crate) fn run(seed: u64) -> bool {
    let mut table = Table::new(&[
        "flood",
        "way",
        "kept by others, least",
        "goodput of own slots",
        "calm callers",
        "not run",
        "unknown",
        "p50 ms",
        "p99 ms",
        "refused by workers",
    ]);
    let mut met = true;
    for deployment in [&KUISEB, &ANDAMAN] {
        for (load, way) in LOADS
            .iter()
            .flat_map(|load| Way::ALL.map(|way| (*load, way)))
        {
            let calm = world(deployment, &[], (seed, load), way);
            for service in 0..deployment.services.len() {
                let floods = [flood(service, FLOOD_FROM, FLOOD_UNTIL)];
                let flooded = world(deployment, &floods, (seed, load), way);
                met &= add(&mut table, (load, way), &calm, &flooded, &floods, 0);
            }
            let floods = in_turn(deployment);
            let flooded = world(deployment, &floods, (seed, load), way);
            for index in 0..floods.len() {
                met &= add(&mut table, (load, way), &calm, &flooded, &floods, index);
            }
        }
    }
    table.print();
    met
}

fn flood(service: usize, from: Duration, until: Duration) -> Flood {
    Flood {
        service,
        factor: FACTOR,
        from,
        until,
    }
}

/// Gets the flood of the least urgent service, followed by that of the most urgent.
fn in_turn(deployment: &Deployment) -> [Flood; 2] {
    let services = || deployment.services.iter().enumerate();
    let least = services().max_by_key(|(_, service)| service.urgency);
    let most = services().min_by_key(|(_, service)| service.urgency);
    let index = |found: Option<(usize, _)>| found.map_or(0, |(index, _)| index);
    [
        flood(index(least), FLOOD_FROM, FLOOD_TURN),
        flood(index(most), FLOOD_TURN, FLOOD_UNTIL),
    ]
}

fn world(
    deployment: &'static Deployment,
    floods: &[Flood],
    (seed, load): (u64, f64),
    way: Way,
) -> World {
    let mut plan = Plan::new(deployment, load, RUN_S);
    if way == Way::SixGates {
        plan.entries = 6;
    }
    plan.floods.extend(floods);
    let mut world = World::new(plan, seed, |options, seed| way.door(options, seed));
    world.run();
    world
}

/// Adds a row for one of the floods of a run; returns whether its targets were met.
fn add(
    table: &mut Table,
    (load, way): (f64, Way),
    calm: &World,
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
    let is_calm = |other: &usize| floods.iter().all(|flood| flood.service != *other);
    let others = (0..deployment.services.len()).filter(is_calm);
    let kept = |other: usize| {
        flooded.tallies[other].answered * 10_000 / calm.tallies[other].answered.max(1)
    };
    let least = others.map(kept).min().unwrap_or(0);
    let tally = &flooded.tallies[service];
    let about = deployment.services[service];
    #[expect(clippy::cast_precision_loss, reason = "a few workers")]
    let slots = about.workers as f64 * f64::from(SLOTS);
    let goodput = tally.work / (slots * until.saturating_sub(from).as_secs_f64());
    let turn = match floods.len() {
        1 => "",
        _ if index == 0 => ", first",
        _ => ", then",
    };
    table.add(vec![
        format!("{} {}{} at {load}", deployment.name, about.name, turn),
        way.name().to_owned(),
        percent(least, 10_000),
        format!("{:.1}%", 100.0 * goodput),
        percent(tally.calm.0, tally.calm.1),
        percent(tally.not_run, tally.offered),
        percent(tally.unknown + tally.late, tally.offered),
        tally.percentile(50).to_string(),
        tally.percentile(99).to_string(),
        percent(tally.refused, tally.sends),
    ]);
    let sound = flooded.false_not_run + flooded.second_runs + flooded.doubled == 0;
    let meets = least >= KEPT_MIN && goodput >= GOODPUT_MIN && sound;
    !matches!(way, Way::Gate | Way::SixGates) || meets
}
