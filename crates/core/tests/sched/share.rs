//! Client accounts that want more than a pool has, and estimates of when a job starts.

use std::time::Duration;

use persimmongate_core::job::Outcome;
use persimmongate_core::journal::{Load, MAX_EXCESSES};
use test_case::test_case;

use crate::world::{LOW_PRIORITY_QUEUE, World, step};
use crate::{assert_no_violations, seconds};

/// Workers of the pool. Each has room for four tasks.
const WORKERS: usize = 10;
/// Processor time of the pool, in millicores.
const ROOM: u64 = 80_000;
/// Weight of an account that may send as many jobs as a test does.
const LARGE: f64 = 1_000.0;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn world(accounts: &[(&str, f64)]) -> World {
    let mut world = World::new(WORKERS, 1);
    world.set_accounts(accounts);
    world.run(seconds(1));
    world
}

fn load(world: &World) -> Load {
    let leader = world.leaders.last().unwrap();
    leader.scheduler.loads(world.now).remove(0)
}

/// Submits jobs of four tasks, which take about half a second each.
fn submit(world: &mut World, account: &str, count: u32) {
    for _ in 0..count {
        let id = format!("{account}-{}", world.jobs.len());
        let millis = 300 + u64::try_from(world.jobs.len()).unwrap() * 37 % 400;
        world.submit_for(account, &id, vec![step(4, millis, &[])]);
    }
}

// Load: two accounts and one pool. The first has filled it and has more waiting when the second comes.
#[test_case(1.0, 50; "equal weights")]
#[test_case(0.25, 20; "a quarter of the weight")]
fn verify_two_accounts_share_a_pool_by_weight(weight: f64, percent: u64) {
    let mut world = world(&[("first", LARGE), ("second", LARGE * weight)]);
    submit(&mut world, "first", 60);
    world.run(millis(200));
    assert_eq!(world.running_cpu("first"), ROOM);
    submit(&mut world, "second", 60);
    world.run(millis(700));
    let (mut first, mut second) = (0, 0);
    for _ in 0..15 {
        world.run(millis(50));
        first += world.running_cpu("first");
        second += world.running_cpu("second");
    }
    assert!((first + second) * 100 / (15 * ROOM) >= 90);
    let share = second * 100 / (first + second);
    assert!(share.abs_diff(percent) <= 10, "{share} percent");
    assert_no_violations(&world);
}

// Load: a large account that has everything waiting beside a small one that wants little.
#[test]
fn verify_small_account_is_served_at_once_beside_a_large_one() {
    let mut world = world(&[("large", 100.0), ("small", 1.0)]);
    submit(&mut world, "large", 100);
    world.run(millis(200));
    submit(&mut world, "small", 1);
    // The next tasks of the large account that end make room.
    world.run(millis(1_300));
    let completed = world.jobs.keys().filter(|id| id.starts_with("small"));
    let completed: Vec<_> = completed.map(|id| world.outcome(id)).collect();
    assert_eq!(completed, [Some(Outcome::Completed)]);
}

// Room that nobody else wants may be used by anyone.
#[test]
fn verify_account_alone_uses_the_whole_pool() {
    let mut world = world(&[("small", 1.0), ("large", LARGE)]);
    world.submit_for("small", "small-0", vec![step(400, 500, &[])]);
    world.run(millis(300));
    assert_eq!(world.running_cpu("small"), ROOM);
}

// Load: a hot account sends many times its rate. Another that sends its usual waits for nothing of it.
#[test]
fn verify_flood_beyond_the_rate_comes_after_the_others() {
    let mut world = world(&[("hot", 10.0), ("other", 10.0)]);
    submit(&mut world, "hot", 60);
    world.run(millis(100));
    for _ in 0..10 {
        submit(&mut world, "other", 1);
        world.run(millis(200));
    }
    world.run(seconds(1));
    let others = world.jobs.keys().filter(|id| id.starts_with("other"));
    let unfinished = others.filter(|id| world.outcome(id) != Some(Outcome::Completed));
    assert_eq!(unfinished.count(), 0);
    // What is beyond the rate gets the room that is left, and ends as well.
    world.run(seconds(6));
    let unfinished = world.jobs.keys().filter(|id| world.outcome(id).is_none());
    assert_eq!(unfinished.count(), 0);
    assert_no_violations(&world);
}

// The others' delay does not count what a hot account sends beyond its rate, and no host is fetched for it.
#[test]
fn verify_flood_is_reported_for_its_account_alone() {
    let mut world = world(&[("hot", 10.0), ("other", 10.0)]);
    for _ in 0..10 {
        submit(&mut world, "hot", 40);
        world.run(millis(100));
    }
    let load = load(&world);
    assert!(load.queue_delay < millis(300), "{load:?}");
    assert_eq!(load.excesses.len(), 1);
    let excess = &load.excesses[0];
    assert_eq!(excess.account, "hot");
    assert!(excess.admitted < 100, "{excess:?}");
    assert!(excess.beyond_rate_delay > seconds(5), "{excess:?}");
    assert!(load.backlog < ROOM, "{load:?}");
}

#[test]
fn verify_number_of_reported_accounts_is_bounded() {
    let names: Vec<String> = (0..100).map(|number| format!("account-{number}")).collect();
    let accounts: Vec<(&str, f64)> = names.iter().map(|name| (name.as_str(), 1.0)).collect();
    let mut world = world(&accounts);
    for name in &names {
        submit(&mut world, name, 6);
    }
    world.run(seconds(1));
    assert_eq!(load(&world).excesses.len(), MAX_EXCESSES);
}

// An upgrade or a change of leaders: what an older leader accepted is not counted as if it came at once.
#[test]
fn verify_new_leader_does_not_take_the_jobs_of_before_for_a_flood() {
    let accounts = [("usual", 10.0)];
    let mut world = world(&accounts);
    for _ in 0..20 {
        submit(&mut world, "usual", 1);
        world.run(millis(120));
    }
    world.leaders[0].is_up = false;
    world.elect_leader();
    world.set_accounts(&accounts);
    world.run(millis(500));
    assert_eq!(load(&world).excesses, []);
}

// Jobs of an account that the configuration no longer has go on, and so do those of open queues.
#[test]
fn verify_jobs_without_a_known_account_are_served() {
    let mut world = world(&[("other", 10.0)]);
    submit(&mut world, "gone", 3);
    world.submit("open", vec![step(4, 500, &[])]);
    world.run(seconds(3));
    let unfinished = world.jobs.keys().filter(|id| world.outcome(id).is_none());
    assert_eq!(unfinished.count(), 0);
}

/// Returns how many jobs whose ids start so are not completed.
fn unfinished(world: &World, prefix: &str) -> usize {
    let ids = world.jobs.keys().filter(|id| id.starts_with(prefix));
    ids.filter(|id| world.outcome(id) != Some(Outcome::Completed))
        .count()
}

// Load: a flood of the lowest priority of one account. What the same account sends with the highest is not held up.
#[test]
fn verify_flood_of_the_lowest_priority_comes_after_the_highest_of_its_account() {
    let mut world = world(&[("account", LARGE)]);
    for number in 0..100 {
        let id = format!("low-{number}");
        world.submit_to(LOW_PRIORITY_QUEUE, "account", &id, vec![step(4, 500, &[])]);
    }
    world.run(millis(200));
    submit(&mut world, "account", 5);
    world.run(millis(1_600));
    assert_eq!(unfinished(&world, "account"), 0);
    assert!(unfinished(&world, "low") > 50);
}

// Load: a flood of the highest priority of one account. The lowest of another has its share all the same.
#[test]
fn verify_flood_of_the_highest_priority_leaves_other_accounts_their_share() {
    let mut world = world(&[("hot", LARGE), ("other", LARGE)]);
    submit(&mut world, "hot", 100);
    world.run(millis(200));
    for number in 0..4 {
        let id = format!("other-{number}");
        world.submit_to(LOW_PRIORITY_QUEUE, "other", &id, vec![step(4, 500, &[])]);
    }
    world.run(millis(1_900));
    assert_eq!(unfinished(&world, "other"), 0);
    assert!(unfinished(&world, "hot") > 30);
}

// Guards against accounts that play a part where the configuration has none.
#[test]
fn verify_configuration_without_accounts_divides_nothing() {
    let mut world = World::new(WORKERS, 1);
    world.run(seconds(1));
    submit(&mut world, "hot", 100);
    world.run(millis(300));
    let load = load(&world);
    assert_eq!(load.excesses, []);
    assert!(load.backlog > ROOM, "{load:?}");
}

// Guards against refusals by an estimate that knows no worker, as the worker list is empty after an outage.
#[test]
fn verify_delay_is_not_estimated_without_a_worker() {
    let mut world = World::new(0, 1);
    world.submit("job", vec![step(40, 500, &[])]);
    world.run(seconds(1));
    let load = load(&world);
    assert!(load.backlog > 0);
    assert_eq!(load.queue_delay, Duration::ZERO);
}

// Load: a turn starts while most of its hosts are still on their way.
#[test]
fn verify_hosts_on_their_way_shorten_the_delay() {
    let mut world = World::new(1, 1);
    world.run(seconds(1));
    world.submit("flood", vec![step(200, 1_000, &[])]);
    world.run(millis(500));
    let before = load(&world).queue_delay;
    let host = |number| (format!("h{number}").into(), "service".into(), 8_000);
    world.arriving = (1..20).map(host).collect();
    world.report_hosts();
    let after = load(&world).queue_delay;
    assert!(
        before > seconds(9) && after < seconds(5),
        "{before:?} {after:?}"
    );
    // A host whose worker is listed is counted once.
    world.arriving = vec![("h0".into(), "service".into(), 8_000_000)];
    world.report_hosts();
    assert_eq!(load(&world).queue_delay, before);
}

// Load: an outage leaves late work. It does not hold up what can still be in time, and ends as well.
#[test]
fn verify_late_work_comes_after_work_in_time_and_ends() {
    let mut world = World::new(2, 1);
    world.run(seconds(1));
    for worker in world.workers.values_mut() {
        worker.is_reachable = false;
    }
    world.run(seconds(3));
    for number in 0..16 {
        world.submit(&format!("late-{number}"), vec![step(4, 800, &[])]);
    }
    world.run(seconds(3));
    for worker in world.workers.values_mut() {
        worker.is_reachable = true;
    }
    world.run(millis(200));
    let delay = load(&world);
    assert!(delay.queue_delay < delay.late_delay, "{delay:?}");
    world.submit("new", vec![step(4, 800, &[])]);
    // Its objective is twice its run time and a second.
    world.run(millis(2_600));
    assert_eq!(world.outcome("new"), Some(Outcome::Completed));
    world.run(seconds(12));
    let unfinished = world.jobs.keys().filter(|id| world.outcome(id).is_none());
    assert_eq!(unfinished.count(), 0);
    assert_no_violations(&world);
}

// Load: large jobs, the largest tenth, beside small ones that take more than there is room for.
#[test]
fn verify_large_jobs_are_served_half_as_often_as_the_rest_at_least() {
    let mut world = World::new(WORKERS, 1);
    world.run(seconds(1));
    let (mut small, mut large) = (0, 0);
    for number in 0..60 {
        for _ in 0..9 {
            world.submit(&format!("small-{small}"), vec![step(2, 700, &[])]);
            small += 1;
        }
        if number % 2 == 0 {
            world.submit(&format!("large-{large}"), vec![step(32, 700, &[])]);
            large += 1;
        }
        world.run(millis(250));
    }
    // Those that are submitted last have not had their time yet.
    let served = |prefix: &str, count: u32| {
        let ids = (0..count).map(|number| format!("{prefix}-{number}"));
        ids.filter(|id| world.outcome(id).is_some()).count() * 100 / count as usize
    };
    let (small, large) = (served("small", small - 90), served("large", large - 5));
    assert!(large * 2 >= small, "{large} of large, {small} of small");
}
