//! Randomised runs with failures that overlap.

use std::time::Duration;

use persimmongate_core::job::Outcome;
use rand::RngExt;
use test_case::test_case;

use crate::world::{Faults, World, lasting, step};

/// Workers of a run.
const WORKERS: usize = 6;
/// Seeds of the run over many of them.
const SEEDS: u64 = 40;
/// Steps of a run, each of 200 ms.
const STEPS: usize = 600;

/// Plays a run with failures, then lets everything recover.
fn play(seed: u64) -> World {
    let mut world = World::new(WORKERS, seed);
    world.faults = Faults {
        lost: 20,
        late: 20,
        failed: 30,
        silent: 0,
    };
    let mut jobs = 0;
    world.submit("lasting", vec![lasting(3, 1)]);
    for _ in 0..STEPS {
        let (what, worker) = {
            let random = world.random();
            (random.random_range(0..200), random.random_range(0..WORKERS))
        };
        let name = format!("w{worker}");
        let leader = world.leaders.len() - 1;
        match what {
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
                world.list(&name, true);
            }
            46..48 => {
                let worker = world.workers.get_mut(&name).unwrap();
                worker.reachable = !worker.reachable;
            }
            48 => world.leaders[leader].up = false,
            49 => world.leaders[leader].linked = !world.leaders[leader].linked,
            50..54 => {
                // A new leader comes, whether the old one noticed its end or not.
                world.lead();
            }
            54..58 => {
                let worker = world.workers.get_mut(&name).unwrap();
                worker.report.is_draining = !worker.report.is_draining;
                world.list(&name, true);
            }
            _ => {}
        }
        world.run(Duration::from_millis(200));
    }
    recover(&mut world);
    for number in 0..jobs {
        let entry = world.book.get(&format!("job-{number}").into()).unwrap();
        let over = entry.is_over();
        if !over {
            world.breaches.push(format!("job-{number} is not over"));
        }
    }
    world
}

/// Ends all failures and lets a last leader finish what is open.
fn recover(world: &mut World) {
    world.faults = Faults::default();
    for worker in world.workers.values_mut() {
        worker.reachable = true;
        worker.report.is_draining = false;
    }
    world.lead();
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
fn verify_nothing_breaks_under_failures(seed: u64) {
    let world = play(seed);
    assert_eq!(world.found(), Vec::<String>::new());
    assert!(world.starts > 100);
    let completed = world
        .jobs
        .keys()
        .filter(|id| world.outcome(id) == Some(Outcome::Completed));
    assert!(completed.count() > 10);
}

#[test]
fn verify_nothing_breaks_over_many_seeds() {
    for seed in 100..100 + SEEDS {
        let world = play(seed);
        assert_eq!(world.found(), Vec::<String>::new(), "seed {seed}");
    }
}
