//! How long a new leader waits for workers that don't answer.

use std::time::Duration;

use persimmongate_core::sched::Event;
use rand::RngExt;
use test_case::test_case;

use crate::world::{World, long_running, step};

/// Interval of the host list.
const HOST_POLL_INTERVAL: Duration = Duration::from_millis(700);
/// Time for which the lapsed task of a long-running job may stay idle under a new leader, without the
/// longest wait for an unanswered worker.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// Workers of a randomised simulation.
const WORKERS: usize = 8;
/// Workers that end for good in a simulation, at most.
const MAX_ENDED: usize = 4;
/// Number of seeds of the randomised simulations.
const SEEDS: u64 = 40;
/// Rounds of a simulation, each of 200 ms.
const ROUNDS: usize = 400;

/// Runs a long-running task until its lease expires under a leader that is down, while another worker ends.
/// Returns the worker that has ended.
fn lapse(world: &mut World) -> String {
    world.submit("job", vec![long_running(1, 0)]);
    world.run(Duration::from_secs(2));
    let running = world.workers_running("job");
    let ended = world.workers.keys().find(|name| **name != running[0]);
    let ended = ended.unwrap().clone();
    world.workers.get_mut(&ended).unwrap().is_up = false;
    world.leaders[0].is_up = false;
    world.run(Duration::from_secs(4));
    assert_eq!(world.workers_running("job"), Vec::<String>::new());
    ended
}

/// Runs the world for a time in which host lists arrive at the leader.
fn run_with_hosts(world: &mut World, time: Duration) {
    let end = world.now + time;
    while world.now < end {
        world.run(HOST_POLL_INTERVAL);
        world.report_hosts();
    }
}

/// Cuts a leader from all workers but one.
fn cut_others(world: &mut World, leader: usize, worker: &str) {
    let others = world.workers.keys().filter(|name| *name != worker);
    let cuts: Vec<_> = others.map(|name| (leader, name.clone())).collect();
    world.cuts.extend(cuts);
}

/// `Departure` is how the host list shows that a worker has ended.
#[derive(Clone, Copy, Debug)]
enum Departure {
    /// Its host is listed without it.
    Vacated,
    /// Its host is no longer listed.
    Removed,
}

// Lapsed tasks stayed idle until the longest lease of an older term was over, as the new leader waited for
// workers of the list that had ended before it took over.
#[test_case(Departure::Vacated)]
#[test_case(Departure::Removed)]
fn verify_worker_that_ended_before_the_takeover_does_not_delay_lapsed_tasks(departure: Departure) {
    let mut world = World::new(3, 1);
    let ended = lapse(&mut world);
    match departure {
        Departure::Vacated => world.vacated.insert(ended),
        Departure::Removed => world.removed.insert(ended),
    };
    world.elect_leader();
    run_with_hosts(&mut world, MAX_IDLE);
    assert_eq!(world.workers_running("job").len(), 1);
    assert_eq!(world.violations_found(), Vec::<String>::new());
}

// Lapsed tasks stayed idle until the next host list, or until the longest lease was over if none arrived,
// although the workers that the list had lacked were back and had answered.
#[test]
fn verify_workers_that_return_do_not_delay_lapsed_tasks_until_the_next_host_list() {
    let mut world = World::new(3, 1);
    world.submit("job", vec![long_running(1, 0)]);
    world.run(Duration::from_secs(2));
    world.leaders[0].is_up = false;
    world.run(Duration::from_secs(4));
    world.lapsed = world.workers.keys().cloned().collect();
    world.elect_leader();
    for name in std::mem::take(&mut world.lapsed) {
        world.set_listed(&name, true);
    }
    world.run(Duration::from_millis(500));
    assert_eq!(world.workers_running("job").len(), 1);
    assert_eq!(world.violations_found(), Vec::<String>::new());
}

// A worker that the new leader can't reach may run tasks that the old one starts until its last lease is
// over: the host list must not shorten the wait for it, whether the worker list contains it or not.
#[test_case(true)]
#[test_case(false)]
fn verify_new_leader_waits_for_a_worker_that_only_the_old_one_reaches(is_listed: bool) {
    let mut world = World::new(2, 1);
    world.submit("job", vec![long_running(1, 0)]);
    world.run(Duration::from_secs(2));
    let worker = world.workers_running("job")[0].clone();
    // The old leader doesn't see the claim and extends the lease for as long as it may.
    world.leaders[0].is_log_reachable = false;
    world.cuts.insert((1, worker.clone()));
    world.elect_leader();
    world.set_listed(&worker, is_listed);
    run_with_hosts(&mut world, Duration::from_secs(5));
    assert_eq!(world.workers_running("job"), [worker]);
    run_with_hosts(&mut world, Duration::from_secs(5));
    assert_eq!(world.workers_running("job").len(), 1);
    assert_eq!(world.violations_found(), Vec::<String>::new());
}

// A task ran twice: an old leader that had not seen a newer claim, and that a worker did not answer, took the
// lease of that worker for expired while the new leader extended it.
#[test]
fn verify_old_leader_does_not_restart_a_task_whose_lease_a_newer_one_extends() {
    let mut world = World::new(3, 1);
    world.submit("job", vec![long_running(1, 0)]);
    world.run(Duration::from_secs(2));
    let worker = world.workers_running("job")[0].clone();
    world.leaders[0].is_log_reachable = false;
    world.cuts.insert((0, worker.clone()));
    cut_others(&mut world, 1, &worker);
    world.elect_leader();
    world.run(Duration::from_secs(6));
    assert_eq!(world.workers_running("job"), [worker]);
    assert_eq!(world.violations_found(), Vec::<String>::new());
}

// A task ran twice: a leader that had not seen a newer claim ended its wait for an unanswered worker while
// the newer leader had adopted the task there.
#[test]
fn verify_deadline_of_a_deposed_leader_restarts_nothing() {
    let mut world = World::new(3, 1);
    world.submit("job", vec![long_running(1, 0)]);
    world.run(Duration::from_secs(2));
    let worker = world.workers_running("job")[0].clone();
    // The first leader extends the lease until the third one takes over.
    world.leaders[0].is_log_reachable = false;
    world.cuts.insert((1, worker.clone()));
    world.elect_leader();
    world.run(Duration::from_secs(4));
    world.leaders[1].is_log_reachable = false;
    cut_others(&mut world, 2, &worker);
    world.elect_leader();
    world.run(Duration::from_secs(6));
    assert_eq!(world.workers_running("job"), [worker]);
    assert_eq!(world.violations_found(), Vec::<String>::new());
}

// A task ran twice: host lists without rows that could not be read made a worker that was only cut off look
// as if it had terminated, while its lease held.
#[test]
fn verify_incomplete_host_list_terminates_no_worker() {
    let mut world = World::new(2, 1);
    world.submit("job", vec![long_running(1, 0)]);
    world.run(Duration::from_secs(2));
    let worker = world.workers_running("job")[0].clone();
    world.has_complete_hosts = false;
    world.removed.insert(worker.clone());
    world.cuts.insert((0, worker.clone()));
    // Three host lists, before the lease expires.
    run_with_hosts(&mut world, HOST_POLL_INTERVAL * 3);
    assert_eq!(world.workers_running("job"), [worker]);
    run_with_hosts(&mut world, Duration::from_secs(5));
    assert_eq!(world.workers_running("job").len(), 1);
    assert_eq!(world.violations_found(), Vec::<String>::new());
}

// A new leader must wait for the workers of hosts whose rows it could not read.
#[test]
fn verify_incomplete_host_list_ends_no_wait() {
    let mut world = World::new(2, 1);
    world.submit("job", vec![long_running(1, 0)]);
    world.run(Duration::from_secs(2));
    let worker = world.workers_running("job")[0].clone();
    world.leaders[0].is_log_reachable = false;
    world.cuts.insert((1, worker.clone()));
    world.has_complete_hosts = false;
    world.removed.insert(worker.clone());
    world.lapsed.insert(worker.clone());
    world.elect_leader();
    run_with_hosts(&mut world, Duration::from_secs(5));
    assert_eq!(world.workers_running("job"), [worker]);
    assert_eq!(world.violations_found(), Vec::<String>::new());
}

// More tasks of a step were away than it may miss: a new leader took a run that its predecessor was stopping for
// one that serves, and stopped the next one.
#[test]
fn verify_new_leader_counts_runs_that_its_predecessor_stops_as_away() {
    for delay_ms in (20..300).step_by(20) {
        let mut world = World::new(6, 1);
        world.submit("job", vec![long_running(4, 1)]);
        world.run(Duration::from_secs(2));
        let mut workers = world.workers_running("job");
        assert_eq!(workers.len(), 4);
        workers.truncate(2);
        let drain = |world: &mut World, leader: usize, worker: usize| {
            let worker = workers[worker].as_str().into();
            world.deliver(leader, Event::Drain(worker, true));
        };
        // Exits of short tasks make the workers answer polls at once.
        for millis in (60..460).step_by(20) {
            world.submit(&format!("short-{millis}"), vec![step(1, millis, &[])]);
        }
        world.run(Duration::from_millis(20));
        drain(&mut world, 0, 1);
        world.run(Duration::from_millis(delay_ms));
        world.leaders[0].is_up = false;
        let leader = world.elect_leader();
        drain(&mut world, leader, 0);
        drain(&mut world, leader, 1);
        for _ in 0..500 {
            world.run(Duration::from_millis(20));
            let runs = world
                .workers
                .values()
                .flat_map(|worker| worker.runs.values());
            let at_work = runs.filter(|run| run.exit.is_none() && run.stop_requested_at.is_none());
            let at_work = at_work.count();
            assert!(
                at_work >= 3,
                "hand-over {delay_ms} ms after the drain: {at_work} at work"
            );
        }
        let running = world.workers_running("job");
        assert!(workers.iter().all(|worker| !running.contains(worker)));
        assert_eq!(world.violations_found(), Vec::<String>::new());
    }
}

// A host list without hosts, as where there is no host service, says nothing about the workers.
#[test]
fn verify_empty_host_list_ends_no_wait() {
    let mut world = World::new(2, 1);
    world.submit("job", vec![long_running(1, 0)]);
    world.run(Duration::from_secs(2));
    let worker = world.workers_running("job")[0].clone();
    world.leaders[0].is_log_reachable = false;
    world.cuts.insert((1, worker.clone()));
    world.removed = world.workers.keys().cloned().collect();
    world.elect_leader();
    run_with_hosts(&mut world, Duration::from_secs(5));
    assert_eq!(world.workers_running("job"), [worker]);
    assert_eq!(world.violations_found(), Vec::<String>::new());
}

/// Simulates leaders that succeed one another while the older ones still act, workers that end for good and
/// workers that some leaders can't reach.
fn simulate(seed: u64) -> World {
    let mut world = World::new(WORKERS, seed);
    world.submit("long-running", vec![long_running(4, 1)]);
    let mut ended: Vec<String> = Vec::new();
    for round in 0..ROUNDS {
        let (fault, worker) = {
            let random = world.random();
            (random.random_range(0..200), random.random_range(0..WORKERS))
        };
        let name = format!("w{worker}");
        let leader = world.leaders.len() - 1;
        match fault {
            0..20 => {
                let (count, millis) = {
                    let random = world.random();
                    (random.random_range(1..5), random.random_range(200..2_500))
                };
                world.submit(&format!("job-{round}"), vec![step(count, millis, &[])]);
            }
            20..22 if ended.len() < MAX_ENDED && !ended.contains(&name) => {
                world.workers.get_mut(&name).unwrap().is_up = false;
                match fault {
                    20 => world.vacated.insert(name.clone()),
                    _ => world.removed.insert(name.clone()),
                };
                ended.push(name);
            }
            22..40 => {
                // The newest leader loses the worker, while older ones may still reach it.
                let cut = (leader, name);
                if !world.cuts.remove(&cut) {
                    world.cuts.insert(cut);
                }
            }
            40..46 => {
                let is_listed = world.lapsed.remove(&name) && !ended.contains(&name);
                if !is_listed {
                    world.lapsed.insert(name.clone());
                }
                world.set_listed(&name, is_listed);
            }
            46..50 => {
                // The old leader does not see the claim, and some workers are cut from the new one.
                world.leaders[leader].is_log_reachable = fault == 46;
                for worker in 0..WORKERS {
                    if world.random().random_range(0..3) == 0 {
                        world.cuts.insert((leader + 1, format!("w{worker}")));
                    }
                }
                world.elect_leader();
            }
            _ => {}
        }
        world.run(Duration::from_millis(200));
        if round % 4 == 0 {
            world.report_hosts();
        }
    }
    world.cuts.clear();
    world.lapsed.clear();
    world.elect_leader();
    run_with_hosts(&mut world, Duration::from_secs(40));
    world
}

// A wait that the host list shortens must not let a task run twice, whichever leader reaches which worker.
#[test]
fn verify_no_task_runs_twice_while_workers_end_and_leaders_overlap() {
    for seed in 0..SEEDS {
        let world = simulate(seed);
        assert_eq!(
            world.violations_found(),
            Vec::<String>::new(),
            "seed {seed}"
        );
        let is_over = |id: &str| id == "long-running" || world.outcome(id).is_some();
        let open: Vec<_> = world.jobs.keys().filter(|id| !is_over(id)).collect();
        assert!(open.is_empty(), "seed {seed}: {open:?} have not ended");
        assert_eq!(
            world.workers_running("long-running").len(),
            4,
            "seed {seed}"
        );
    }
}
