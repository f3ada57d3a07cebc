//! Failures of hosts and of members.

use persimmongate_core::fleet::Health;
use persimmongate_core::record::Body;
use persimmongate_core::state::{SPARE, Stage};

use crate::bench::Bench;

fn lost_count(bench: &Bench) -> usize {
    let bodies = bench.bodies.iter();
    bodies
        .filter(|body| matches!(body, Body::Lost { .. }))
        .count()
}

#[test]
fn verify_stale_list_does_not_lose_a_host_that_answers() {
    let mut bench = Bench::new(4);
    let host = bench.hosts_of("finder")[0].clone();
    for _ in 0..90 {
        bench.list(&[&*host]);
        bench.run(1);
    }
    assert_eq!(lost_count(&bench), 0);
    assert_eq!(bench.state.hosts[&host].stage, Stage::Serving);
}

#[test]
fn verify_dead_host_is_lost_replaced_and_returned_with_its_new_generation() {
    let mut bench = Bench::new(8);
    let host = bench.hosts_of("finder")[0].clone();
    bench.set_health(&host, Health::Dead);
    for _ in 0..10 {
        bench.list(&[&*host]);
        bench.run(1);
    }
    assert_eq!(bench.state.hosts[&host].stage, Stage::Lost);
    assert_eq!(bench.state.serving_hosts(&"finder".into()), 8);
    let returned = bench.platform.get_mut(&host).unwrap();
    (returned.generation, returned.health) = (2, Health::Serving);
    bench.run(3);
    let entry = &bench.state.hosts[&host];
    assert_eq!((&entry.stage, entry.generation), (&Stage::Serving, 2));
    // The host list still lacks the host that returned.
    for _ in 0..10 {
        bench.list(&[&*host]);
        bench.run(1);
    }
    assert_eq!(lost_count(&bench), 1);
    // The pool returns its surplus host to the spare pool only after the surplus delay.
    assert_eq!(bench.hosts_of("finder").len(), 9);
    bench.run(20);
    assert_eq!(bench.hosts_of("finder").len(), 8);
    assert_eq!(bench.hosts_of(SPARE).len(), 2);
}

#[test]
fn verify_failure_is_detected_without_the_host_list() {
    let mut bench = Bench::new(4);
    let host = bench.hosts_of("finder")[3].clone();
    bench.set_health(&host, Health::Dead);
    bench.run(8);
    assert_eq!(bench.state.hosts[&host].stage, Stage::Lost);
}

#[test]
fn verify_drain_without_a_decision_ends_with_a_new_generation() {
    let mut bench = Bench::new(4);
    let host = bench.hosts_of("finder")[3].clone();
    // A late call of a process that was frozen drains the host after the drain was cancelled.
    bench.set_health(&host, Health::Drained);
    bench.run(15);
    let entry = &bench.state.hosts[&host];
    assert_eq!((&entry.stage, entry.generation), (&Stage::Serving, 2));
    assert_eq!(bench.reboots, [(host, Health::Drained)]);
}

#[test]
fn verify_outage_of_the_log_expires_no_member() {
    let mut bench = Bench::new(4);
    bench.is_renewing = false;
    bench.run(60);
    bench.is_renewing = true;
    bench.run(20);
    let expired = |body: &Body| matches!(body, Body::Expire { .. });
    assert!(!bench.bodies.iter().any(expired));
}

#[test]
fn verify_holder_that_stops_renewing_is_replaced() {
    let mut bench = Bench::new(4);
    bench.freeze(0, true);
    bench.run(12);
    assert_eq!(bench.holder(), "b");
    let mut holders = bench
        .state
        .pools
        .values()
        .map(|pool| pool.holder.as_deref());
    assert!(holders.all(|holder| holder == Some("b")));
}

#[test]
fn verify_holder_that_was_frozen_changes_nothing() {
    let mut bench = Bench::new(4);
    let first_holder = bench.holder_index();
    bench.freeze(0, true);
    bench.run(12);
    bench.wave(4, "w");
    bench.in_flight = Some(1);
    bench.run(3);
    let before = bench.state.hosts.clone();
    bench.freeze(0, false);
    bench.run(1);
    assert_eq!(bench.state.hosts, before);
    assert_eq!(bench.holder(), "b");
    assert!(first_holder <= 1);
}
