//! Retries: what they add to the load of a pool that fails.

use std::time::Duration;

use persimmongate_core::gate::{Gate, Options};

use crate::sim::{ANDAMAN, Deployment, Door, Fault, KUISEB, Mode, Plan, World, percent};
use crate::table::Table;

/// Length of a run, in seconds.
const RUN_S: u64 = 16;
/// Mean load of each service as a share of its slots.
const LOAD: f64 = 0.5;
const FAULT_AT: Duration = Duration::from_secs(7);
/// Sends that a budget of one retry for ten answers may add, per hundred requests.
const ADDED_MAX: u64 = 11;
/// Balance that lets every retry through.
const UNBOUNDED: f64 = 1e12;

/// `Way` is a policy of retries.
#[derive(Clone, Copy, Debug)]
enum Way {
    Budget,
    /// Three retries for each request, whatever the pool answers.
    Three,
    Never,
}

const WAYS: [(&str, Way); 3] = [
    ("budget of 10%", Way::Budget),
    ("three for each", Way::Three),
    ("none", Way::Never),
];

/// Failing workers of the pool and the share of requests that break off wherever they run.
const TROUBLES: [(&str, usize, f64); 5] = [
    ("nothing fails", 0, 0.0),
    ("1 worker fails", 1, 0.0),
    ("all workers fail", 8, 0.0),
    ("5% poison", 0, 0.05),
    ("50% poison", 0, 0.5),
];

/// Prints the failed sends under each policy; returns whether the budget bounds them.
pub(crate) fn run(seed: u64) -> bool {
    let mut met = true;
    // The first service of andaman is not idempotent, so the second is looked at there.
    for (deployment, service) in [(&KUISEB, 0), (&ANDAMAN, 1)] {
        let mut table = Table::new(&[
            deployment.name,
            "way",
            "answered",
            "sends that reached",
            "failed sends per 100",
            "p99 ms",
        ]);
        for (trouble, failing, poison) in TROUBLES {
            let mut least = u64::MAX;
            for (name, way) in WAYS.iter().rev() {
                let world = world(deployment, service, (failing, poison), seed, *way);
                let tally = &world.tallies[service];
                let reached = tally.sends - tally.refused;
                let failed = reached - tally.answered.min(reached);
                if matches!(way, Way::Never) {
                    least = failed;
                }
                let added = failed.saturating_sub(least) * 100 / tally.offered.max(1);
                met &= !matches!(way, Way::Budget) || added <= ADDED_MAX;
                table.add(vec![
                    trouble.to_owned(),
                    (*name).to_owned(),
                    percent(tally.answered, tally.offered),
                    reached.to_string(),
                    (failed * 100 / tally.offered.max(1)).to_string(),
                    tally.percentile(99).to_string(),
                ]);
            }
        }
        table.print();
    }
    met
}

fn world(
    deployment: &'static Deployment,
    service: usize,
    (failing, poison): (usize, f64),
    seed: u64,
    way: Way,
) -> World {
    let mut plan = Plan::new(deployment, LOAD, RUN_S);
    plan.poison = poison;
    let before = deployment.services[..service].iter();
    let first: usize = before.map(|service| service.workers).sum();
    plan.faults
        .extend((first..first + failing).map(|worker| Fault {
            at: FAULT_AT,
            worker,
            mode: Mode::Fails,
        }));
    let door = |options: Options, seed| {
        let options = match way {
            Way::Budget => options,
            Way::Three => Options {
                initial_retries: UNBOUNDED,
                unrunnable_after: u32::MAX,
                ..options
            },
            Way::Never => Options {
                max_attempts: 1,
                ..options
            },
        };
        Door::Gate(Box::new(Gate::new(options, seed)))
    };
    let mut world = World::new(plan, seed, door);
    world.run();
    world
}
