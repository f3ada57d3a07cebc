//! Jobs that are refused, and those that are not.

use std::time::Duration;

use persimmongate_core::ids;
use persimmongate_core::journal::{Excess, Load};
use persimmongate_core::share::{Cause, Outlook, Refusal, Request, retry_delay, review};
use test_case::test_case;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A job that runs for a second and should complete within 2.2 s, of the account if one is given.
fn request(account: Option<&ids::Account>) -> Request<'_> {
    Request {
        account,
        critical_path: millis(1_000),
        objective: millis(2_200),
        draw: 0.5,
    }
}

fn load(queue_delay: u64, late_delay: u64) -> Load {
    Load {
        queue_delay: millis(queue_delay),
        late_delay: millis(late_delay),
        ..Load::default()
    }
}

fn excess(account: &ids::Account, delay: u64, admitted: u32, beyond_rate_delay: u64) -> Excess {
    Excess {
        account: account.clone(),
        delay: millis(delay),
        admitted,
        beyond_rate_delay: millis(beyond_rate_delay),
    }
}

// Guards against refusals of jobs that would have been of use: up to three times its objective a late job has some
// value, and a refused caller finds out no more by coming back.
#[test_case(0, 0, true; "without delay")]
#[test_case(1_200, 60_000, true; "that can complete in time, behind late ones")]
#[test_case(1_300, 5_600, true; "that will be late")]
#[test_case(1_300, 5_700, false; "that would end when nobody wants it")]
#[test_case(5_700, 0, false; "of a leader that reports no delay of late jobs")]
fn verify_job_is_refused_if_it_can_not_end_in_time(delay: u64, late_delay: u64, accepted: bool) {
    let answer = review(&load(delay, late_delay), Duration::ZERO, &request(None));
    assert_eq!(answer.is_ok(), accepted);
}

// Guards against an estimate that ends below what callers of long jobs accept, so that none of them is refused.
#[test]
fn verify_long_job_behind_a_long_backlog_is_refused() {
    let backlog = Outlook::new(1_000).start_delay(120_000);
    let load = Load {
        queue_delay: backlog,
        late_delay: backlog,
        ..Load::default()
    };
    let long = Request {
        critical_path: millis(4_200),
        objective: millis(7_320),
        ..request(None)
    };
    assert!(review(&load, Duration::ZERO, &long).is_err());
}

// Guards against refusals by the last report of a leader that is gone.
#[test]
fn verify_delay_shrinks_with_the_age_of_the_report() {
    let load = load(6_000, 6_000);
    assert!(review(&load, millis(400), &request(None)).is_err());
    assert!(review(&load, millis(800), &request(None)).is_ok());
}

// Load pattern: one account sends many times its rate while the others go on as usual.
#[test]
fn verify_flood_of_an_account_is_refused_and_the_others_do_not_notice() {
    let (hot, other) = ("hot".into(), "other".into());
    let load = Load {
        excesses: vec![excess(&hot, 100, 300, 4_000)],
        ..load(100, 900)
    };
    let of_rate = Request {
        draw: 0.29,
        ..request(Some(&hot))
    };
    assert_eq!(review(&load, Duration::ZERO, &of_rate), Ok(()));
    let refusal = review(&load, Duration::ZERO, &request(Some(&hot))).unwrap_err();
    assert_eq!(refusal.cause, Cause::Rate);
    assert_eq!(
        review(&load, Duration::ZERO, &request(Some(&other))),
        Ok(())
    );
    assert_eq!(review(&load, Duration::ZERO, &request(None)), Ok(()));
}

#[test]
fn verify_flood_is_accepted_where_room_is_left() {
    let hot = "hot".into();
    let load = Load {
        excesses: vec![excess(&hot, 0, 300, 1_100)],
        ..load(0, 0)
    };
    assert_eq!(review(&load, Duration::ZERO, &request(Some(&hot))), Ok(()));
}

#[test]
fn verify_account_beyond_its_share_faces_the_delay_of_all() {
    let hot = "hot".into();
    let load = Load {
        excesses: vec![excess(&hot, 7_000, 1_000, 7_000)],
        ..load(200, 1_000)
    };
    let refusal = review(&load, Duration::ZERO, &request(Some(&hot))).unwrap_err();
    assert_eq!(refusal.cause, Cause::Share);
    assert_eq!(review(&load, Duration::ZERO, &request(None)), Ok(()));
}

fn refusal(cause: Cause, delay: u64, admitted: u32) -> Refusal {
    Refusal {
        cause,
        delay: millis(delay),
        patience: millis(2_000),
        admitted,
    }
}

// Callers that all return at once meet the same shortage.
#[test_case(refusal(Cause::Room, 3_000, 1_000), 1_000, 1_500; "when there is room")]
#[test_case(refusal(Cause::Room, 2_001, 1_000), 400, 600; "not before the next report")]
#[test_case(refusal(Cause::Share, 60_000, 1_000), 3_333, 4_999; "not too late")]
#[test_case(refusal(Cause::Rate, 2_100, 250), 1_600, 2_400; "as its rate allows")]
#[test_case(refusal(Cause::Rate, 2_100, 0), 3_333, 4_999; "when nothing is admitted")]
fn verify_retries_are_spread(refusal: Refusal, from: u128, to: u128) {
    let delays = [0.0, 1.0].map(|draw| retry_delay(&refusal, draw).as_millis());
    assert_eq!(delays, [from, to]);
}
