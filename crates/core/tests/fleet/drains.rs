//! Drains and restarts of hosts for maintenance.

use std::collections::VecDeque;

use persimmongate_core::fleet::{Action, Call, Event, Health, Status};
use persimmongate_core::record::{Body, Command, Phase};
use persimmongate_core::state::Stage;

use crate::bench::Bench;

#[test]
fn verify_host_stops_only_when_every_entry_host_reports_no_requests() {
    let mut bench = Bench::new(4);
    bench.in_flight = Some(1);
    bench.wave(4, "w");
    bench.run(20);
    let (host, _) = bench.draining().unwrap();
    assert_eq!(bench.platform[&host].health, Health::Drained);
    assert!(bench.reboots.is_empty());
    bench.in_flight = Some(0);
    bench.run(2);
    assert_eq!(bench.reboots[0], (host.clone(), Health::Drained));
    assert_eq!(bench.state.hosts[&host].generation, 2);
}

#[test]
fn verify_silent_entry_host_is_fenced_by_the_drain() {
    let mut bench = Bench::new(4);
    bench.in_flight = None;
    bench.wave(4, "w");
    bench.run(4);
    assert!(bench.reboots.is_empty());
    bench.run(3);
    assert_eq!(bench.reboots.len(), 1);
    assert_eq!(bench.reboots[0].1, Health::Drained);
}

#[test]
fn verify_late_reboot_of_an_expired_holder_is_rejected() {
    let mut bench = Bench::new(4);
    bench.wave(4, "w");
    bench.holds_calls = true;
    // Each call is carried out by the test, except the reboot, which stays in flight.
    let reboot = loop {
        bench.run(1);
        let held = std::mem::take(&mut bench.held_calls);
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
                let status = bench.call(&host, generation, call);
                bench.send(node, Event::CallAnswered { token, status });
            }
        }
    };
    let holder_index = bench.holder_index();
    bench.freeze(holder_index, true);
    bench.holds_calls = false;
    bench.is_renewing = true;
    let expired = bench.holder().to_owned();
    let incarnation = bench.state.members[&*expired].incarnation;
    let instance = expired.clone().into();
    bench.append(
        "e",
        Body::Expire {
            instance,
            incarnation,
        },
    );
    bench.run(5);
    assert_ne!(bench.holder(), expired);
    let (host, generation) = reboot;
    assert_eq!(bench.state.hosts[&host].generation, generation + 1);
    assert_eq!(bench.state.hosts[&host].stage, Stage::Serving);
    assert_eq!(bench.call(&host, generation, Call::Reboot), None);
    // The frozen holder continues with its stale view; its records and calls have no effect.
    bench.freeze(holder_index, false);
    bench.run(5);
    assert!(
        bench
            .reboots
            .iter()
            .all(|(_, health)| *health == Health::Drained)
    );
}

#[test]
fn verify_abort_returns_draining_hosts_with_their_generation() {
    let mut bench = Bench::new(4);
    bench.in_flight = Some(1);
    bench.wave(4, "w");
    bench.run(10);
    let (host, _) = bench.draining().unwrap();
    bench.command("w", Command::Abort);
    bench.run(2);
    let entry = &bench.state.hosts[&host];
    assert_eq!((&entry.stage, entry.generation), (&Stage::Serving, 1));
    assert_eq!(bench.platform[&host].health, Health::Serving);
    assert!(bench.reboots.is_empty());
}

#[test]
fn verify_drain_that_does_not_end_pauses_the_wave() {
    let mut bench = Bench::new(4);
    bench.wave(4, "w");
    let hosts = bench.hosts_of("finder");
    bench.busy.extend(hosts);
    assert_eq!(bench.finish("w"), Phase::Paused);
    let reason = &bench.state.waves["w"].reason;
    assert!(reason.contains("still ran work"), "{reason}");
    bench.run(2);
    assert_eq!(bench.draining(), None);
    assert_eq!(bench.state.serving_hosts(&"finder".into()), 8);
    assert!(bench.reboots.is_empty());
}

#[test]
fn verify_report_for_an_older_drain_is_ignored() {
    let mut bench = Bench::new(4);
    bench.in_flight = None;
    bench.wave(4, "w");
    bench.run(2);
    let (host, entry) = bench.draining().unwrap();
    let Stage::Draining { since, .. } = entry.stage else {
        unreachable!()
    };
    bench.command("w", Command::Abort);
    bench.run(2);
    bench.wave(4, "second");
    for _ in 0..3 {
        bench.run(1);
        for node in 0..2 {
            let old = Event::Report {
                instance: "e".into(),
                host: host.clone(),
                drain_offset: since,
                in_flight: 0,
            };
            bench.send(node, old);
        }
    }
    assert_eq!(bench.draining().unwrap().0, host);
    assert_eq!(bench.platform[&host].health, Health::Serving);
}

#[test]
fn verify_answer_to_an_earlier_call_is_ignored() {
    let mut bench = Bench::new(4);
    bench.wave(4, "w");
    bench.holds_calls = true;
    // A call without an answer is abandoned after the call timeout, and the next one is made.
    bench.run(25);
    let (host, _) = bench.draining().unwrap();
    let held = std::mem::take(&mut bench.held_calls);
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
        bench.send(*node, Event::CallAnswered { token, status });
    }
    bench.run(1);
    assert!(matches!(
        bench.state.hosts[&host].stage,
        Stage::Draining { .. }
    ));
}

#[test]
fn verify_drain_completes_with_slow_answers_of_the_platform() {
    const ANSWER_SECONDS: usize = 2;
    const RUN_SECONDS: usize = 90;
    let mut bench = Bench::new(4);
    bench.wave(4, "w");
    bench.holds_calls = true;
    let mut in_flight = VecDeque::new();
    for _ in 0..RUN_SECONDS {
        bench.run(1);
        in_flight.push_back(std::mem::take(&mut bench.held_calls));
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
            let status = bench.call(&host, generation, call);
            bench.send(node, Event::CallAnswered { token, status });
        }
    }
    let maintained = bench
        .state
        .hosts
        .values()
        .filter(|h| h.maintained_offset > 0);
    assert!(maintained.count() > 0);
}
