//! Routing: near workers first, workers that fail, are slow or vanish, and the bounds on ejection.

use std::time::Duration;

use persimmongate_core::gate::{Gate, Options};

use crate::sim::{
    ANDAMAN, Deployment, Door, Fault, KUISEB, Mode, Plain, Plan, SLOTS, Tally, World,
};
use crate::sim::{CONNECTIONS, percent};
use crate::table::Table;

/// Length of a run, in seconds.
const RUN_S: u64 = 16;
/// Time at which the workers go wrong.
const FAULT_AT: Duration = Duration::from_secs(7);
/// Time at which they work again.
const FAULT_END: Duration = Duration::from_secs(13);
/// Requests that one entry host of nine may have in flight on a worker.
const SHARE: u32 = 7;

/// `Way` is the decision code of a run.
#[derive(Clone, Copy, Debug)]
enum Way {
    /// The gate, which ejects at most a share of the workers.
    Gate(f64),
    /// The gate with no zone of its own.
    Zoneless,
    RoundRobin,
}

/// `Trouble` is what goes wrong with the workers of the first service.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    Nothing,
    OneFails,
    OneSlow,
    RackGone,
    MostFail,
    AllFail,
    Poison,
}

const WAYS: [(&str, Way); 5] = [
    ("gate, at most 3/4", Way::Gate(0.75)),
    ("gate, at most half", Way::Gate(0.5)),
    ("gate, no floor", Way::Gate(1.0)),
    ("gate, no zones", Way::Zoneless),
    ("round robin", Way::RoundRobin),
];

const TROUBLES: [(&str, Trouble, f64); 10] = [
    ("none, load 0.25", Trouble::Nothing, 0.25),
    ("none, load 0.9", Trouble::Nothing, 0.9),
    ("one fails all", Trouble::OneFails, 0.5),
    ("one ten times slower", Trouble::OneSlow, 0.5),
    ("rack gone", Trouble::RackGone, 0.25),
    ("three quarters fail", Trouble::MostFail, 0.15),
    ("all fail", Trouble::AllFail, 0.5),
    ("3% poison", Trouble::Poison, 0.5),
    ("20% poison", Trouble::Poison, 0.5),
    ("60% poison", Trouble::Poison, 0.5),
];
/// Share of requests that break off wherever they are sent, by trouble of that kind in turn.
const POISON: [f64; 3] = [0.03, 0.2, 0.6];

/// Prints a table for each trouble; returns whether no worker was overrun.
pub(crate) fn run(seed: u64) -> bool {
    let mut met = true;
    for deployment in [&KUISEB, &ANDAMAN] {
        let mut table = Table::new(&[
            deployment.name,
            "way",
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
        let mut poisons = POISON.iter();
        for (name, trouble, load) in TROUBLES {
            let poison = match trouble {
                Trouble::Poison => poisons.next().copied().unwrap_or_default(),
                _ => 0.0,
            };
            for (way_name, way) in WAYS {
                let world = world(plan(deployment, trouble, load, poison), seed, way);
                met &= add(&mut table, name, way_name, &world, entries(way));
            }
        }
        table.print();
    }
    met
}

/// Gets whether the bounds on slots and connections are promised by a way.
fn entries(way: Way) -> bool {
    !matches!(way, Way::RoundRobin)
}

fn plan(deployment: &'static Deployment, trouble: Trouble, load: f64, poison: f64) -> Plan {
    let mut plan = Plan::new(deployment, load, RUN_S);
    plan.poison = poison;
    let (workers, mode) = match trouble {
        Trouble::Nothing | Trouble::Poison => (0..0, Mode::Well),
        Trouble::OneFails => (0..1, Mode::Fails),
        Trouble::OneSlow => (0..1, Mode::Slow(10.0)),
        Trouble::RackGone => (0..4, Mode::Gone),
        Trouble::MostFail => (0..6, Mode::Fails),
        Trouble::AllFail => (0..8, Mode::Fails),
    };
    for worker in workers {
        plan.faults.push(Fault {
            at: FAULT_AT,
            worker,
            mode,
        });
        plan.faults.push(Fault {
            at: FAULT_END,
            worker,
            mode: Mode::Well,
        });
    }
    plan
}

fn world(plan: Plan, seed: u64, way: Way) -> World {
    let door = |options: Options, seed| match way {
        Way::Gate(eject_share) => gate(
            Options {
                max_ejected_share: eject_share,
                ..options
            },
            seed,
        ),
        Way::Zoneless => {
            let zone = persimmongate_core::ids::Zone::new();
            gate(Options { zone, ..options }, seed)
        }
        Way::RoundRobin => Door::Plain(Plain::new(false, SHARE)),
    };
    let mut world = World::new(plan, seed, door);
    world.run();
    world
}

fn gate(options: Options, seed: u64) -> Door {
    Door::Gate(Box::new(Gate::new(options, seed)))
}

fn add(table: &mut Table, trouble: &str, way: &str, world: &World, bounded: bool) -> bool {
    let mut all = Tally::default();
    all.add(&world.tallies[0]);
    let (slots, connections) = world.highest();
    table.add(vec![
        trouble.to_owned(),
        way.to_owned(),
        percent(all.answered, all.offered),
        percent(all.not_run, all.offered),
        percent(all.unknown + all.late, all.offered),
        all.percentile(50).to_string(),
        all.percentile(99).to_string(),
        percent(all.remote, all.sends),
        format!(
            "{}.{:02}",
            all.sends / all.offered.max(1),
            all.sends * 100 / all.offered.max(1) % 100
        ),
        slots.to_string(),
        connections.to_string(),
    ]);
    let sound = world.false_not_run + world.second_runs + world.doubled == 0;
    let kept = slots <= SLOTS && connections <= u32::from(CONNECTIONS);
    sound && (kept || !bounded)
}
