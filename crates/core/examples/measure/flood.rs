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
                    lend_slots: 0,
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
            let calm = world(deployment, None, (seed, load), way);
            for service in 0..deployment.services.len() {
                let flooded = world(deployment, Some(service), (seed, load), way);
                met &= add(
                    &mut table,
                    (load, way),
                    &calm,
                    &flooded,
                    deployment,
                    service,
                );
            }
        }
    }
    table.print();
    met
}

fn world(
    deployment: &'static Deployment,
    service: Option<usize>,
    (seed, load): (u64, f64),
    way: Way,
) -> World {
    let mut plan = Plan::new(deployment, load, RUN_S);
    if way == Way::SixGates {
        plan.entries = 6;
    }
    plan.floods.extend(service.map(|service| Flood {
        service,
        factor: FACTOR,
        from: FLOOD_FROM,
        until: FLOOD_UNTIL,
    }));
    let mut world = World::new(plan, seed, |options, seed| way.door(options, seed));
    world.run();
    world
}

fn add(
    table: &mut Table,
    (load, way): (f64, Way),
    calm: &World,
    flooded: &World,
    deployment: &'static Deployment,
    service: usize,
) -> bool {
    let others = (0..deployment.services.len()).filter(|other| *other != service);
    let kept = |other: usize| {
        flooded.tallies[other].answered * 10_000 / calm.tallies[other].answered.max(1)
    };
    let least = others.map(kept).min().unwrap_or(0);
    let tally = &flooded.tallies[service];
    let about = deployment.services[service];
    #[expect(clippy::cast_precision_loss, reason = "a few workers")]
    let slots = about.workers as f64 * f64::from(SLOTS);
    let goodput = tally.work / (slots * FLOOD_UNTIL.saturating_sub(FLOOD_FROM).as_secs_f64());
    table.add(vec![
        format!("{} {} at {load}", deployment.name, about.name),
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
