//! Maintenance waves, pinned hosts and the size of the spare pool.

use persimmongate_core::fleet::buffer;
use persimmongate_core::record::{Body, Command, Phase};
use persimmongate_core::sheet::Intent;
use persimmongate_core::state::{SPARE, Stage};
use test_case::test_case;

use crate::fixture::Fixture;

fn out_of_service(fixture: &Fixture) -> usize {
    let hosts = fixture.state.hosts.values();
    hosts.filter(|host| host.wave().is_some()).count()
}

#[test_case(4; "with headroom")]
#[test_case(6; "with the headroom of a spare host")]
fn verify_wave_maintains_every_host_within_the_budget(budget: u32) {
    let mut fixture = Fixture::new(budget);
    let hosts = fixture.hosts_of("finder");
    fixture.start_wave(budget, "w");
    let mut phase = Phase::Running;
    while phase == Phase::Running {
        fixture.run(1);
        assert!(out_of_service(&fixture) <= 2);
        assert!(fixture.state.serving_hosts(&"finder".into()) > budget);
        phase = fixture.state.waves["w"].phase;
    }
    assert_eq!(phase, Phase::Done);
    let maintained = |host| fixture.state.hosts[host].maintained_offset > 0;
    assert!(hosts.iter().all(maintained));
}

#[test]
fn verify_first_host_is_maintained_alone() {
    let mut fixture = Fixture::new(4);
    fixture.in_flight = Some(1);
    fixture.start_wave(4, "w");
    fixture.run(10);
    assert!(fixture.draining().is_some());
}

#[test]
fn verify_first_failure_pauses_the_wave_and_suggests_the_next_step() {
    let mut fixture = Fixture::new(4);
    let hosts = fixture.hosts_of("finder");
    fixture.hosts_dead_after_reboot.extend(hosts);
    fixture.start_wave(4, "w");
    assert_eq!(fixture.run_until_wave_stops("w"), Phase::Paused);
    let wave = &fixture.state.waves["w"];
    assert_eq!(wave.failed_count, 1);
    assert!(wave.reason.contains("resume or abort"), "{}", wave.reason);
    assert_eq!(
        fixture.reboots.len(),
        fixture
            .reboots
            .iter()
            .filter(|r| r.0 == fixture.reboots[0].0)
            .count()
    );
    // Resuming the wave resets its count of failures.
    fixture.hosts_dead_after_reboot.clear();
    fixture.send_command("w", Command::Resume);
    assert_eq!(fixture.run_until_wave_stops("w"), Phase::Done);
}

#[test]
fn verify_pause_starts_no_further_drain() {
    let mut fixture = Fixture::new(4);
    fixture.start_wave(4, "w");
    fixture.run(1);
    fixture.send_command("w", Command::Pause);
    fixture.run(5);
    assert_eq!(out_of_service(&fixture), 0);
    let done = fixture
        .state
        .hosts
        .values()
        .filter(|host| host.maintained_offset > 0)
        .count();
    fixture.run(20);
    let later = fixture
        .state
        .hosts
        .values()
        .filter(|host| host.maintained_offset > 0)
        .count();
    assert_eq!(done, later);
    fixture.send_command("w", Command::Resume);
    assert_eq!(fixture.run_until_wave_stops("w"), Phase::Done);
}

#[test]
fn verify_blocked_wave_reports_its_reason() {
    let mut fixture = Fixture::new(8);
    for host in fixture.hosts_of(SPARE) {
        fixture.set_health(&host, persimmongate_core::fleet::Health::Dead);
    }
    fixture.run(15);
    fixture.start_wave(8, "w");
    fixture.run(10);
    let wave = &fixture.state.waves["w"];
    assert_eq!(wave.phase, Phase::Running);
    assert!(
        wave.reason.starts_with("waits: finder serves with 8"),
        "{}",
        wave.reason
    );
    assert_eq!(out_of_service(&fixture), 0);
    let is_progress = |body: &&Body| matches!(body, Body::Progress { .. });
    assert_eq!(fixture.bodies.iter().filter(is_progress).count(), 1);
}

#[test]
fn verify_overlapping_waves_share_one_batch_limit() {
    let mut fixture = Fixture::new(4);
    fixture.start_wave(4, "w");
    fixture.run(3);
    let wave = |name: &'static str| Intent::Wave {
        name: name.into(),
        pool: "finder".into(),
        batch: 2,
    };
    fixture.apply_sheet(4, vec![wave("w"), wave("second")]);
    while fixture.state.waves["second"].phase == Phase::Running {
        fixture.run(1);
        assert!(out_of_service(&fixture) <= 2);
    }
    let since = fixture.state.waves["second"].sheet_offset;
    let finder = fixture.hosts_of("finder");
    assert!(
        finder
            .iter()
            .all(|host| fixture.state.hosts[host].maintained_offset >= since)
    );
}

#[test]
fn verify_pinned_host_moves_to_its_pool_and_stays() {
    let mut fixture = Fixture::new(4);
    let host = fixture.hosts_of(SPARE)[0].clone();
    let pin = Intent::Move {
        host: host.clone(),
        pool: "finder".into(),
    };
    fixture.apply_sheet(4, vec![pin]);
    fixture.run(30);
    let finder = fixture.hosts_of("finder");
    assert!(finder.contains(&host));
    assert_eq!(finder.len(), 8);
}

#[test]
fn verify_required_spare_hosts_follow_budget_batch_and_rack_size() {
    let mut fixture = Fixture::new(7);
    fixture.start_wave(7, "w");
    let mut view = persimmongate_core::fleet::View::default();
    for change in fixture.state.changes() {
        view.apply(change);
    }
    let buffer = buffer(&view, 2);
    let need = &buffer.needs[0];
    assert_eq!(
        (
            need.budget,
            need.wave_batch,
            need.largest_rack,
            need.forecast_error
        ),
        (7, 2, 1, 1)
    );
    assert_eq!(
        (need.deficit(), buffer.shared_hosts, buffer.spare_hosts),
        (3, 3, 2)
    );
    assert!(
        fixture
            .state
            .hosts
            .values()
            .all(|host| host.stage == Stage::Serving)
    );
}

#[test]
fn verify_wave_over_an_empty_pool_maintains_the_hosts_that_it_gets() {
    let mut fixture = Fixture::new(4);
    let pool = Intent::Pool {
        name: "other".into(),
        service: None,
        hosts: 2,
    };
    let wave = Intent::Wave {
        name: "w".into(),
        pool: "other".into(),
        batch: 1,
    };
    fixture.apply_sheet(4, vec![pool, wave]);
    assert_eq!(fixture.run_until_wave_stops("w"), Phase::Done);
    let hosts = fixture.hosts_of("other");
    assert_eq!(hosts.len(), 2);
    let maintained = |host| fixture.state.hosts[host].maintained_offset > 0;
    assert!(hosts.iter().all(maintained));
}
