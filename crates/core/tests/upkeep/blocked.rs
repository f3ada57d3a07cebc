//! Hosts that can't be moved or maintained, beside others that can.

use std::time::Duration;

use persimmongate_core::ids;
use persimmongate_core::upkeep::{Operation, Wave};

use crate::fixture::{Fixture, HOST_CPU_MILLICORES, idle_load, load, wave};

/// Returns the hosts whose commands for an operation were not refused, sorted.
fn changed_hosts(fixture: &Fixture, operation: &Operation) -> Vec<ids::Host> {
    let commands = fixture.commands.iter();
    let changed = commands.filter(|command| {
        command.operation == *operation && !fixture.refused.contains(&command.host)
    });
    let mut hosts: Vec<ids::Host> = changed.map(|command| command.host.clone()).collect();
    hosts.sort();
    hosts
}

// Guards against a lender with the lowest demand that has hosts above its share, but none that may move: it
// was asked in every pass, and the other lenders never.
#[test]
fn verify_lender_without_movable_hosts_keeps_no_other_from_lending() {
    let mut fixture = Fixture::with_pools(&["one", "three", "two"], 8);
    fixture.hosts.retain(|host| host.service != *"spare");
    let workers: Vec<String> = (0..8).map(|n| format!("w-three-{n}")).collect();
    let workers: Vec<&str> = workers.iter().map(String::as_str).collect();
    let mut three = load("three", HOST_CPU_MILLICORES / 2, 0, &workers);
    three.min_hosts = 0;
    // All hosts of the lender with the lowest demand run long-running tasks.
    let mut two = load("two", 0, 0, &[]);
    two.min_hosts = 0;
    let demand = 17 * HOST_CPU_MILLICORES / 2;
    fixture.loads = vec![load("one", demand, 0, &[]), two, three];
    fixture.run(4);
    assert!(fixture.pool_size("one") > 8, "no host was lent");
    assert_eq!(fixture.pool_size("two"), 8);
}

// Guards against a wave whose first hosts can't be maintained: they were tried again in every pass, and the
// others never.
#[test]
fn verify_refused_hosts_of_a_wave_keep_no_other_host_from_maintenance() {
    let mut fixture = Fixture::new(false);
    let busy = 3 * HOST_CPU_MILLICORES / 2;
    fixture.loads = vec![load("one", busy, 0, &[]), load("two", busy, 0, &[])];
    fixture.refused = vec!["one-0".into(), "one-1".into()];
    fixture.request_wave(wave(1));
    fixture.run(30);
    let maintained = changed_hosts(&fixture, &Operation::Maintain(1));
    let others = ["one-2", "one-3", "two-0", "two-1", "two-2", "two-3"];
    assert_eq!(maintained, others);
    assert!(fixture.peak_down_count <= 1);
}

// Guards against the same with hosts whose workers can't be drained, as their tasks may not be stopped.
#[test]
fn verify_hosts_of_a_wave_that_are_never_drained_keep_no_other_host_from_maintenance() {
    let mut fixture = Fixture::new(false);
    let busy = 3 * HOST_CPU_MILLICORES / 2;
    fixture.loads = vec![load("one", busy, 0, &[]), load("two", busy, 0, &[])];
    fixture.stuck = vec!["w-one-0".into(), "w-one-1".into()];
    let time_limit = Duration::from_mins(2);
    fixture.request_wave(Wave {
        time_limit,
        ..wave(1)
    });
    fixture.run(time_limit.as_secs());
    let maintained = changed_hosts(&fixture, &Operation::Maintain(1));
    let others = ["one-2", "one-3", "two-0", "two-1", "two-2", "two-3"];
    assert_eq!(maintained, others);
}

// Guards against a spare host whose moves are refused: it was chosen in every pass, and no other spare host.
#[test]
fn verify_refused_spare_host_keeps_no_other_from_moving() {
    let mut fixture = Fixture::new(false);
    fixture.refused = vec!["spare-1".into()];
    fixture.loads = vec![
        load("one", 4 * HOST_CPU_MILLICORES, 0, &[]),
        idle_load("two"),
    ];
    fixture.run(4);
    let moved = changed_hosts(&fixture, &Operation::Move("one".into()));
    assert!(moved.contains(&"spare-0".into()), "{moved:?}");
}
