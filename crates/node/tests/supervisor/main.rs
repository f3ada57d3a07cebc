//! Restarts of failed children, with a limit, on the paused clock.

mod fixture;

use actix_rt::time::{Instant, sleep};
use fixture::{
    BACKOFF, Child, Fail, PERIOD, Ping, RESTARTS, Seen, Sibling, start, started, system,
};
use persimmongate_node::supervisor::{EXIT_SUPERVISION_FAILED, ShutDown};
use test_case::test_case;

#[test_case(Fail::Error; "by an error")]
#[test_case(Fail::Panic; "by a panic")]
fn verify_failed_child_is_restarted(fail: Fail) {
    system().block_on(async {
        let (_supervisor, mut seen) = start(false);
        let second = started(&mut seen, Child::Second).await;
        started(&mut seen, Child::First).await;
        second.do_send(fail);
        let again = started(&mut seen, Child::Second).await;
        assert_eq!(again.send(Ping).await.unwrap(), Child::Second);
        assert!(second.send(Ping).await.is_err());
    });
}

#[test_case(Fail::Error; "by an error")]
#[test_case(Fail::Panic; "by a panic")]
fn verify_linked_child_ends_before_new_start(fail: Fail) {
    system().block_on(async {
        let (_supervisor, mut seen) = start(false);
        let second = started(&mut seen, Child::Second).await;
        let first = started(&mut seen, Child::First).await;
        first.do_send(fail);
        let stopped = seen.recv().await.unwrap();
        assert!(
            matches!(stopped, Seen::Stopped(Child::Second)),
            "{stopped:?}"
        );
        assert!(!second.connected());
        started(&mut seen, Child::Second).await;
        started(&mut seen, Child::First).await;
    });
}

#[test]
fn verify_sibling_gets_new_address() {
    system().block_on(async {
        let (_supervisor, mut seen) = start(false);
        let second = started(&mut seen, Child::Second).await;
        let first = started(&mut seen, Child::First).await;
        assert_eq!(second.send(Sibling).await.unwrap(), Some(first.clone()));
        first.do_send(Fail::Panic);
        let second = started(&mut seen, Child::Second).await;
        let again = started(&mut seen, Child::First).await;
        assert_ne!(again, first);
        assert_eq!(second.send(Sibling).await.unwrap(), Some(again));
    });
}

#[test]
fn verify_end_of_older_start_is_ignored() {
    system().block_on(async {
        let (_supervisor, mut seen) = start(false);
        started(&mut seen, Child::Second).await;
        let first = started(&mut seen, Child::First).await;
        first.do_send(Fail::Error);
        // The second child's stop is part of the restart and no failure of its own.
        let second = started(&mut seen, Child::Second).await;
        started(&mut seen, Child::First).await;
        sleep(PERIOD).await;
        assert!(seen.try_recv().is_err());
        assert!(second.connected());
    });
}

#[test]
fn verify_limit_ends_process() {
    let system = system();
    let (_supervisor, mut seen) = system.block_on(async { start(true) });
    assert_eq!(system.run_with_code().unwrap(), EXIT_SUPERVISION_FAILED);
    let mut refused = 0;
    while let Ok(event) = seen.try_recv() {
        refused += usize::from(matches!(event, Seen::Refused(Child::First)));
    }
    assert_eq!(refused, 1 + RESTARTS);
}

#[test]
fn verify_repeated_restarts_wait_longer() {
    system().block_on(async {
        let (_supervisor, mut seen) = start(false);
        let mut second = started(&mut seen, Child::Second).await;
        let mut waits = Vec::new();
        for _ in 0..RESTARTS {
            let since = Instant::now();
            second.do_send(Fail::Panic);
            second = started(&mut seen, Child::Second).await;
            waits.push(since.elapsed());
        }
        assert!(waits[0] < BACKOFF, "{waits:?}");
        assert!(waits[1] >= BACKOFF, "{waits:?}");
        assert!(waits[2] >= BACKOFF * 2, "{waits:?}");
    });
}

#[test]
fn verify_rare_failures_do_not_add_up() {
    system().block_on(async {
        let (_supervisor, mut seen) = start(false);
        let mut second = started(&mut seen, Child::Second).await;
        for _ in 0..=RESTARTS {
            second.do_send(Fail::Error);
            second = started(&mut seen, Child::Second).await;
            sleep(PERIOD * 2).await;
        }
        assert!(second.connected());
    });
}

#[test]
fn verify_leave_ends_process_after_work() {
    let system = system();
    let mut seen = system.block_on(async {
        let (supervisor, mut seen) = start(false);
        let second = started(&mut seen, Child::Second).await;
        started(&mut seen, Child::First).await;
        supervisor.do_send(ShutDown);
        // A child that fails now stays down.
        second.do_send(Fail::Error);
        seen
    });
    assert_eq!(system.run_with_code().unwrap(), 0);
    assert!(matches!(seen.try_recv(), Ok(Seen::Stopped(Child::First))));
    assert!(seen.try_recv().is_err());
}
