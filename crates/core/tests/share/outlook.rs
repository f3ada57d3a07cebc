//! Load pattern: hosts are on their way to a pool at the start of its turn.

use std::time::{Duration, Instant};

use persimmongate_core::share::{Outlook, START_DELAY_MAX};

/// Processor time of a host, in millicores.
const HOST: u64 = 16_000;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

// Guards against refusals at the start of a turn, when a pool of 39 hosts has work for 200 and these are on their way:
// the estimate divided by the room of the 39.
#[test]
fn verify_hosts_on_their_way_shorten_the_delay() {
    let now = Instant::now();
    let work = 39 * HOST * 5;
    let mut outlook = Outlook::new(39 * HOST);
    assert_eq!(outlook.start_delay(work), millis(5_000));
    for _ in 0..160 {
        outlook.expect(now, now, HOST);
    }
    // By the time at which they arrive, the 39 have done a part.
    let delay = outlook.start_delay(work);
    assert!(delay > millis(1_800) && delay < millis(2_600), "{delay:?}");
    // What the present hosts do before that waits no shorter.
    assert_eq!(outlook.start_delay(39 * HOST), millis(1_000));
}

// Guards against an estimate that counts on a host that never arrives.
#[test]
fn verify_host_that_is_long_overdue_is_not_counted_on() {
    let start = Instant::now();
    let mut outlook = Outlook::new(HOST);
    outlook.expect(start + millis(6_000), start, 100 * HOST);
    assert_eq!(outlook.start_delay(3 * HOST), millis(3_000));
}

#[test]
fn verify_delay_without_room_is_bounded() {
    assert_eq!(Outlook::new(0).start_delay(1), START_DELAY_MAX);
    assert_eq!(Outlook::new(0).start_delay(0), Duration::ZERO);
    assert_eq!(Outlook::new(1).start_delay(u64::MAX), START_DELAY_MAX);
    let now = Instant::now();
    let mut outlook = Outlook::new(u64::MAX);
    outlook.expect(now, now, u64::MAX);
    assert_eq!(outlook.start_delay(u64::MAX), millis(1_000));
}
