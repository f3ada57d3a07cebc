//! Stops of long-running tasks whose step limits how many may be away.

use std::time::Duration;

use persimmongate_core::sched::Event;
use rand::RngExt;
use test_case::test_case;

use crate::world::{Faults, World, long_running};
use crate::{assert_no_violations, seconds};

// Guards against a stop that follows an unanswered start and ends the task once it works, while other tasks
// of its step are away for the same reason.
#[test_case(1_000, 0, 1; "starts without answers")]
#[test_case(0, 1_000, 2; "late starts")]
#[test_case(0, 500, 3; "half of the commands late")]
#[test_case(500, 300, 4; "both")]
fn verify_unanswered_start_does_not_end_a_task_that_works(
    unanswered: u32,
    delayed: u32,
    seed: u64,
) {
    let mut world = World::new(8, seed);
    world.run(seconds(1));
    world.faults = Faults {
        unanswered_commands: unanswered,
        delayed_commands: delayed,
        ..Faults::default()
    };
    world.submit("job", vec![long_running(6, 1)]);
    world.run(seconds(15));
    world.faults = Faults::default();
    world.run(seconds(15));
    assert_eq!(world.workers_running("job").len(), 6);
    assert_no_violations(&world);
}

// Guards against the repeat of an unanswered stop that ignores what has become unavailable since.
#[test]
fn verify_repeated_stop_respects_tasks_that_went_away_since() {
    for seed in 1..=40 {
        let mut world = World::new(5, seed);
        world.submit("job", vec![long_running(4, 1)]);
        world.run(seconds(3));
        let workers = world.workers_running("job");
        world.faults.delayed_commands = 1_000;
        world.deliver(0, Event::Drain(workers[0].as_str().into(), true));
        world.run(Duration::from_millis(100));
        // The idle worker goes as well, so the task of the lost worker stays away.
        for name in ["w0", "w1", "w2", "w3", "w4"] {
            if name == workers[1] || !workers.iter().any(|worker| worker == name) {
                world.workers.get_mut(name).unwrap().is_up = false;
            }
        }
        world.run(seconds(6));
        world.faults.delayed_commands = 0;
        world.run(seconds(14));
        assert_eq!(
            world.violations_found(),
            Vec::<String>::new(),
            "seed {seed}"
        );
    }
}

// Guards against commands without answers, drains, new leaders and lost workers that together leave more
// tasks of a step away than it permits.
#[test]
fn verify_steps_stay_available_over_many_seeds() {
    for seed in 1..=60 {
        let world = simulate(seed);
        assert_eq!(
            world.violations_found(),
            Vec::<String>::new(),
            "seed {seed}"
        );
        assert_eq!(world.workers_running("job").len(), 5, "seed {seed}");
    }
}

/// Simulates drains and losses of workers beside commands that are late or not answered, then a calm period.
fn simulate(seed: u64) -> World {
    let mut world = World::new(8, seed);
    world.submit("job", vec![long_running(5, 2)]);
    world.run(seconds(2));
    let mut drained: Option<String> = None;
    for _ in 0..120 {
        let (event, number) = {
            let random = world.random();
            (random.random_range(0..40), random.random_range(0..8))
        };
        let name = format!("w{number}");
        let leader = world.leaders.len() - 1;
        match event {
            0..4 => {
                if let Some(name) = drained.take() {
                    world.deliver(leader, Event::Drain(name.as_str().into(), false));
                }
                world.deliver(leader, Event::Drain(name.as_str().into(), true));
                drained = Some(name);
            }
            4..6 => {
                let now = world.now;
                world.workers.get_mut(&name).unwrap().restart(now);
                world.set_listed(&name, true);
            }
            6 => {
                world.elect_leader();
                if let Some(name) = &drained {
                    let leader = world.leaders.len() - 1;
                    world.deliver(leader, Event::Drain(name.as_str().into(), true));
                }
            }
            7..10 => {
                let (unanswered_commands, delayed_commands) = {
                    let random = world.random();
                    (random.random_range(0..700), random.random_range(0..700))
                };
                world.faults = Faults {
                    unanswered_commands,
                    delayed_commands,
                    ..Faults::default()
                };
            }
            10..12 => world.faults = Faults::default(),
            _ => {}
        }
        world.run(Duration::from_millis(250));
    }
    world.faults = Faults::default();
    if let Some(name) = &drained {
        let leader = world.leaders.len() - 1;
        world.deliver(leader, Event::Drain(name.as_str().into(), false));
    }
    world.run(seconds(30));
    world
}
