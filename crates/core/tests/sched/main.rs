//! Tests of the scheduler against simulated workers that follow the platform's specification.

mod advice;
mod availability;
mod capacity;
mod crash;
mod drain;
mod federation;
mod limit;
mod line;
mod odd;
mod overload;
mod payload;
mod place;
mod reachability;
mod recovery;
mod restart;
mod share;
mod soak;
mod stale;
mod starvation;
mod stop;
mod unanswered;
mod worker;
mod world;

use std::time::Duration;

use persimmongate_core::job::{Outcome, Step};
use persimmongate_core::sched::Event;

use world::{Faults, World, long_running, step};

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn assert_no_violations(world: &World) {
    assert_eq!(world.violations_found(), Vec::<String>::new());
}

#[test]
fn verify_job_completes_in_the_order_of_its_steps() {
    let mut world = World::new(3, 1);
    world.submit("job", vec![step(6, 800, &[]), step(4, 500, &[0])]);
    world.run(seconds(3));
    assert_eq!(world.outcome("job"), Some(Outcome::Completed));
    assert_eq!(world.start_count, 10);
    assert_no_violations(&world);
}

#[test]
fn verify_log_compacts_a_completed_job() {
    let mut world = World::new(3, 1);
    world.submit("job", vec![step(2, 300, &[])]);
    world.submit("open", vec![long_running(1, 0)]);
    world.run(seconds(2));
    assert_eq!(world.outcome("job"), Some(Outcome::Completed));
    assert_eq!(world.stub_count, 1);
    assert_no_violations(&world);
}

#[test]
fn verify_tasks_wait_for_free_resources() {
    let mut world = World::new(1, 1);
    world.submit("job", vec![step(9, 500, &[])]);
    world.run(seconds(1));
    assert_eq!(world.outcome("job"), None);
    world.run(seconds(2));
    assert_eq!(world.outcome("job"), Some(Outcome::Completed));
    assert_no_violations(&world);
}

#[test]
fn verify_failing_job_ends_as_failed_after_its_attempts() {
    let mut world = World::new(3, 1);
    world.faults.failed_runs = 1_000;
    world.submit("job", vec![step(1, 300, &[])]);
    world.run(seconds(3));
    assert_eq!(world.outcome("job"), Some(Outcome::Failed));
    assert_eq!(world.start_count, 2);
    assert_no_violations(&world);
}

#[test]
fn verify_tasks_of_an_unresponsive_worker_move_at_lease_expiry() {
    let mut world = World::new(2, 1);
    world.submit("job", vec![long_running(1, 0)]);
    world.run(seconds(2));
    let before = world.workers_running("job");
    world.workers.get_mut(&before[0]).unwrap().is_up = false;
    world.run(seconds(5));
    let after = world.workers_running("job");
    assert_eq!(after.len(), 1);
    assert_ne!(before, after);
    assert_no_violations(&world);
}

#[test]
fn verify_task_with_unreported_exit_is_not_restarted() {
    let mut world = World::new(3, 1);
    world.run(seconds(1));
    // The answers are lost while the worker stays alive and listed: a task that is done but whose
    // exit is unknown must not be restarted at lease expiry.
    world.faults.lost_poll_answers = 1_000;
    world.submit("job", vec![step(1, 600, &[])]);
    world.run(seconds(4));
    world.faults.lost_poll_answers = 0;
    world.run(seconds(4));
    assert_eq!(world.outcome("job"), Some(Outcome::Completed));
    assert_eq!(world.start_count, 1);
}

#[test]
fn verify_stale_acknowledgement_does_not_cover_exits_of_a_new_incarnation() {
    let mut world = World::new(1, 1);
    world.submit("before", vec![step(4, 300, &[])]);
    world.run(seconds(2));
    assert_eq!(world.outcome("before"), Some(Outcome::Completed));
    // The worker restarts before its next task, and its first answers are lost. The sequence
    // numbers of the new incarnation start anew, so an old acknowledgement must not cover them.
    let now = world.now;
    world.workers.get_mut("w0").unwrap().restart(now);
    world.faults.lost_poll_answers = 1_000;
    world.submit("job", vec![step(1, 100, &[])]);
    world.run(Duration::from_millis(2_500));
    world.faults.lost_poll_answers = 0;
    world.run(seconds(8));
    assert_eq!(world.outcome("job"), Some(Outcome::Completed));
    assert_eq!(world.start_count, 5);
    assert_no_violations(&world);
}

#[test]
fn verify_start_accepted_by_an_unlisted_incarnation_runs_once() {
    let mut world = World::new(2, 1);
    world.submit("before", vec![step(8, 300, &[])]);
    world.run(seconds(2));
    for name in ["w0", "w1"] {
        let now = world.now;
        world.workers.get_mut(name).unwrap().restart(now);
    }
    // The worker list shows the restarts only after the new incarnations have accepted the
    // start.
    world.submit("job", vec![step(1, 1_500, &[])]);
    world.run(Duration::from_millis(20));
    assert_eq!(world.workers_running("job").len(), 1);
    world.set_listed("w0", true);
    world.set_listed("w1", true);
    world.run(seconds(4));
    assert_eq!(world.outcome("job"), Some(Outcome::Completed));
    assert_eq!(world.start_count, 9);
    assert_no_violations(&world);
}

#[test]
fn verify_job_is_pending_until_a_worker_starts_it() {
    let mut world = World::new(1, 1);
    world.run(Duration::from_millis(500));
    world.workers.get_mut("w0").unwrap().is_reachable = false;
    world.submit("job", vec![step(1, 300, &[])]);
    world.run(Duration::from_millis(600));
    assert!(!world.progress("job").has_started);
    world.workers.get_mut("w0").unwrap().is_reachable = true;
    world.run(seconds(4));
    assert!(world.progress("job").has_started);
    assert_eq!(world.outcome("job"), Some(Outcome::Completed));
}

#[test]
fn verify_canceled_job_is_stopped() {
    let mut world = World::new(2, 1);
    world.submit("job", vec![long_running(2, 0)]);
    world.run(seconds(2));
    assert_eq!(world.workers_running("job").len(), 2);
    world.cancel("job");
    world.run(seconds(1));
    assert_eq!(world.workers_running("job").len(), 0);
    assert_no_violations(&world);
}

#[test]
fn verify_unanswered_start_is_resolved_before_the_task_restarts() {
    let mut world = World::new(3, 7);
    world.faults = Faults {
        unanswered_calls: 300,
        delayed_calls: 200,
        ..Faults::default()
    };
    for number in 0..20 {
        world.submit(&format!("job-{number}"), vec![step(4, 400, &[])]);
    }
    world.run(seconds(40));
    world.faults = Faults::default();
    world.run(seconds(20));
    for number in 0..20 {
        assert_eq!(
            world.outcome(&format!("job-{number}")),
            Some(Outcome::Completed)
        );
    }
    assert_no_violations(&world);
}

#[test]
fn verify_runs_lost_by_a_worker_restart_start_again() {
    let mut world = World::new(1, 1);
    world.submit("job", vec![long_running(2, 0), step(2, 3_000, &[])]);
    world.run(seconds(1));
    let now = world.now;
    world.workers.get_mut("w0").unwrap().restart(now);
    world.set_listed("w0", true);
    world.run(seconds(2));
    assert_eq!(world.workers_running("job"), ["w0"]);
    assert_eq!(world.workers["w0"].runs.len(), 3);
    assert_no_violations(&world);
}

#[test]
fn verify_new_leader_adopts_running_tasks() {
    let mut world = World::new(3, 1);
    world.submit("job", vec![step(6, 2_000, &[])]);
    world.run(seconds(1));
    world.leaders[0].is_up = false;
    world.elect_leader();
    world.run(seconds(3));
    assert_eq!(world.outcome("job"), Some(Outcome::Completed));
    assert_eq!(world.start_count, 6);
    assert_no_violations(&world);
}

#[test]
fn verify_new_leader_waits_for_workers_that_an_older_one_may_use() {
    let mut world = World::new(2, 1);
    world.submit("job", vec![step(2, 6_000, &[])]);
    world.run(seconds(1));
    // The old leader can't reach the log, and the new one can't reach a worker that the old one
    // used.
    world.leaders[0].is_log_reachable = false;
    let worker = world.workers_running("job")[0].clone();
    world.workers.get_mut(&worker).unwrap().is_reachable = false;
    world.leaders[0].is_up = false;
    world.elect_leader();
    world.run(seconds(2));
    assert_eq!(world.start_count, 2);
    // Jobs accepted after the claim of the term start at once.
    world.submit("new", vec![step(1, 300, &[])]);
    world.run(seconds(1));
    assert_eq!(world.outcome("new"), Some(Outcome::Completed));
    world.run(seconds(20));
    assert_eq!(world.outcome("job"), Some(Outcome::Completed));
    assert_no_violations(&world);
}

#[test]
fn verify_leader_without_the_log_stops_sending_commands() {
    let mut world = World::new(2, 1);
    world.run(seconds(1));
    world.leaders[0].is_log_reachable = false;
    world.run(seconds(6));
    let leader = world.leaders.len() - 1;
    world.submit("job", vec![step(1, 300, &[])]);
    world.deliver(leader, Event::Tick);
    world.run(seconds(2));
    assert_eq!(world.start_count, 0);
    assert_no_violations(&world);
}

#[test]
fn verify_drain_completes_within_the_availability_budget_of_steps() {
    let mut world = World::new(4, 1);
    world.submit("job", vec![long_running(3, 1)]);
    world.run(seconds(2));
    let workers = world.workers_running("job");
    assert_eq!(workers.len(), 3);
    world.deliver(0, Event::Drain(workers[0].as_str().into(), true));
    world.deliver(0, Event::Drain(workers[1].as_str().into(), true));
    world.run(Duration::from_millis(100));
    // One task may be unavailable at a time, and only one idle worker can take it.
    let stopping = world.workers.values().flat_map(|w| w.runs.values());
    assert_eq!(
        stopping
            .filter(|run| run.stop_requested_at.is_some())
            .count(),
        1
    );
    world.run(seconds(5));
    assert!(
        world.workers[&workers[0]].runs.is_empty() || world.workers[&workers[1]].runs.is_empty()
    );
    assert_no_violations(&world);
}

#[test]
fn verify_gang_starts_together_or_not_at_all() {
    let gang = Step {
        is_gang: true,
        ..step(5, 500, &[])
    };
    // A worker has resources for four tasks.
    let mut world = World::new(1, 1);
    world.submit("job", vec![gang.clone()]);
    world.run(seconds(2));
    assert_eq!(world.start_count, 0);
    let mut world = World::new(2, 1);
    world.submit("job", vec![gang]);
    world.run(Duration::from_millis(300));
    let runs = world
        .workers
        .values()
        .flat_map(|worker| worker.runs.values());
    let numbers: Vec<_> = runs.map(|run| run.run).collect();
    assert_eq!(numbers.len(), 5);
    assert!(numbers.iter().all(|number| *number == numbers[0]));
    world.run(seconds(2));
    assert_eq!(world.outcome("job"), Some(Outcome::Completed));
    assert_no_violations(&world);
}

#[test]
fn verify_tasks_run_on_workers_with_the_required_label() {
    let mut world = World::new(4, 1);
    let labelled = Step {
        required_label: Some("r1".into()),
        ..long_running(2, 0)
    };
    world.submit("job", vec![labelled]);
    world.run(seconds(1));
    assert_eq!(world.workers_running("job"), ["w2", "w3"]);
    assert_no_violations(&world);
}

#[test]
fn verify_occurrences_start_when_they_are_due() {
    let mut world = World::new(2, 1);
    world.submit_at("job", vec![step(1, 300, &[])], Some((seconds(2), 2)));
    world.run(Duration::from_millis(1_900));
    assert_eq!(world.start_count, 0);
    world.run(seconds(1));
    assert_eq!(world.start_count, 1);
    world.run(seconds(3));
    assert_eq!(world.start_count, 2);
    assert_eq!(world.outcome("job"), Some(Outcome::Completed));
    assert_no_violations(&world);
}

#[test]
fn verify_best_effort_tasks_are_throttled_when_a_task_nears_its_latency_target() {
    let mut world = World::new(1, 1);
    let serving = Step {
        latency_target: Some(Duration::from_millis(100)),
        ..long_running(1, 0)
    };
    let best_effort = Step {
        is_best_effort: true,
        ..long_running(1, 0)
    };
    world.submit("job", vec![serving, best_effort]);
    world.run(seconds(1));
    assert_eq!(world.workers["w0"].received_paces, []);
    world.workers.get_mut("w0").unwrap().reported_latency_ms = 120;
    world.run(seconds(2));
    assert_eq!(world.workers["w0"].received_paces, [0]);
    // The pace is raised in steps.
    world.workers.get_mut("w0").unwrap().reported_latency_ms = 20;
    world.run(seconds(5));
    assert!(world.workers["w0"].received_paces.starts_with(&[0, 20]));
}

#[test]
fn verify_policy_service_chooses_the_workers() {
    let mut world = World::new(3, 1);
    world.permitted_workers = Some(vec!["w1".into()]);
    world.leaders[0].is_up = false;
    world.elect_leader();
    world.run(seconds(1));
    world.submit("job", vec![long_running(1, 0)]);
    world.run(seconds(1));
    assert_eq!(world.workers_running("job"), ["w1"]);
    assert_no_violations(&world);
}
