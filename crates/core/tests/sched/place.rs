//! Waits for a place near the data of a task, or on one rack for a group.

use std::time::{Duration, Instant};

use persimmongate_core::job::{Outcome, Step};
use persimmongate_core::locality::{self, Ending, MAX_WAIT};
use persimmongate_core::sched::{Action, Event};
use test_case::test_case;

use crate::world::{World, long_running, step};
use crate::{assert_no_violations, seconds};

/// Factor by which tasks take longer away from their data.
const FACTOR: u32 = 3;
/// Time in which a task starts once it does not wait: the next pass, and the call of the worker.
const START_TIME: Duration = Duration::from_millis(150);

/// Creates a world in which tasks take longer away from their data, and whose leader is told so or not.
fn world(workers: usize, is_told: bool) -> World {
    let mut world = World::new(workers, 1);
    world.remote_factor = FACTOR;
    if is_told {
        world.options.remote_slowdown = FACTOR * locality::UNIT;
    }
    world.leaders[0].is_up = false;
    world.elect_leader();
    world.run(seconds(1));
    world
}

/// Creates a step whose data is in the first rack, which has room for eight of its tasks.
fn near(count: u32, millis: u64) -> Step {
    Step {
        data_rack: Some("r0".into()),
        ..step(count, millis, &[])
    }
}

/// Creates a group that wants one rack.
fn group(count: u32, millis: u64) -> Step {
    Step {
        is_gang: true,
        prefers_same_rack: true,
        ..step(count, millis, &[])
    }
}

/// Fills a rack with tasks of other jobs that must run there.
fn fill(world: &mut World, rack: &str, millis: u64) {
    let filling = Step {
        required_label: Some(rack.into()),
        ..step(8, millis, &[])
    };
    world.submit(&format!("filling-{rack}"), vec![filling]);
    world.run(Duration::from_millis(20));
}

fn endings(world: &World) -> Vec<Ending> {
    let endings = world.lines.iter().filter_map(|line| match line {
        Action::LogPlaceWait(ending) => Some((**ending).clone()),
        _ => None,
    });
    endings.collect()
}

/// Runs the world until a job has ended, and returns how long that took.
fn run_until_done(world: &mut World, id: &str) -> Duration {
    let started_at: Instant = world.now;
    while world.outcome(id).is_none() && world.now - started_at < seconds(30) {
        world.run(Duration::from_millis(10));
    }
    assert_eq!(world.outcome(id), Some(Outcome::Completed));
    world.now - started_at
}

/// Returns the racks on which a job runs.
fn racks_of(world: &World, id: &str) -> Vec<String> {
    let workers = world.workers_running(id);
    let racks = workers.iter().map(|name| {
        let labels = &world.workers[name].report.labels;
        labels.last().unwrap().to_string()
    });
    let mut racks: Vec<String> = racks.collect();
    racks.sort();
    racks.dedup();
    racks
}

#[test]
fn verify_tasks_wait_for_a_rack_that_is_free_soon() {
    let duration = |is_told| {
        let mut world = world(6, is_told);
        fill(&mut world, "r0", 400);
        world.submit("job", vec![near(8, 1_000)]);
        let duration = run_until_done(&mut world, "job");
        assert_no_violations(&world);
        (
            duration,
            world.count("tasks_away"),
            world.count("place_waits_paid"),
        )
    };
    let (waiting, away, paid) = duration(true);
    assert_eq!((away, paid), (0, 8));
    let (at_once, away, paid) = duration(false);
    assert_eq!((away, paid), (8, 0));
    assert!(waiting < at_once, "{waiting:?}, {at_once:?}");
}

#[test]
fn verify_free_rack_is_not_waited_for() {
    let mut world = world(6, true);
    world.submit("job", vec![near(8, 1_000)]);
    run_until_done(&mut world, "job");
    assert_eq!(world.count("place_waits"), 0);
    assert_eq!(world.count("tasks_away"), 0);
    assert_no_violations(&world);
}

// Guards against tasks that wait although their step ends with one that runs elsewhere.
#[test_case(16, 8, 0; "two rounds")]
#[test_case(40, 0, 32; "five rounds, which take longer than a run elsewhere")]
fn verify_step_waits_if_all_its_tasks_find_a_place_in_time(count: u32, waits: usize, away: usize) {
    let mut world = world(16, true);
    world.submit("job", vec![near(count, 500)]);
    run_until_done(&mut world, "job");
    assert_eq!(world.count("place_waits"), waits);
    assert_eq!(world.count("place_waits_paid"), waits);
    assert_eq!(world.count("tasks_away"), away);
    assert_no_violations(&world);
}

#[test]
fn verify_jobs_that_want_one_rack_count_those_before_them() {
    let mut world = world(16, true);
    fill(&mut world, "r0", 300);
    for number in 0..4 {
        world.submit(&format!("job-{number}"), vec![near(8, 600)]);
    }
    world.run(seconds(4));
    assert_eq!(world.count("place_waits_paid"), 16);
    assert_eq!(world.count("tasks_away"), 16);
    assert_no_violations(&world);
}

// Guards against waits that hold back jobs that could use the room elsewhere.
#[test]
fn verify_other_jobs_use_the_room_meanwhile() {
    let mut world = world(6, true);
    fill(&mut world, "r0", 400);
    for number in 0..16 {
        world.submit(&format!("job-{number}"), vec![near(1, 900)]);
    }
    world.submit("other", vec![step(8, 20_000, &[])]);
    world.run(START_TIME);
    assert_eq!(world.count("place_waits"), 16);
    assert_eq!(world.workers_running("other").len(), 2);
    world.run(seconds(10));
    assert_no_violations(&world);
}

#[test_case(true; "of a rack that falls silent")]
#[test_case(false; "of a rack that is drained")]
fn verify_waits_end_with_their_rack(is_crash: bool) {
    let mut world = world(6, true);
    fill(&mut world, "r0", 1_200);
    world.submit("job", vec![near(4, 1_500)]);
    world.run(START_TIME);
    assert_eq!(world.count("place_waits"), 4);
    for name in ["w0", "w1"] {
        if is_crash {
            world.workers.get_mut(name).unwrap().is_up = false;
        } else {
            let leader = world.leaders.len() - 1;
            world.deliver(leader, Event::Drain(name.into(), true));
        }
    }
    world.run(MAX_WAIT);
    assert_eq!(racks_of(&world, "job").len(), 1);
    assert_ne!(racks_of(&world, "job"), ["r0"]);
    let endings = endings(&world);
    assert_eq!(endings.len(), 4);
    let is_lost = |ending: &Ending| ending.outcome == locality::Outcome::RackLost;
    assert!(endings.iter().all(is_lost), "{endings:?}");
    run_until_done(&mut world, "job");
    assert_no_violations(&world);
}

// Guards against a task that waits for room which long-running tasks hold.
#[test]
fn verify_room_that_stays_in_use_is_not_waited_for() {
    let mut world = world(6, true);
    let lasting = Step {
        required_label: Some("r0".into()),
        max_per_worker: None,
        ..long_running(8, 0)
    };
    world.submit("lasting", vec![lasting]);
    world.run(START_TIME);
    world.submit("job", vec![near(4, 1_000)]);
    world.run(START_TIME);
    assert_eq!(world.count("place_waits"), 0);
    assert_eq!(world.count("tasks_away"), 4);
}

// Tasks that run ten times as long as they say, or a tenth of that: a wait for them ends when it was to.
#[test_case(1_000; "too short")]
#[test_case(10; "too long")]
fn verify_wrong_estimates_cost_a_bounded_wait(run_percent: u32) {
    let mut world = world(6, true);
    world.run_percent = run_percent;
    fill(&mut world, "r0", 600);
    world.submit("job", vec![near(8, 600)]);
    world.run(START_TIME);
    assert_eq!(world.count("place_waits"), 8);
    world.run(MAX_WAIT);
    assert_eq!(
        world.count("place_waits_paid") + world.count("tasks_away"),
        8
    );
    let endings = endings(&world);
    for ending in &endings {
        // The pass that ends a wait comes when it ends, not with the next tick.
        let tolerance = Duration::from_millis(30);
        assert!(ending.waited <= ending.longest + tolerance, "{ending:?}");
        assert!(ending.longest <= MAX_WAIT);
    }
    assert_eq!(endings.len(), 8);
    run_until_done(&mut world, "job");
    assert_no_violations(&world);
}

#[test]
fn verify_task_without_a_slowdown_starts_at_once() {
    let mut world = world(6, false);
    fill(&mut world, "r0", 400);
    world.submit("job", vec![near(8, 1_000)]);
    world.run(START_TIME);
    assert_eq!(world.workers_running("job").len(), 2);
    assert_eq!(world.count("place_waits"), 0);
    assert_eq!(world.count("tasks_away"), 8);
}

#[test]
fn verify_canceled_job_waits_no_longer() {
    let mut world = world(6, true);
    fill(&mut world, "r0", 400);
    world.submit("job", vec![near(8, 1_000)]);
    world.run(START_TIME);
    world.cancel("job");
    world.run(START_TIME);
    let endings = endings(&world);
    assert_eq!(endings.len(), 8);
    let is_dropped = |ending: &Ending| ending.outcome == locality::Outcome::Dropped;
    assert!(endings.iter().all(is_dropped), "{endings:?}");
    assert_eq!(world.count("place_waits_paid"), 0);
}

// Guards against a kind of worker that is taken for a rack, so that a group is spread over its racks.
#[test_case(true; "with a slowdown")]
#[test_case(false; "without a slowdown")]
fn verify_group_starts_on_one_rack_that_has_room(is_told: bool) {
    let mut world = world(6, is_told);
    // Each worker keeps room for two tasks, so that a rack has room for four.
    for number in 0..6 {
        let filling = Step {
            max_per_worker: Some(2),
            ..step(12, 3_000, &[])
        };
        if number == 0 {
            world.submit("filling", vec![filling]);
        }
    }
    world.run(START_TIME);
    world.submit("job", vec![group(4, 500)]);
    world.run(START_TIME);
    assert_eq!(racks_of(&world, "job").len(), 1);
    assert_eq!(world.count("tasks_away"), 0);
    assert_eq!(world.count("place_waits"), 0);
    assert_no_violations(&world);
}

#[test]
fn verify_group_waits_for_room_on_one_rack() {
    let mut world = world(6, true);
    for rack in ["r0", "r1", "r2"] {
        let filling = Step {
            required_label: Some(rack.into()),
            ..step(5, 600, &[])
        };
        world.submit(&format!("filling-{rack}"), vec![filling]);
    }
    world.run(START_TIME);
    world.submit("job", vec![group(6, 1_000)]);
    world.run(START_TIME);
    assert_eq!(world.workers_running("job").len(), 0);
    world.run(seconds(1));
    assert_eq!(racks_of(&world, "job").len(), 1);
    assert_eq!(world.count("place_waits_paid"), 1);
    run_until_done(&mut world, "job");
    assert_no_violations(&world);
}

#[test]
fn verify_group_that_fits_on_no_rack_starts_spread_at_once() {
    let mut world = world(6, true);
    world.submit("job", vec![group(12, 1_000)]);
    world.run(START_TIME);
    assert!(racks_of(&world, "job").len() > 1);
    assert_eq!(world.count("place_waits"), 0);
    assert_eq!(world.count("tasks_away"), 12);
    run_until_done(&mut world, "job");
    assert_no_violations(&world);
}
