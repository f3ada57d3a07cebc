//! Tests of restarts, backoff, the restart limit and shutdown, on a paused clock.

mod fixture;

use actix_rt::time::{Instant, sleep};
use fixture::{
    BACKOFF, Child, Fail, GetSibling, MAX_RESTARTS, Observation, PERIOD, Ping, next_started,
    paused_system, start,
};
use persimmongate_node::supervisor::{EXIT_SUPERVISION_FAILED, Shutdown};
use test_case::test_case;

#[test_case(Fail::Error; "by an error")]
#[test_case(Fail::Panic; "by a panic")]
fn verify_failed_child_is_restarted(fail: Fail) {
    paused_system().block_on(async {
        let (_supervisor, mut observations) = start(false);
        let second = next_started(&mut observations, Child::Second).await;
        next_started(&mut observations, Child::First).await;
        second.do_send(fail);
        let restarted = next_started(&mut observations, Child::Second).await;
        assert_eq!(restarted.send(Ping).await.unwrap(), Child::Second);
        assert!(second.send(Ping).await.is_err());
    });
}

#[test_case(Fail::Error; "by an error")]
#[test_case(Fail::Panic; "by a panic")]
fn verify_dependent_stops_before_restart(fail: Fail) {
    paused_system().block_on(async {
        let (_supervisor, mut observations) = start(false);
        let second = next_started(&mut observations, Child::Second).await;
        let first = next_started(&mut observations, Child::First).await;
        first.do_send(fail);
        let stopped = observations.recv().await.unwrap();
        assert!(
            matches!(stopped, Observation::Stopped(Child::Second)),
            "{stopped:?}"
        );
        assert!(!second.connected());
        next_started(&mut observations, Child::Second).await;
        next_started(&mut observations, Child::First).await;
    });
}

#[test]
fn verify_sibling_receives_new_address() {
    paused_system().block_on(async {
        let (_supervisor, mut observations) = start(false);
        let second = next_started(&mut observations, Child::Second).await;
        let first = next_started(&mut observations, Child::First).await;
        assert_eq!(second.send(GetSibling).await.unwrap(), Some(first.clone()));
        first.do_send(Fail::Panic);
        let second = next_started(&mut observations, Child::Second).await;
        let restarted = next_started(&mut observations, Child::First).await;
        assert_ne!(restarted, first);
        assert_eq!(second.send(GetSibling).await.unwrap(), Some(restarted));
    });
}

#[test]
fn verify_exit_of_earlier_start_is_ignored() {
    paused_system().block_on(async {
        let (_supervisor, mut observations) = start(false);
        next_started(&mut observations, Child::Second).await;
        let first = next_started(&mut observations, Child::First).await;
        first.do_send(Fail::Error);
        // The stop of the second child is part of the restart and does not count as a failure.
        let second = next_started(&mut observations, Child::Second).await;
        next_started(&mut observations, Child::First).await;
        sleep(PERIOD).await;
        assert!(observations.try_recv().is_err());
        assert!(second.connected());
    });
}

#[test]
fn verify_exceeded_limit_ends_process() {
    let system = paused_system();
    let (_supervisor, mut observations) = system.block_on(async { start(true) });
    assert_eq!(system.run_with_code().unwrap(), EXIT_SUPERVISION_FAILED);
    let mut failed_starts = 0;
    while let Ok(event) = observations.try_recv() {
        failed_starts += usize::from(matches!(event, Observation::StartFailed(Child::First)));
    }
    assert_eq!(failed_starts, 1 + MAX_RESTARTS);
}

#[test]
fn verify_restart_delay_doubles() {
    paused_system().block_on(async {
        let (_supervisor, mut observations) = start(false);
        let mut second = next_started(&mut observations, Child::Second).await;
        let mut delays = Vec::new();
        for _ in 0..MAX_RESTARTS {
            let failed_at = Instant::now();
            second.do_send(Fail::Panic);
            second = next_started(&mut observations, Child::Second).await;
            delays.push(failed_at.elapsed());
        }
        assert!(delays[0] < BACKOFF, "{delays:?}");
        assert!(delays[1] >= BACKOFF, "{delays:?}");
        assert!(delays[2] >= BACKOFF * 2, "{delays:?}");
    });
}

#[test]
fn verify_failures_outside_period_are_not_counted() {
    paused_system().block_on(async {
        let (_supervisor, mut observations) = start(false);
        let mut second = next_started(&mut observations, Child::Second).await;
        for _ in 0..=MAX_RESTARTS {
            second.do_send(Fail::Error);
            second = next_started(&mut observations, Child::Second).await;
            sleep(PERIOD * 2).await;
        }
        assert!(second.connected());
    });
}

#[test]
fn verify_shutdown_waits_for_tree() {
    let system = paused_system();
    let mut observations = system.block_on(async {
        let (supervisor, mut observations) = start(false);
        let second = next_started(&mut observations, Child::Second).await;
        next_started(&mut observations, Child::First).await;
        supervisor.do_send(Shutdown);
        // A child that fails during the shutdown is not restarted.
        second.do_send(Fail::Error);
        observations
    });
    assert_eq!(system.run_with_code().unwrap(), 0);
    assert!(matches!(
        observations.try_recv(),
        Ok(Observation::Stopped(Child::First))
    ));
    assert!(observations.try_recv().is_err());
}
