//! Randomised simulations with overlapping failures.

use std::time::Duration;

use persimmongate_core::job::Outcome;
use rand::RngExt;
use test_case::test_case;

use crate::world::{Faults, World, long_running, step};

/// Workers of a simulation.
const WORKERS: usize = 6;
/// Number of seeds in the test over many seeds.
const SEEDS: u64 = 40;
/// Rounds of a simulation, each of 200 ms.
const ROUNDS: usize = 600;

/// Simulates a system with failures, then lets it recover.
fn simulate(seed: u64) -> World {
    let mut world = World::new(WORKERS, seed);
    world.faults = Faults {
        unanswered_calls: 20,
        delayed_calls: 20,
        failed_runs: 30,
        ..Faults::default()
    };
    let mut jobs = 0;
    world.submit("long-running", vec![long_running(3, 1)]);
    for _ in 0..ROUNDS {
        let (fault, worker) = {
            let random = world.random();
            (random.random_range(0..200), random.random_range(0..WORKERS))
        };
        let name = format!("w{worker}");
        let leader = world.leaders.len() - 1;
        match fault {
            0..40 => {
                let (count, millis) = {
                    let random = world.random();
                    (random.random_range(1..6), random.random_range(100..1_500))
                };
                let steps = vec![step(count, millis, &[]), step(2, 300, &[0])];
                world.submit(&format!("job-{jobs}"), steps);
                jobs += 1;
            }
            40..43 if jobs > 0 => {
                let number = world.random().random_range(0..jobs);
                world.cancel(&format!("job-{number}"));
            }
            43..46 => {
                let now = world.now;
                world.workers.get_mut(&name).unwrap().restart(now);
                world.set_listed(&name, true);
            }
            46..48 => {
                let worker = world.workers.get_mut(&name).unwrap();
                worker.is_reachable = !worker.is_reachable;
            }
            48 => world.leaders[leader].is_up = false,
            49 => world.leaders[leader].is_log_reachable = !world.leaders[leader].is_log_reachable,
            50..54 => {
                // A new leader takes over, whether or not the old one has noticed.
                world.elect_leader();
            }
            54..58 => {
                let worker = world.workers.get_mut(&name).unwrap();
                worker.report.is_shutting_down = !worker.report.is_shutting_down;
                world.set_listed(&name, true);
            }
            _ => {}
        }
        world.run(Duration::from_millis(200));
    }
    recover(&mut world);
    for number in 0..jobs {
        let entry = world.index.get(&format!("job-{number}").into()).unwrap();
        let has_ended = entry.is_over();
        if !has_ended {
            world.violations.push(format!("job-{number} has not ended"));
        }
    }
    world
}

/// Ends all failures and lets a last leader complete the open jobs.
fn recover(world: &mut World) {
    world.faults = Faults::default();
    for worker in world.workers.values_mut() {
        worker.is_reachable = true;
        worker.report.is_shutting_down = false;
    }
    world.elect_leader();
    world.run(Duration::from_secs(40));
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[test_case(5)]
#[test_case(6)]
#[test_case(7)]
#[test_case(8)]
fn verify_invariants_hold_under_failures(seed: u64) {
    let world = simulate(seed);
    assert_eq!(world.violations_found(), Vec::<String>::new());
    assert!(world.start_count > 100);
    let completed = world
        .jobs
        .keys()
        .filter(|id| world.outcome(id) == Some(Outcome::Completed));
    assert!(completed.count() > 10);
}

#[test]
fn verify_invariants_hold_over_many_seeds() {
    for seed in 100..100 + SEEDS {
        let world = simulate(seed);
        assert_eq!(
            world.violations_found(),
            Vec::<String>::new(),
            "seed {seed}"
        );
    }
}
