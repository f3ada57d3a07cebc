//! Failures of hosts and of members.

use persimmongate_core::fleet::Health;
use persimmongate_core::record::Body;
use persimmongate_core::state::{SPARE, Stage};

use crate::fixture::Fixture;

fn lost_count(fixture: &Fixture) -> usize {
    let bodies = fixture.bodies.iter();
    bodies
        .filter(|body| matches!(body, Body::Lost { .. }))
        .count()
}

#[test]
fn verify_stale_list_does_not_lose_a_host_that_answers() {
    let mut fixture = Fixture::new(4);
    let host = fixture.hosts_of("finder")[0].clone();
    for _ in 0..90 {
        fixture.deliver_host_list_without(&[&*host]);
        fixture.run(1);
    }
    assert_eq!(lost_count(&fixture), 0);
    assert_eq!(fixture.state.hosts[&host].stage, Stage::Serving);
}

#[test]
fn verify_dead_host_is_lost_replaced_and_returned_with_its_new_generation() {
    let mut fixture = Fixture::new(8);
    let host = fixture.hosts_of("finder")[0].clone();
    fixture.set_health(&host, Health::Dead);
    for _ in 0..10 {
        fixture.deliver_host_list_without(&[&*host]);
        fixture.run(1);
    }
    assert_eq!(fixture.state.hosts[&host].stage, Stage::Lost);
    assert_eq!(fixture.state.serving_hosts(&"finder".into()), 8);
    let returned = fixture.platform.get_mut(&host).unwrap();
    (returned.generation, returned.health) = (2, Health::Serving);
    fixture.run(3);
    let entry = &fixture.state.hosts[&host];
    assert_eq!((&entry.stage, entry.generation), (&Stage::Serving, 2));
    // The host list still lacks the host that returned.
    for _ in 0..10 {
        fixture.deliver_host_list_without(&[&*host]);
        fixture.run(1);
    }
    assert_eq!(lost_count(&fixture), 1);
    // The pool returns its surplus host to the spare pool only after the surplus delay.
    assert_eq!(fixture.hosts_of("finder").len(), 9);
    fixture.run(20);
    assert_eq!(fixture.hosts_of("finder").len(), 8);
    assert_eq!(fixture.hosts_of(SPARE).len(), 2);
}

#[test]
fn verify_failure_is_detected_without_the_host_list() {
    let mut fixture = Fixture::new(4);
    let host = fixture.hosts_of("finder")[3].clone();
    fixture.set_health(&host, Health::Dead);
    fixture.run(8);
    assert_eq!(fixture.state.hosts[&host].stage, Stage::Lost);
}

#[test]
fn verify_host_drained_by_a_stale_call_is_rebooted() {
    let mut fixture = Fixture::new(4);
    let host = fixture.hosts_of("finder")[3].clone();
    // A late call of a process that was frozen drains the host after the drain was cancelled.
    fixture.set_health(&host, Health::Drained);
    fixture.run(15);
    let entry = &fixture.state.hosts[&host];
    assert_eq!((&entry.stage, entry.generation), (&Stage::Serving, 2));
    assert_eq!(fixture.reboots, [(host, Health::Drained)]);
}

#[test]
fn verify_outage_of_the_log_expires_no_member() {
    let mut fixture = Fixture::new(4);
    fixture.is_renewing = false;
    fixture.run(60);
    fixture.is_renewing = true;
    fixture.run(20);
    let expired = |body: &Body| matches!(body, Body::Expire { .. });
    assert!(!fixture.bodies.iter().any(expired));
}

#[test]
fn verify_holder_that_stops_renewing_is_replaced() {
    let mut fixture = Fixture::new(4);
    fixture.freeze(0, true);
    fixture.run(12);
    assert_eq!(fixture.holder(), "b");
    let mut holders = fixture
        .state
        .pools
        .values()
        .map(|pool| pool.holder.as_deref());
    assert!(holders.all(|holder| holder == Some("b")));
}

#[test]
fn verify_node_that_was_frozen_changes_nothing_when_it_resumes() {
    let mut fixture = Fixture::new(4);
    let first_holder_index = fixture.holder_index();
    fixture.freeze(0, true);
    fixture.run(12);
    fixture.start_wave(4, "w");
    fixture.in_flight = Some(1);
    fixture.run(3);
    let before = fixture.state.hosts.clone();
    fixture.freeze(0, false);
    fixture.run(1);
    assert_eq!(fixture.state.hosts, before);
    assert_eq!(fixture.holder(), "b");
    assert!(first_holder_index <= 1);
}
