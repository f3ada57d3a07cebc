//! Tasks that crash the workers that start them, and crashes that have other causes.

use std::time::Duration;

use persimmongate_core::job::{Outcome, Step};
use persimmongate_core::sched::Event;
use rand::RngExt;
use test_case::test_case;

use crate::world::{World, long_running, step};
use crate::{assert_no_violations, seconds};

/// Number of seeds of the randomised simulations.
const SEEDS: u64 = 30;

/// Submits a job whose first task crashes each worker that starts it.
fn submit_crashing(world: &mut World, id: &str, steps: Vec<Step>) {
    world.crashing_jobs.insert(id.into());
    world.submit(id, steps);
}

fn assert_all_completed(world: &World, jobs: impl IntoIterator<Item = String>) {
    for job in jobs {
        assert_eq!(world.outcome(&job), Some(Outcome::Completed), "{job}");
    }
}

// Guards against a task that crashes worker after worker, as a run that is lost with its worker is not
// counted.
#[test_case(&[step(1, 500, &[])]; "one task")]
#[test_case(&[step(6, 500, &[])]; "one task of several")]
#[test_case(&[step(2, 300, &[]), step(2, 300, &[0])]; "a step that others wait for")]
fn verify_task_that_crashes_its_workers_is_given_up(steps: &[Step]) {
    let mut world = World::new(10, 1);
    world.run(seconds(1));
    submit_crashing(&mut world, "crashing", steps.to_vec());
    world.run(seconds(20));
    assert_eq!(world.outcome("crashing"), Some(Outcome::Failed));
    assert_no_violations(&world);
}

// Guards against a long-running task that crashes worker after worker, and against its neighbours being
// stopped with it.
#[test]
fn verify_long_running_task_that_crashes_its_workers_starts_no_more() {
    let mut world = World::new(10, 1);
    world.run(seconds(1));
    submit_crashing(&mut world, "crashing", vec![long_running(4, 1)]);
    world.run(seconds(60));
    assert_eq!(world.workers_running("crashing").len(), 3);
    assert_eq!(world.outcome("crashing"), None);
    assert_no_violations(&world);
}

// Guards against crashes that are taken for the end of a drain.
#[test]
fn verify_crashes_of_workers_that_are_drained_are_counted() {
    let mut world = World::new(10, 1);
    world.run(seconds(1));
    submit_crashing(&mut world, "crashing", vec![step(1, 500, &[])]);
    let mut drained: Option<String> = None;
    for _ in 0..2_000 {
        world.run(Duration::from_millis(5));
        let running = world.workers_running("crashing");
        if let Some(name) = running
            .first()
            .filter(|name| drained.as_ref() != Some(name))
        {
            world.deliver(0, Event::Drain(name.as_str().into(), true));
            drained = Some(name.clone());
        }
    }
    assert_eq!(world.outcome("crashing"), Some(Outcome::Failed));
    assert_no_violations(&world);
}

// Guards against a worker that gets no more tasks, as a long-running task runs on it that was lost with
// several workers before.
#[test]
fn verify_long_running_task_that_outlasted_crashes_shares_its_worker() {
    let mut world = World::new(2, 1);
    world.submit("long-running", vec![long_running(1, 0)]);
    world.run(Duration::from_millis(100));
    let workers = world.workers_running("long-running");
    world.crash(&workers[0]);
    world.run(Duration::from_millis(500));
    // The task has started on the other worker and is lost at its start again.
    let workers = world.workers_running("long-running");
    world.crash(&workers[0]);
    world.run(seconds(20));
    assert_eq!(world.workers_running("long-running").len(), 1);
    world.submit("job", vec![step(8, 500, &[])]);
    world.run(Duration::from_millis(300));
    assert_eq!(world.workers_running("job").len(), 2);
    assert_no_violations(&world);
}

// Guards against innocent jobs that are given up, or never end, as they ran beside a task that crashes workers.
#[test]
fn verify_tasks_beside_one_that_crashes_workers_complete() {
    let mut world = World::new(8, 1);
    for number in 0..40 {
        world.submit(&format!("job-{number}"), vec![step(4, 700, &[])]);
        if number % 10 == 5 {
            let crashing = format!("crashing-{number}");
            submit_crashing(&mut world, &crashing, vec![step(3, 500, &[])]);
        }
        world.run(Duration::from_millis(150));
    }
    world.run(seconds(40));
    assert_all_completed(&world, (0..40).map(|number| format!("job-{number}")));
    for number in [5, 15, 25, 35] {
        let crashing = format!("crashing-{number}");
        assert_eq!(world.outcome(&crashing), Some(Outcome::Failed));
    }
    assert_no_violations(&world);
}

// Guards against crashes that a leader forgets when it is replaced.
#[test]
fn verify_crashes_are_counted_across_leaders() {
    let mut world = World::new(10, 1);
    world.run(seconds(1));
    submit_crashing(&mut world, "crashing", vec![step(1, 500, &[])]);
    for _ in 0..6 {
        world.run(seconds(2));
        let leader = world.leaders.len() - 1;
        world.leaders[leader].is_up = false;
        world.elect_leader();
    }
    world.run(seconds(20));
    assert_eq!(world.outcome("crashing"), Some(Outcome::Failed));
    assert_no_violations(&world);
}

// Guards against innocent jobs that are given up because their availability zone loses power again and again.
#[test]
fn verify_loss_of_an_availability_zone_fails_no_job() {
    let mut world = World::new(12, 1);
    world.submit("long-running", vec![long_running(6, 2)]);
    for number in 0..60 {
        world.submit(&format!("job-{number}"), vec![step(4, 900, &[])]);
        if number % 15 == 10 {
            for name in ["w0", "w1", "w2", "w3"] {
                world.crash(name);
            }
        }
        world.run(Duration::from_millis(300));
    }
    world.run(seconds(40));
    assert_all_completed(&world, (0..60).map(|number| format!("job-{number}")));
    assert_eq!(world.outcome("long-running"), None);
    assert_no_violations(&world);
}

// Guards against innocent jobs that are given up because a worker crashes by itself, or is only cut off.
#[test_case(true; "crashes")]
#[test_case(false; "cut off")]
fn verify_worker_that_fails_again_and_again_fails_no_job(is_crashing: bool) {
    let mut world = World::new(4, 1);
    for number in 0..100 {
        world.submit(&format!("job-{number}"), vec![step(3, 600, &[])]);
        if is_crashing && number % 5 == 0 {
            world.crash("w1");
        } else if !is_crashing && number % 20 == 0 {
            let worker = world.workers.get_mut("w1").unwrap();
            worker.is_reachable = !worker.is_reachable;
        }
        world.run(Duration::from_millis(250));
    }
    world.workers.get_mut("w1").unwrap().is_reachable = true;
    world.run(seconds(40));
    assert_all_completed(&world, (0..100).map(|number| format!("job-{number}")));
    assert_no_violations(&world);
}

// Guards against a wrong verdict when crashes of all causes overlap with changes of the leader.
#[test]
fn verify_verdicts_hold_over_many_seeds() {
    for seed in 1..=SEEDS {
        let mut world = World::new(10, seed);
        let mut crashing = Vec::new();
        for number in 0..60 {
            world.submit(&format!("job-{number}"), vec![step(4, 600, &[])]);
            let (event, worker) = {
                let random = world.random();
                (random.random_range(0..100), random.random_range(0..10))
            };
            match event {
                0..6 => {
                    let id = format!("crashing-{number}");
                    submit_crashing(&mut world, &id, vec![step(2, 500, &[])]);
                    crashing.push(id);
                }
                6..12 => world.crash(&format!("w{worker}")),
                12..14 => {
                    for other in 0..3 {
                        world.crash(&format!("w{}", (worker + other) % 10));
                    }
                }
                14..16 => {
                    let leader = world.leaders.len() - 1;
                    world.leaders[leader].is_up = false;
                    world.elect_leader();
                }
                _ => {}
            }
            world.run(Duration::from_millis(300));
        }
        world.run(seconds(60));
        assert_all_completed(&world, (0..60).map(|number| format!("job-{number}")));
        for id in crashing {
            assert_eq!(
                world.outcome(&id),
                Some(Outcome::Failed),
                "{id}, seed {seed}"
            );
        }
        assert_eq!(
            world.violations_found(),
            Vec::<String>::new(),
            "seed {seed}"
        );
    }
}
