//! Requests to the policy service, whose answers don't change.

use persimmongate_core::job::Outcome;

use crate::world::{World, step};
use crate::{assert_no_violations, seconds};

/// Jobs about which the policy service does not answer: as many as requests may be in flight.
const UNANSWERED_JOBS: usize = 6;

// Guards against a step that never starts: each request named the same workers, and the policy permits none
// of these.
#[test]
fn verify_further_workers_are_asked_about_if_none_of_the_first_is_permitted() {
    let mut world = World::new(100, 1);
    world.permitted_workers = Some(vec!["w99".into()]);
    world.elect_leader();
    world.run(seconds(1));
    world.submit("job", vec![step(2, 300, &[])]);
    world.run(seconds(3));
    assert_eq!(world.outcome("job"), Some(Outcome::Completed));
    assert_no_violations(&world);
}

// Guards against a permitted worker that is busy when the policy service is asked, beside others that it
// forbids.
#[test]
fn verify_step_waits_for_the_only_permitted_worker() {
    let mut world = World::new(100, 1);
    world.permitted_workers = Some(vec!["w99".into()]);
    world.elect_leader();
    world.run(seconds(1));
    for number in 0..6 {
        world.submit(&format!("job-{number}"), vec![step(4, 1_000, &[])]);
    }
    world.run(seconds(12));
    for number in 0..6 {
        let job = format!("job-{number}");
        assert_eq!(world.outcome(&job), Some(Outcome::Completed), "{job}");
    }
    assert_no_violations(&world);
}

// Guards against a worker that is left out of an answer, as its row could not be read: after all workers were
// asked about, each further request named the same ones.
#[test]
fn verify_all_workers_are_asked_about_again_after_the_answers_have_expired() {
    let mut world = World::new(100, 1);
    world.permitted_workers = Some(Vec::new());
    world.elect_leader();
    world.run(seconds(1));
    world.submit("job", vec![step(2, 300, &[])]);
    world.run(seconds(1));
    world.permitted_workers = Some(vec!["w99".into()]);
    world.run(seconds(6));
    assert_eq!(world.outcome("job"), Some(Outcome::Completed));
    assert_no_violations(&world);
}

// Guards against requests without an answer that are repeated at once: those of the first jobs took all places
// in flight for good, and the policy service was never asked about later jobs.
#[test]
fn verify_unanswered_requests_keep_no_later_job_from_being_asked_about() {
    let mut world = World::new(4, 1);
    world.permitted_workers = Some(vec!["w1".into()]);
    world.elect_leader();
    world.run(seconds(1));
    for number in 0..UNANSWERED_JOBS {
        let job = format!("unanswered-{number}");
        world.unanswered_jobs.insert(job.as_str().into());
        world.submit(&job, vec![step(1, 300, &[])]);
    }
    // Its id comes after theirs, which are otherwise equal in rank.
    world.submit("waiting", vec![step(2, 300, &[])]);
    world.run(seconds(4));
    assert_eq!(world.outcome("waiting"), Some(Outcome::Completed));
    assert_no_violations(&world);
}
