//! Log lines of the leader about workers, recovery and idle tasks.

use std::time::Duration;

use persimmongate_core::job::Step;
use persimmongate_core::sched::{Action, Answer, Belief, Change, Event, Idle, Rule, Wait};

use crate::seconds;
use crate::world::{SERVICE, World, long_running, step};

/// Returns the changes of a worker that were logged since the latest call, in order.
fn take_changes(world: &mut World, name: &str) -> Vec<(Change, Belief)> {
    let lines = std::mem::take(&mut world.lines);
    let changes = lines.into_iter().filter_map(|line| match line {
        Action::LogWorker(change, belief) if belief.worker == *name => Some((change, belief)),
        _ => None,
    });
    changes.collect()
}

/// Returns only the kinds of the changes.
fn take_kinds(world: &mut World, name: &str) -> Vec<Change> {
    let changes = take_changes(world, name).into_iter();
    changes.map(|(change, _)| change).collect()
}

fn take_idle(world: &mut World) -> Vec<Idle> {
    let lines = std::mem::take(&mut world.lines);
    let idle = lines.into_iter().filter_map(|line| match line {
        Action::LogIdle(idle) => Some(*idle),
        _ => None,
    });
    idle.collect()
}

fn take_waits(world: &mut World) -> Vec<Wait> {
    let lines = std::mem::take(&mut world.lines);
    let waits = lines.into_iter().filter_map(|line| match line {
        Action::LogRecovery(wait) => Some(wait),
        _ => None,
    });
    waits.collect()
}

// Without these lines the log does not show which workers a leader knows.
#[test]
fn verify_worker_that_joins_and_answers_is_logged_once() {
    let mut world = World::new(1, 1);
    world.submit("job", vec![long_running(1, 0)]);
    world.run(seconds(3));
    let kinds = take_kinds(&mut world, "w0");
    assert_eq!(kinds, [Change::Joined, Change::Confirmed]);
    world.set_listed("w0", true);
    world.run(seconds(5));
    assert_eq!(take_kinds(&mut world, "w0"), []);
}

// Without these lines the log does not tell a leader that holds a worker for unlisted from one that
// holds it for listed.
#[test]
fn verify_worker_that_is_unlisted_and_returns_is_logged_once() {
    let mut world = World::new(1, 1);
    world.submit("job", vec![long_running(1, 0)]);
    world.run(seconds(2));
    world.lines.clear();
    world.set_listed("w0", false);
    world.set_listed("w0", false);
    world.run(seconds(2));
    let changes = take_changes(&mut world, "w0");
    assert_eq!(changes.len(), 1);
    let (change, belief) = &changes[0];
    assert_eq!(*change, Change::Unlisted);
    assert!(!belief.is_listed && belief.is_confirmed);
    assert_eq!((belief.missed_polls, belief.runs), (0, 1));
    world.set_listed("w0", true);
    world.set_listed("w0", true);
    world.run(seconds(2));
    assert_eq!(take_kinds(&mut world, "w0"), [Change::Returned]);
}

// Without this line the log does not show that a leader has forgotten a worker.
#[test]
fn verify_worker_that_is_removed_is_logged_once() {
    let mut world = World::new(1, 1);
    world.run(seconds(2));
    world.lines.clear();
    world.set_listed("w0", false);
    world.set_listed("w0", false);
    world.run(seconds(2));
    let kinds = take_kinds(&mut world, "w0");
    assert_eq!(kinds, [Change::Unlisted, Change::Removed]);
    world.set_listed("w0", true);
    world.run(seconds(2));
    let kinds = take_kinds(&mut world, "w0");
    assert_eq!(kinds, [Change::Joined, Change::Confirmed]);
}

// Without these lines the log does not show which incarnation a leader schedules on.
#[test]
fn verify_new_incarnation_is_logged_once_and_an_older_entry_too() {
    let mut world = World::new(1, 1);
    world.run(seconds(2));
    world.lines.clear();
    let old_report = world.workers["w0"].report.clone();
    let now = world.now;
    world.workers.get_mut("w0").unwrap().restart(now);
    world.set_listed("w0", true);
    world.run(seconds(2));
    let kinds = take_kinds(&mut world, "w0");
    assert_eq!(kinds, [Change::Restarted, Change::Confirmed]);
    let started_at_ms = old_report.started_at_ms;
    world.deliver(0, Event::Listed(old_report));
    world.run(seconds(1));
    let kinds = take_kinds(&mut world, "w0");
    assert_eq!(kinds, [Change::Outdated(started_at_ms)]);
}

// Without these lines the log does not show since when a leader gets no answer from a worker.
#[test]
fn verify_unreachable_worker_is_logged_once_until_it_answers() {
    let mut world = World::new(1, 1);
    world.submit("job", vec![long_running(1, 0)]);
    world.run(seconds(2));
    world.lines.clear();
    world.workers.get_mut("w0").unwrap().is_reachable = false;
    world.run(Duration::from_millis(1_500));
    let kinds = take_kinds(&mut world, "w0");
    assert_eq!(kinds, [Change::Unreachable(Answer::Unknown)]);
    world.workers.get_mut("w0").unwrap().is_reachable = true;
    world.run(seconds(3));
    let changes = take_changes(&mut world, "w0");
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].0, Change::Reachable);
    assert!(changes[0].1.missed_polls > 0);
}

// Without these lines the log does not show why a leader gives a listed worker no tasks.
#[test]
fn verify_worker_that_shuts_down_and_terminates_is_logged_once() {
    let mut world = World::new(1, 1);
    world.run(seconds(2));
    world.lines.clear();
    world.workers.get_mut("w0").unwrap().report.is_shutting_down = true;
    world.set_listed("w0", true);
    world.set_listed("w0", true);
    for _ in 0..2 {
        world.deliver(
            0,
            Event::Hosts {
                hosts: vec![("h0".into(), None)],
                arriving: Vec::new(),
                is_complete: true,
            },
        );
        world.run(seconds(1));
    }
    let kinds = take_kinds(&mut world, "w0");
    assert_eq!(kinds, [Change::ShuttingDown, Change::Terminated]);
}

// Without this line the log does not show until when a leader waits, and for which workers.
#[test]
fn verify_end_of_recovery_is_logged_once_with_its_rule() {
    let mut world = World::new(2, 1);
    world.submit("job", vec![long_running(1, 0)]);
    world.run(seconds(1));
    world.lines.clear();
    world.elect_leader();
    world.run(seconds(10));
    let waits = take_waits(&mut world);
    assert_eq!(waits.len(), 1);
    assert_eq!(waits[0].ended_by, Some(Rule::Answered));
    assert_eq!(
        (waits[0].unconfirmed, waits[0].hosted_unknown),
        (0, Some(0))
    );
    world.workers.get_mut("w1").unwrap().is_reachable = false;
    world.elect_leader();
    world.run(seconds(10));
    let waits = take_waits(&mut world);
    assert_eq!(waits.len(), 1);
    assert_eq!(waits[0].ended_by, Some(Rule::Deadline));
    assert_eq!(waits[0].unconfirmed, 1);
    assert!(waits[0].term_age >= seconds(8) && waits[0].term_age < seconds(9));
}

// Without this line the log does not show what keeps an idle task from its start.
#[test]
fn verify_idle_long_running_tasks_are_logged_at_intervals_with_the_workers() {
    let mut world = World::new(2, 1);
    // A step without long-running tasks has no such line.
    world.submit("short", vec![step(20, 5_000, &[])]);
    world.submit("job", vec![long_running(3, 0)]);
    world.run(seconds(2));
    assert_eq!(take_idle(&mut world).len(), 0);
    world.run(seconds(8));
    let lines = take_idle(&mut world);
    assert!((2..=3).contains(&lines.len()), "{} lines", lines.len());
    let idle = &lines[0];
    assert_eq!((&*idle.job, idle.tasks), ("job", 1));
    assert_eq!((idle.census.known, idle.census.eligible), (2, 2));
    assert_eq!(idle.below_limit, 0);
    assert!(!idle.waits_for_recovery && idle.may_start);
    assert!(lines[1].duration >= lines[0].duration + seconds(3));
}

// The hypotheses about an idle task differ in this line: workers that are not listed, the wait of a
// new leader, and workers that are not eligible.
#[test]
fn verify_line_about_idle_tasks_separates_the_reasons() {
    let mut world = World::new(2, 1);
    world.submit("job", vec![long_running(2, 0)]);
    world.run(seconds(2));
    world.lines.clear();
    world.workers.get_mut("w0").unwrap().is_up = false;
    world.set_listed("w0", false);
    world.run(seconds(8));
    let unlisted = take_idle(&mut world).pop().unwrap();
    assert_eq!((unlisted.census.known, unlisted.census.listed), (1, 1));
    assert!(!unlisted.waits_for_recovery);

    let mut world = World::new(3, 1);
    world.submit("job", vec![long_running(2, 0)]);
    world.run(seconds(2));
    world.lines.clear();
    let worker = world.workers_running("job")[0].clone();
    world.workers.get_mut(&worker).unwrap().is_up = false;
    world.leaders[0].is_up = false;
    world.elect_leader();
    world.run(seconds(5));
    let recovering = take_idle(&mut world).pop().unwrap();
    assert!(recovering.waits_for_recovery);
    assert_eq!(recovering.census.listed, 3);
    assert_eq!(recovering.census.confirmed, 2);
    assert_eq!(recovering.below_limit, 1);

    let mut world = World::new(2, 1);
    world.submit("job", vec![long_running(2, 0)]);
    world.run(seconds(2));
    world.lines.clear();
    world.deliver(0, Event::Drain("w0".into(), true));
    world.run(seconds(8));
    let draining = take_idle(&mut world).pop().unwrap();
    assert_eq!((draining.census.listed, draining.census.leaving), (2, 1));
    assert_eq!(draining.census.eligible, 1);
    assert!(!draining.waits_for_recovery);
}

// Without the line, nothing tells a job that a pass did not look at from one for which no worker has room.
#[test]
fn verify_line_tells_what_a_pass_made_of_waiting_jobs() {
    let mut world = World::new(2, 1);
    world.run(Duration::from_millis(500));
    for number in 0..30 {
        let step = Step {
            required_label: Some("missing".into()),
            ..step(1, 300, &[])
        };
        world.submit(&format!("job-{number}"), vec![step]);
    }
    world.run(seconds(7));
    let tallies = world.lines.iter().filter_map(|line| match line {
        Action::LogWaiting(service, tally) => Some((service, tally)),
        _ => None,
    });
    let tallies: Vec<_> = tallies.collect();
    assert!((2..=3).contains(&tallies.len()), "{tallies:?}");
    let (service, tally) = tallies.last().unwrap();
    assert_eq!(**service, *SERVICE);
    assert_eq!((tally.waiting, tally.without_room), (30, 30));
    assert_eq!((tally.started, tally.unplaced, tally.unexamined), (0, 0, 0));
    assert_eq!((tally.eligible, tally.free_millicores), (2, 16_000));
    assert_eq!(world.count("waiting_jobs"), 30);
}
