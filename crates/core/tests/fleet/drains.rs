//! Drains and restarts of hosts for maintenance.

use std::collections::VecDeque;

use persimmongate_core::fleet::{Action, Call, Event, Health, Status};
use persimmongate_core::record::{Body, Command, Phase};
use persimmongate_core::state::Stage;

use crate::fixture::Fixture;

#[test]
fn verify_host_stops_only_when_every_entry_host_reports_no_requests() {
    let mut fixture = Fixture::new(4);
    fixture.in_flight = Some(1);
    fixture.start_wave(4, "w");
    fixture.run(20);
    let (host, _) = fixture.draining().unwrap();
    assert_eq!(fixture.platform[&host].health, Health::Drained);
    assert!(fixture.reboots.is_empty());
    fixture.in_flight = Some(0);
    fixture.run(2);
    assert_eq!(fixture.reboots[0], (host.clone(), Health::Drained));
    assert_eq!(fixture.state.hosts[&host].generation, 2);
}

#[test]
fn verify_silent_entry_host_is_fenced_by_the_drain() {
    let mut fixture = Fixture::new(4);
    fixture.in_flight = None;
    fixture.start_wave(4, "w");
    fixture.run(4);
    assert!(fixture.reboots.is_empty());
    fixture.run(3);
    assert_eq!(fixture.reboots.len(), 1);
    assert_eq!(fixture.reboots[0].1, Health::Drained);
}

#[test]
fn verify_late_reboot_of_an_expired_holder_is_rejected() {
    let mut fixture = Fixture::new(4);
    fixture.start_wave(4, "w");
    fixture.holds_calls = true;
    // Each call is carried out by the test, except the reboot, which stays in flight.
    let reboot = loop {
        fixture.run(1);
        let held = std::mem::take(&mut fixture.held_calls);
        let reboot = held.iter().find_map(|(_, action)| match action {
            Action::Call {
                host,
                generation,
                call: Call::Reboot,
                ..
            } => Some((host.clone(), *generation)),
            _ => None,
        });
        if let Some(reboot) = reboot {
            break reboot;
        }
        for (node, action) in held {
            if let Action::Call {
                token,
                host,
                generation,
                call,
            } = action
            {
                let status = fixture.call(&host, generation, call);
                fixture.send(node, Event::CallAnswered { token, status });
            }
        }
    };
    let holder_index = fixture.holder_index();
    fixture.freeze(holder_index, true);
    fixture.holds_calls = false;
    fixture.is_renewing = true;
    let expired = fixture.holder().to_owned();
    let incarnation = fixture.state.members[&*expired].incarnation;
    let instance = expired.clone().into();
    fixture.append(
        "e",
        Body::Expire {
            instance,
            incarnation,
        },
    );
    fixture.run(5);
    assert_ne!(fixture.holder(), expired);
    let (host, generation) = reboot;
    assert_eq!(fixture.state.hosts[&host].generation, generation + 1);
    assert_eq!(fixture.state.hosts[&host].stage, Stage::Serving);
    assert_eq!(fixture.call(&host, generation, Call::Reboot), None);
    // The frozen holder continues with its stale view; its records and calls have no effect.
    fixture.freeze(holder_index, false);
    fixture.run(5);
    assert!(
        fixture
            .reboots
            .iter()
            .all(|(_, health)| *health == Health::Drained)
    );
}

#[test]
fn verify_abort_returns_draining_hosts_with_their_generation() {
    let mut fixture = Fixture::new(4);
    fixture.in_flight = Some(1);
    fixture.start_wave(4, "w");
    fixture.run(10);
    let (host, _) = fixture.draining().unwrap();
    fixture.send_command("w", Command::Abort);
    fixture.run(2);
    let entry = &fixture.state.hosts[&host];
    assert_eq!((&entry.stage, entry.generation), (&Stage::Serving, 1));
    assert_eq!(fixture.platform[&host].health, Health::Serving);
    assert!(fixture.reboots.is_empty());
}

#[test]
fn verify_drain_that_does_not_end_pauses_the_wave() {
    let mut fixture = Fixture::new(4);
    fixture.start_wave(4, "w");
    let hosts = fixture.hosts_of("finder");
    fixture.never_idle_hosts.extend(hosts);
    assert_eq!(fixture.run_until_wave_stops("w"), Phase::Paused);
    let reason = &fixture.state.waves["w"].reason;
    assert!(reason.contains("still ran work"), "{reason}");
    fixture.run(2);
    assert_eq!(fixture.draining(), None);
    assert_eq!(fixture.state.serving_hosts(&"finder".into()), 8);
    assert!(fixture.reboots.is_empty());
}

#[test]
fn verify_report_for_an_older_drain_is_ignored() {
    let mut fixture = Fixture::new(4);
    fixture.in_flight = None;
    fixture.start_wave(4, "w");
    fixture.run(2);
    let (host, entry) = fixture.draining().unwrap();
    let Stage::Draining { since, .. } = entry.stage else {
        unreachable!()
    };
    fixture.send_command("w", Command::Abort);
    fixture.run(2);
    fixture.start_wave(4, "second");
    for _ in 0..3 {
        fixture.run(1);
        for node in 0..2 {
            let old = Event::Report {
                instance: "e".into(),
                host: host.clone(),
                drain_offset: since,
                in_flight: 0,
            };
            fixture.send(node, old);
        }
    }
    assert_eq!(fixture.draining().unwrap().0, host);
    assert_eq!(fixture.platform[&host].health, Health::Serving);
}

#[test]
fn verify_answer_to_an_earlier_call_is_ignored() {
    let mut fixture = Fixture::new(4);
    fixture.start_wave(4, "w");
    fixture.holds_calls = true;
    // A call without an answer is abandoned after the call timeout, and the next one is made.
    fixture.run(25);
    let (host, _) = fixture.draining().unwrap();
    let held = std::mem::take(&mut fixture.held_calls);
    let drained = Some(Status {
        generation: 1,
        health: Health::Drained,
    });
    // All calls but the last were abandoned, so an answer to one of them may be of any age.
    let tokens = held.iter().filter_map(|(node, action)| match action {
        Action::Call {
            token, host: of, ..
        } if *of == host => Some((*node, *token)),
        _ => None,
    });
    let tokens: Vec<(usize, u64)> = tokens.collect();
    assert!(tokens.len() > 1);
    for (node, token) in &tokens[..tokens.len() - 1] {
        let (token, status) = (*token, drained);
        fixture.send(*node, Event::CallAnswered { token, status });
    }
    fixture.run(1);
    assert!(matches!(
        fixture.state.hosts[&host].stage,
        Stage::Draining { .. }
    ));
}

#[test]
fn verify_drain_completes_with_slow_answers_of_the_platform() {
    const ANSWER_SECONDS: usize = 2;
    const RUN_SECONDS: usize = 90;
    let mut fixture = Fixture::new(4);
    fixture.start_wave(4, "w");
    fixture.holds_calls = true;
    let mut in_flight = VecDeque::new();
    for _ in 0..RUN_SECONDS {
        fixture.run(1);
        in_flight.push_back(std::mem::take(&mut fixture.held_calls));
        if in_flight.len() <= ANSWER_SECONDS {
            continue;
        }
        for (node, action) in in_flight.pop_front().unwrap() {
            let Action::Call {
                token,
                host,
                generation,
                call,
            } = action
            else {
                panic!("expected a call, found an append");
            };
            let status = fixture.call(&host, generation, call);
            fixture.send(node, Event::CallAnswered { token, status });
        }
    }
    let maintained = fixture
        .state
        .hosts
        .values()
        .filter(|h| h.maintained_offset > 0);
    assert!(maintained.count() > 0);
}
