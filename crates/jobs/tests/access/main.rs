//! Tests of who may call a queue while the configuration can or can't be known to be in force, on a paused clock.

mod fixture;

use std::time::Duration;

use actix_rt::time::{Instant, sleep};
use fixture::{Fixture, Log, MAX_AGE, key, paused_system};
use persimmongate_core::account::{Caller, Denial};
use persimmongate_jobs::router::{Endpoint, Resolve, Route};
use test_case::test_case;
use tokio::time::advance;

/// Time between two calls of a caller.
const CALL_INTERVAL: Duration = Duration::from_millis(50);

fn log(versions: &[u64]) -> Log {
    Log {
        versions: versions.to_vec(),
        has_accounts: true,
        is_refusing: false,
        lost_calls: 0,
    }
}

/// `Served` is the kind of an answer to a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Served {
    Account,
    Public,
    Denied,
    Missing,
    Unavailable,
}

async fn call(fixture: &Fixture, version: u64) -> Served {
    match fixture.resolve("/queue/", version).await {
        Route::Queue(_, Caller::Account(_), _) => Served::Account,
        Route::Queue(_, Caller::Public(_), _) => Served::Public,
        Route::Denied(Denial::NoKey | Denial::UnknownKey) => Served::Denied,
        Route::Missing => Served::Missing,
        Route::Unconfigured => Served::Unavailable,
    }
}

/// Returns the kinds of answers to calls over a time, without repetitions.
async fn calls(fixture: &Fixture, version: u64, duration: Duration) -> Vec<Served> {
    let end = Instant::now() + duration;
    let mut answers = Vec::new();
    while Instant::now() < end {
        answers.push(call(fixture, version).await);
        sleep(CALL_INTERVAL).await;
    }
    answers.dedup();
    answers
}

#[test]
fn verify_key_is_served_in_calm() {
    paused_system().block_on(async {
        let fixture = Fixture::start(log(&[1]), None).await;
        sleep(CALL_INTERVAL).await;
        let answers = calls(&fixture, 1, Duration::from_mins(1)).await;
        assert_eq!(answers, [Served::Account]);
        assert!(fixture.is_ready().await);
    });
}

// An answer that is lost must not make a gateway refuse calls.
#[test]
fn verify_key_is_served_while_single_answers_are_lost() {
    paused_system().block_on(async {
        let fixture = Fixture::start(log(&[1]), None).await;
        sleep(CALL_INTERVAL).await;
        for _ in 0..10 {
            fixture.change_log(|log| log.lost_calls = 1);
            let answers = calls(&fixture, 1, Duration::from_secs(7)).await;
            assert_eq!(answers, [Served::Account]);
        }
    });
}

// A gateway that the log refuses for 9 s: the key that it knows is taken away meanwhile, and another one added.
#[test]
fn verify_gateway_that_the_log_refuses_neither_serves_nor_denies() {
    paused_system().block_on(async {
        let fixture = Fixture::start(log(&[1]), None).await;
        sleep(CALL_INTERVAL).await;
        assert_eq!(call(&fixture, 1).await, Served::Account);
        let changed_at = Instant::now();
        fixture.change_log(|log| {
            log.is_refusing = true;
            log.versions.push(2);
        });
        while changed_at.elapsed() < MAX_AGE {
            sleep(CALL_INTERVAL).await;
        }
        let old_key = calls(&fixture, 1, Duration::from_secs(3)).await;
        let new_key = calls(&fixture, 2, Duration::from_secs(3)).await;
        assert_eq!(
            (old_key, new_key),
            (vec![Served::Unavailable], vec![Served::Unavailable])
        );
        let missing = fixture.resolve("/other/", 2).await;
        assert_eq!(
            missing,
            Route::Unconfigured,
            "a queue that may be there by now"
        );
        assert!(!fixture.is_ready().await);
        fixture.change_log(|log| log.is_refusing = false);
        sleep(Duration::from_millis(500)).await;
        assert_eq!(call(&fixture, 1).await, Served::Denied);
        assert_eq!(call(&fixture, 2).await, Served::Account);
        assert!(fixture.is_ready().await);
    });
}

// The clock goes on while a process is frozen. Its first answer must not be that of before.
#[test]
fn verify_first_answer_after_a_freeze_is_not_by_the_configuration_of_before() {
    paused_system().block_on(async {
        let fixture = Fixture::start(log(&[1]), None).await;
        sleep(CALL_INTERVAL).await;
        fixture.change_log(|log| log.versions.push(2));
        advance(MAX_AGE).await;
        let first = call(&fixture, 1).await;
        assert!(
            matches!(first, Served::Unavailable | Served::Denied),
            "{first:?}"
        );
    });
}

// Without accounts, a process goes on with its configuration while the log is away.
#[test]
fn verify_calls_are_served_without_accounts_while_the_log_is_away() {
    paused_system().block_on(async {
        let without_accounts = Log {
            has_accounts: false,
            ..log(&[1])
        };
        let fixture = Fixture::start(without_accounts, None).await;
        sleep(CALL_INTERVAL).await;
        fixture.change_log(|log| log.is_refusing = true);
        let answers = calls(&fixture, 1, Duration::from_secs(20)).await;
        assert_eq!(answers, [Served::Public]);
    });
}

// A new instance of the watcher may read an older version from a log that answers oddly.
#[test_case(5, 5; "an older version after a newer one")]
#[test_case(9, 9; "a newer version")]
fn verify_version_does_not_go_back_in_a_process(written: u64, expected: u64) {
    paused_system().block_on(async {
        let fixture = Fixture::start(log(&[written, 3]), Some(5)).await;
        sleep(CALL_INTERVAL).await;
        let version = fixture
            .current_config
            .borrow()
            .as_ref()
            .map(|config| config.version);
        assert_eq!(version, Some(expected));
        assert_eq!(call(&fixture, expected).await, Served::Account);
        assert_eq!(call(&fixture, 3).await, Served::Denied);
    });
}

#[test]
fn verify_configuration_of_an_earlier_instance_is_not_used_before_it_is_confirmed() {
    paused_system().block_on(async {
        let refusing = Log {
            is_refusing: true,
            ..log(&[6])
        };
        let fixture = Fixture::start(refusing, Some(5)).await;
        sleep(CALL_INTERVAL).await;
        assert_eq!(call(&fixture, 5).await, Served::Unavailable);
    });
}

#[test]
fn verify_debug_text_of_a_call_has_no_key() {
    let endpoint = Endpoint {
        host: "queue.example".into(),
        path: "/queue/".into(),
    };
    let resolve = Resolve {
        endpoint,
        key: Some(key(1)),
    };
    let text = format!("{resolve:?}");
    assert!(!text.contains("secret"), "{text}");
}
