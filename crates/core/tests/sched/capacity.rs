//! Workers whose capacity shrinks and grows while runs, stops and starts in flight hold some of it.

use std::time::Duration;

use persimmongate_core::job::Outcome;
use rand::RngExt;

use crate::world::{Faults, World, long_running, step};
use crate::{assert_no_violations, seconds};

/// Number of seeds of the randomised simulations.
const SEEDS: u64 = 40;

// Guards against starts beyond a capacity that has shrunk, or one that stays unused once it has grown again.
#[test]
fn verify_starts_follow_a_capacity_that_shrinks_and_grows() {
    let mut world = World::new(1, 1);
    world.submit("before", vec![step(4, 5_000, &[])]);
    world.run(seconds(1));
    assert_eq!(world.start_count, 4);
    world.resize("w0", 4_000);
    world.submit("job", vec![step(8, 3_000, &[])]);
    world.run(Duration::from_millis(5_500));
    // The worker has room for two tasks once the earlier ones have ended.
    assert_eq!(world.workers["w0"].runs.len(), 2);
    world.resize("w0", 8_000);
    world.run(Duration::from_millis(500));
    assert_eq!(world.workers["w0"].runs.len(), 4);
    world.run(seconds(8));
    assert_eq!(world.outcome("job"), Some(Outcome::Completed));
    assert_no_violations(&world);
}

// Guards against room that is given away while a stop, or a start without an answer, still holds it.
#[test]
fn verify_commands_in_flight_hold_room_while_the_capacity_changes() {
    for seed in 1..=SEEDS {
        let mut world = World::new(4, seed);
        world.submit("long-running", vec![long_running(2, 1)]);
        for number in 0..60 {
            world.submit(&format!("job-{number}"), vec![step(3, 700, &[])]);
            let (event, worker, cores) = {
                let random = world.random();
                (
                    random.random_range(0..20),
                    random.random_range(0..4),
                    random.random_range(0..5),
                )
            };
            match event {
                0..6 => world.resize(&format!("w{worker}"), 2_000 * cores),
                6..9 => world.cancel(&format!("job-{number}")),
                9 => {
                    world.faults = Faults {
                        unanswered_commands: 400,
                        lost_poll_answers: 100,
                        ..Faults::default()
                    };
                }
                10 => world.faults = Faults::default(),
                11 => {
                    world.elect_leader();
                }
                _ => {}
            }
            world.run(Duration::from_millis(250));
        }
        world.faults = Faults::default();
        for worker in 0..4 {
            world.resize(&format!("w{worker}"), 8_000);
        }
        world.run(seconds(40));
        for number in 0..60 {
            let entry = world.index.get(&format!("job-{number}").into()).unwrap();
            assert!(entry.is_over(), "job-{number}, seed {seed}");
        }
        assert_eq!(
            world.violations_found(),
            Vec::<String>::new(),
            "seed {seed}"
        );
    }
}

// A new leader read the unfinished jobs of some seconds at once, and hosts for five times the demand were fetched.
#[test]
fn verify_jobs_of_before_a_term_are_no_arrivals() {
    let mut world = World::new(2, 1);
    world.submit("old", vec![step(6, 8_000, &[])]);
    world.run(seconds(3));
    world.leaders[0].is_up = false;
    let leader = world.elect_leader();
    world.submit("new", vec![step(2, 1_000, &[])]);
    world.run(Duration::from_millis(300));
    let loads = world.leaders[leader].scheduler.loads(world.now);
    let arrived: u64 = loads.iter().map(|load| load.arrival_rate).sum();
    // Two tasks of a second on two cores each.
    assert_eq!(arrived, 2 * 2_000);
}
