//! Load that retries add to a pool whose workers fail.

use std::time::Duration;

use persimmongate_core::gate::{Gate, Options};

use crate::sim::{ANDAMAN, Deployment, Dispatcher, Fault, KUISEB, Mode, Plan, World, percent};
use crate::table::Table;

/// Length of a run, in seconds.
const RUN_S: u64 = 16;
/// Mean load of each service as a share of its slots.
const LOAD: f64 = 0.5;
/// Time at which workers start to fail.
const FAULT_START: Duration = Duration::from_secs(7);
/// Maximum number of failed sends per hundred requests that a budget of one retry for ten answers
/// may add.
const MAX_ADDED_SENDS_PER_100: u64 = 11;
/// Initial balance of the retry budget that never runs out.
const UNLIMITED_RETRIES: f64 = 1e12;

/// `Policy` decides how often a failed request is sent again.
#[derive(Clone, Copy, Debug)]
enum Policy {
    /// The retry budget of the gate.
    Budget,
    /// Three retries for each request, whatever the pool answers.
    Three,
    Never,
}

/// Retry policies with their names in the table.
const POLICIES: [(&str, Policy); 3] = [
    ("budget of 10%", Policy::Budget),
    ("three for each", Policy::Three),
    ("none", Policy::Never),
];

/// Scenarios: name, number of failing workers in the pool, and share of requests that break off at
/// any worker.
const SCENARIOS: [(&str, usize, f64); 5] = [
    ("nothing fails", 0, 0.0),
    ("1 worker fails", 1, 0.0),
    ("all workers fail", 8, 0.0),
    ("5% poison", 0, 0.05),
    ("50% poison", 0, 0.5),
];

/// Prints the failed sends under each policy; returns whether the budget limits them.
pub(crate) fn run(seed: u64) -> bool {
    let mut targets_met = true;
    // The second service of andaman is measured because its first one is not idempotent.
    for (deployment, service) in [(&KUISEB, 0), (&ANDAMAN, 1)] {
        let mut table = Table::new(&[
            deployment.name,
            "policy",
            "answered",
            "sends not refused",
            "failed sends per 100",
            "p99 ms",
        ]);
        for (scenario, failing_workers, poison) in SCENARIOS {
            let mut failed_without_retries = u64::MAX;
            for (name, policy) in POLICIES.iter().rev() {
                let world = world(
                    deployment,
                    service,
                    (failing_workers, poison),
                    seed,
                    *policy,
                );
                let stats = &world.service_stats[service];
                let accepted = stats.send_count - stats.refused;
                let failed = accepted - stats.answered_in_time.min(accepted);
                // The reversed order starts with this policy.
                if matches!(policy, Policy::Never) {
                    failed_without_retries = failed;
                }
                let added =
                    failed.saturating_sub(failed_without_retries) * 100 / stats.arrived.max(1);
                targets_met &=
                    !matches!(policy, Policy::Budget) || added <= MAX_ADDED_SENDS_PER_100;
                table.add(vec![
                    scenario.to_owned(),
                    (*name).to_owned(),
                    percent(stats.answered_in_time, stats.arrived),
                    accepted.to_string(),
                    (failed * 100 / stats.arrived.max(1)).to_string(),
                    stats.percentile(99).to_string(),
                ]);
            }
        }
        table.print();
    }
    targets_met
}

fn world(
    deployment: &'static Deployment,
    service: usize,
    (failing_workers, poison): (usize, f64),
    seed: u64,
    policy: Policy,
) -> World {
    let mut plan = Plan::new(deployment, LOAD, RUN_S);
    plan.poison_share = poison;
    let earlier_services = deployment.services[..service].iter();
    let first: usize = earlier_services.map(|service| service.worker_count).sum();
    plan.faults
        .extend((first..first + failing_workers).map(|worker| Fault {
            applies_at: FAULT_START,
            worker,
            mode: Mode::Failing,
        }));
    let dispatcher = |options: Options, seed| {
        let options = match policy {
            Policy::Budget => options,
            Policy::Three => Options {
                initial_retries: UNLIMITED_RETRIES,
                unrunnable_failures: u32::MAX,
                ..options
            },
            Policy::Never => Options {
                max_attempts: 1,
                ..options
            },
        };
        Dispatcher::Gate(Box::new(Gate::new(options, seed)))
    };
    let mut world = World::new(plan, seed, dispatcher);
    world.run();
    world
}
