//! Waves with odd values, which operators and other processes write. Each must leave the other waves
//! unaffected.

use std::time::Duration;

use persimmongate_core::upkeep::Wave;
use test_case::test_case;

use crate::fixture::{Fixture, idle_load, wave};

// Guards against a leader of the fleet that ends on each start because of one wave with too large
// numbers.
#[test_case(Duration::MAX, 2; "longest time limit")]
#[test_case(Duration::MAX / 60, 2; "time limit that fits only by itself")]
#[test_case(Duration::ZERO, 2; "no time")]
#[test_case(Duration::from_secs(30), usize::MAX; "largest number of hosts down")]
#[test_case(Duration::MAX, usize::MAX; "both")]
fn verify_odd_wave_completes(time_limit: Duration, max_down: usize) {
    let mut fixture = Fixture::new(false);
    fixture.loads = vec![idle_load("one"), idle_load("two")];
    fixture.refresh();
    fixture.request_wave(Wave {
        time_limit,
        ..wave(max_down)
    });
    fixture.run(60);
    assert_eq!(fixture.wave_reports.last(), Some(&(1, true)));
}

// Guards against a wave without a host down at a time, which can't progress, stopping the next.
#[test]
fn verify_wave_that_permits_no_host_down_does_not_hold_up_the_next() {
    let mut fixture = Fixture::new(false);
    fixture.loads = vec![idle_load("one"), idle_load("two")];
    fixture.refresh();
    let hosts = vec!["one-0".into(), "nowhere".into()];
    fixture.request_wave(Wave {
        number: u64::MAX,
        hosts,
        ..wave(0)
    });
    let hosts = vec!["two-0".into(), "two-1".into()];
    fixture.request_wave(Wave { hosts, ..wave(1) });
    fixture.run(20);
    assert_eq!(fixture.wave_reports.last(), Some(&(1, true)));
}
