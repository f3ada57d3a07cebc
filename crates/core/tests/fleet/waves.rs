//! Maintenance waves, pinned hosts and the size of the spare pool.

use persimmongate_core::fleet::buffer;
use persimmongate_core::record::{Body, Command, Phase};
use persimmongate_core::sheet::Intent;
use persimmongate_core::state::{SPARE, Stage};
use test_case::test_case;

use crate::bench::Bench;

fn out_of_service(bench: &Bench) -> usize {
    let hosts = bench.state.hosts.values();
    hosts.filter(|host| host.wave().is_some()).count()
}

#[test_case(4; "with headroom")]
#[test_case(6; "with the headroom of a spare host")]
fn verify_wave_maintains_every_host_within_the_budget(budget: u32) {
    let mut bench = Bench::new(budget);
    let hosts = bench.hosts_of("finder");
    bench.wave(budget, "w");
    let mut phase = Phase::Running;
    while phase == Phase::Running {
        bench.run(1);
        assert!(out_of_service(&bench) <= 2);
        assert!(bench.state.serving_hosts(&"finder".into()) > budget);
        phase = bench.state.waves["w"].phase;
    }
    assert_eq!(phase, Phase::Done);
    let maintained = |host| bench.state.hosts[host].maintained_offset > 0;
    assert!(hosts.iter().all(maintained));
}

#[test]
fn verify_first_host_is_maintained_alone() {
    let mut bench = Bench::new(4);
    bench.in_flight = Some(1);
    bench.wave(4, "w");
    bench.run(10);
    assert!(bench.draining().is_some());
}

#[test]
fn verify_first_failure_pauses_the_wave_and_suggests_the_next_step() {
    let mut bench = Bench::new(4);
    let hosts = bench.hosts_of("finder");
    bench.broken.extend(hosts);
    bench.wave(4, "w");
    assert_eq!(bench.finish("w"), Phase::Paused);
    let wave = &bench.state.waves["w"];
    assert_eq!(wave.failed_count, 1);
    assert!(wave.reason.contains("resume or abort"), "{}", wave.reason);
    assert_eq!(
        bench.reboots.len(),
        bench
            .reboots
            .iter()
            .filter(|r| r.0 == bench.reboots[0].0)
            .count()
    );
    // Resuming the wave resets its count of failures.
    bench.broken.clear();
    bench.command("w", Command::Resume);
    assert_eq!(bench.finish("w"), Phase::Done);
}

#[test]
fn verify_pause_starts_no_further_drain() {
    let mut bench = Bench::new(4);
    bench.wave(4, "w");
    bench.run(1);
    bench.command("w", Command::Pause);
    bench.run(5);
    assert_eq!(out_of_service(&bench), 0);
    let done = bench
        .state
        .hosts
        .values()
        .filter(|host| host.maintained_offset > 0)
        .count();
    bench.run(20);
    let later = bench
        .state
        .hosts
        .values()
        .filter(|host| host.maintained_offset > 0)
        .count();
    assert_eq!(done, later);
    bench.command("w", Command::Resume);
    assert_eq!(bench.finish("w"), Phase::Done);
}

#[test]
fn verify_blocked_wave_reports_its_reason() {
    let mut bench = Bench::new(8);
    for host in bench.hosts_of(SPARE) {
        bench.set_health(&host, persimmongate_core::fleet::Health::Dead);
    }
    bench.run(15);
    bench.wave(8, "w");
    bench.run(10);
    let wave = &bench.state.waves["w"];
    assert_eq!(wave.phase, Phase::Running);
    assert!(
        wave.reason.starts_with("waits: finder serves with 8"),
        "{}",
        wave.reason
    );
    assert_eq!(out_of_service(&bench), 0);
    let is_progress = |body: &&Body| matches!(body, Body::Progress { .. });
    assert_eq!(bench.bodies.iter().filter(is_progress).count(), 1);
}

#[test]
fn verify_second_wave_in_the_middle_counts_against_the_same_batch() {
    let mut bench = Bench::new(4);
    bench.wave(4, "w");
    bench.run(3);
    let wave = |name: &'static str| Intent::Wave {
        name: name.into(),
        pool: "finder".into(),
        batch: 2,
    };
    bench.sheet(4, vec![wave("w"), wave("second")]);
    while bench.state.waves["second"].phase == Phase::Running {
        bench.run(1);
        assert!(out_of_service(&bench) <= 2);
    }
    let since = bench.state.waves["second"].sheet_offset;
    let finder = bench.hosts_of("finder");
    assert!(
        finder
            .iter()
            .all(|host| bench.state.hosts[host].maintained_offset >= since)
    );
}

#[test]
fn verify_pinned_host_moves_to_its_pool_and_stays() {
    let mut bench = Bench::new(4);
    let host = bench.hosts_of(SPARE)[0].clone();
    let pin = Intent::Move {
        host: host.clone(),
        pool: "finder".into(),
    };
    bench.sheet(4, vec![pin]);
    bench.run(30);
    let finder = bench.hosts_of("finder");
    assert!(finder.contains(&host));
    assert_eq!(finder.len(), 8);
}

#[test]
fn verify_buffer_is_shared_between_services() {
    let mut bench = Bench::new(7);
    bench.wave(7, "w");
    let mut view = persimmongate_core::fleet::View::default();
    for change in bench.state.changes() {
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
        bench
            .state
            .hosts
            .values()
            .all(|host| host.stage == Stage::Serving)
    );
}

#[test]
fn verify_wave_over_an_empty_pool_maintains_the_hosts_that_it_gets() {
    let mut bench = Bench::new(4);
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
    bench.sheet(4, vec![pool, wave]);
    assert_eq!(bench.finish("w"), Phase::Done);
    let hosts = bench.hosts_of("other");
    assert_eq!(hosts.len(), 2);
    let maintained = |host| bench.state.hosts[host].maintained_offset > 0;
    assert!(hosts.iter().all(maintained));
}
