//! Workers that start again under their id while their entry stays listed.

use persimmongate_core::sched::Event;
use test_case::test_case;

use crate::world::{World, long_running};
use crate::{assert_no_violations, seconds};

/// Sends the newest leader the host list, in which the host of a worker runs it or none.
fn list_host(world: &mut World, name: &str, is_running: bool) {
    let report = world.workers[name].report.clone();
    let hosts = vec![(report.host.unwrap(), is_running.then_some(report.worker))];
    let leader = world.leaders.len() - 1;
    world.deliver(
        leader,
        Event::Hosts {
            hosts,
            arriving: Vec::new(),
            is_complete: true,
        },
    );
}

// Guards against a leader that never uses a worker again once the host list has shown its host
// without it, though the worker starts again under the same id before its entry lapses.
#[test_case(true; "listed before the host list names it")]
#[test_case(false; "listed after the host list names it")]
fn verify_worker_that_its_host_starts_again_gets_tasks(is_listed_first: bool) {
    let mut world = World::new(1, 1);
    world.submit("job", vec![long_running(1, 0)]);
    world.run(seconds(2));
    assert_eq!(world.workers_running("job"), ["w0"]);
    world.workers.get_mut("w0").unwrap().is_up = false;
    world.run(seconds(1));
    list_host(&mut world, "w0", false);
    world.run(seconds(1));
    let now = world.now;
    world.workers.get_mut("w0").unwrap().restart(now);
    if is_listed_first {
        world.set_listed("w0", true);
        list_host(&mut world, "w0", true);
    } else {
        list_host(&mut world, "w0", true);
        world.set_listed("w0", true);
    }
    world.run(seconds(3));
    assert_eq!(world.workers_running("job"), ["w0"]);
    assert_no_violations(&world);
}

// Guards against a leader that uses a worker again which its host no longer runs.
#[test]
fn verify_worker_that_its_host_no_longer_runs_gets_no_tasks() {
    let mut world = World::new(1, 1);
    world.run(seconds(1));
    list_host(&mut world, "w0", false);
    world.submit("job", vec![long_running(1, 0)]);
    world.set_listed("w0", true);
    list_host(&mut world, "w0", false);
    world.run(seconds(3));
    assert_eq!(world.workers_running("job"), Vec::<String>::new());
}

// Guards against a leader that takes a task for running on an incarnation that has ended, as the clock
// of the worker was set back before it started again.
#[test]
fn verify_worker_that_starts_again_with_an_earlier_start_time_gets_tasks() {
    let mut world = World::new(1, 1);
    world.workers.get_mut("w0").unwrap().report.started_at_ms = 10_000;
    world.set_listed("w0", true);
    world.submit("job", vec![long_running(1, 0)]);
    world.run(seconds(2));
    assert_eq!(world.workers_running("job"), ["w0"]);
    let now = world.now;
    let worker = world.workers.get_mut("w0").unwrap();
    worker.restart(now);
    worker.report.started_at_ms = 9_000;
    world.set_listed("w0", true);
    world.run(seconds(3));
    assert_eq!(world.workers_running("job"), ["w0"]);
    assert_no_violations(&world);
}

// Guards against an entry with a wrong start time that keeps a worker from getting tasks for the rest of
// the term.
#[test]
fn verify_worker_gets_tasks_after_an_entry_with_a_later_start_time() {
    let mut world = World::new(1, 1);
    world.submit("job", vec![long_running(1, 0)]);
    world.run(seconds(2));
    let mut report = world.workers["w0"].report.clone();
    report.started_at_ms = 1 << 50;
    let leader = world.leaders.len() - 1;
    world.deliver(leader, Event::Listed(report));
    world.run(seconds(1));
    world.set_listed("w0", true);
    world.run(seconds(3));
    assert_eq!(world.workers_running("job"), ["w0"]);
    assert_no_violations(&world);
}
