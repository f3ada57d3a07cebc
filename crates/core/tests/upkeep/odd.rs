//! Waves and loads with odd values, which other processes write. Each must leave the other waves and
//! services unaffected.

use std::time::Duration;

use persimmongate_core::journal::{Excess, Load};
use persimmongate_core::upkeep::{Operation, Wave};
use test_case::test_case;

use crate::fixture::{Fixture, idle_load, load, wave};

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

fn largest(service: &str) -> Load {
    Load {
        service: service.into(),
        used: u64::MAX,
        long_running: u64::MAX,
        capacity: u64::MAX,
        backlog: u64::MAX,
        queue_delay: Duration::MAX,
        late_delay: Duration::MAX,
        excesses: vec![Excess {
            account: "account".into(),
            delay: Duration::MAX,
            admitted: u32::MAX,
            beyond_rate_delay: Duration::MAX,
        }],
        arrival_rate: u64::MAX,
        min_hosts: u32::MAX,
        short_running_workers: vec![("w-one-0".into(), u64::MAX), ("nobody".into(), 0)],
    }
}

// Guards against a leader of the fleet that ends because of one report of a load with too large
// numbers.
#[test_case(largest("one"); "all numbers")]
#[test_case(Load { backlog: u64::MAX, ..load("one", 1, 1, &[]) }; "backlog")]
#[test_case(Load { used: u64::MAX, ..load("one", 1, 1, &[]) }; "processor time")]
#[test_case(Load { arrival_rate: u64::MAX, ..load("one", 1, 1, &[]) }; "arrival rate")]
#[test_case(Load { long_running: u64::MAX, ..load("one", 1, 1, &[]) }; "long-running tasks")]
#[test_case(Load { min_hosts: u32::MAX, capacity: 0, ..load("one", 1, 1, &[]) }; "hosts")]
fn verify_odd_load_is_survived(odd: Load) {
    let mut fixture = Fixture::new(false);
    fixture.loads = vec![idle_load("one"), idle_load("two")];
    fixture.run(2);
    fixture.loads = vec![odd, idle_load("two")];
    fixture.refresh();
    fixture.run(1);
    fixture.loads = vec![idle_load("one"), idle_load("two")];
    fixture.request_wave(wave(2));
    fixture.run(60);
    assert_eq!(fixture.wave_reports.last(), Some(&(1, true)));
}

// Guards against hosts that are moved to a pool that the configuration doesn't have.
#[test]
fn verify_load_of_an_unknown_service_gets_no_hosts() {
    let mut fixture = Fixture::new(false);
    fixture.loads = vec![
        idle_load("one"),
        idle_load("two"),
        load("nowhere", 64_000, 64_000, &[]),
    ];
    fixture.run(5);
    assert_eq!(fixture.pool_size("nowhere"), 0);
    let target = Operation::Move("nowhere".into());
    let moves = fixture.commands.iter();
    assert!(
        moves
            .map(|command| &command.operation)
            .all(|operation| *operation != target)
    );
}
