//! The planner of hosts, against a host service that the test plays.

mod fixture;

use std::time::Duration;

use fixture::{CPU, Stage, load, resting, wave};
use persimmongate_core::ids;
use persimmongate_core::journal::{Drain, Load};
use persimmongate_core::upkeep::{Answer, Event, Operation, Wave};

#[test]
fn verify_wave_keeps_its_cap_and_completes() {
    let mut stage = Stage::new(false);
    stage.loads = vec![
        load("one", 3 * CPU / 2, 0, &[]),
        load("two", 3 * CPU / 2, 0, &[]),
    ];
    stage.ask(wave(2));
    stage.pass(30);
    assert_eq!(stage.most, 2);
    let maintained = stage
        .commands
        .iter()
        .filter(|command| command.operation == Operation::Maintain(1));
    assert_eq!(maintained.count(), 8);
    assert_eq!(stage.statuses, [(1, false), (1, true)]);
}

#[test]
fn verify_host_is_freed_before_it_is_told() {
    let mut stage = Stage::new(false);
    stage.loads = vec![load("one", CPU, 0, &[])];
    stage.ask(wave(1));
    for _ in 0..10 {
        stage.now += Duration::from_millis(200);
        stage.step(Event::TermConfirmed(stage.now));
        stage.step(Event::Hosts(stage.hosts.clone()));
    }
    assert!(!stage.drains.is_empty());
    assert_eq!(stage.commands, []);
}

#[test]
fn verify_new_leader_waits_until_an_older_one_can_have_no_order_on_its_way() {
    let mut stage = Stage::new(true);
    stage.ask(wave(1));
    stage.pass(4);
    assert_eq!(stage.commands, []);
    stage.pass(3);
    assert!(!stage.commands.is_empty());
}

#[test]
fn verify_leader_without_the_log_gives_no_orders() {
    let mut stage = Stage::new(false);
    stage.now += Duration::from_secs(5);
    stage.step(Event::Hosts(stage.hosts.clone()));
    stage.ask(wave(1));
    stage.step(Event::Tick);
    assert_eq!(stage.drains, []);
}

#[test]
fn verify_spare_hosts_go_where_work_waits() {
    let mut stage = Stage::new(false);
    stage.loads = vec![
        load("one", 4 * CPU, 4 * CPU, &[]),
        load("two", 3 * CPU / 2, 0, &[]),
    ];
    stage.pass(4);
    assert_eq!(stage.pool("one"), 6);
    assert_eq!(stage.pool("two"), 4);
}

#[test]
fn verify_idle_hosts_of_another_pool_follow_when_no_spare_one_is_left() {
    let mut stage = Stage::new(false);
    stage.hosts.retain(|host| host.service != *"spare");
    // A service that rests keeps what its lasting tasks need, and a reserve.
    let rests = resting("two");
    stage.loads = vec![load("one", 4 * CPU, 4 * CPU, &[]), rests];
    stage.pass(2);
    assert_eq!(stage.commands.len(), 2);
    stage.pass(2);
    assert_eq!(stage.pool("one"), 6);
}

/// Load pattern: the turn of one service ends as that of another begins.
#[test]
fn verify_idle_hosts_go_straight_to_a_service_whose_demand_grows() {
    let mut stage = Stage::new(false);
    stage.hosts.retain(|host| host.service != *"spare");
    let rests = resting("two");
    // Nothing waits yet, but the jobs that came lately need more than the pool has.
    let grows = Load {
        offered_load: 4 * CPU,
        ..load("one", 3 * CPU, 0, &[])
    };
    stage.loads = vec![grows, rests];
    stage.pass(4);
    let moves: Vec<&Operation> = stage
        .commands
        .iter()
        .map(|command| &command.operation)
        .collect();
    assert_eq!(moves, [&Operation::Move("one".into())]);
    assert_eq!(stage.pool("one"), 5);
}

#[test]
fn verify_idle_hosts_go_to_the_spare_pool_after_a_while() {
    let mut stage = Stage::new(false);
    let rests = resting("one");
    stage.loads = vec![rests];
    stage.pass(1);
    assert_eq!(stage.pool("one"), 4);
    stage.pass(8);
    // The reserve stays, so that a turn can begin.
    assert_eq!(stage.pool("one"), 3);
    assert_eq!(stage.pool("spare"), 3);
}

#[test]
fn verify_drain_that_nobody_asked_for_is_given_back() {
    let mut stage = Stage::new(false);
    let drain = Drain {
        host: "one-0".into(),
        service: "one".into(),
    };
    stage.step(Event::DrainRecorded("w-one-0".into(), Some(drain)));
    stage.pass(1);
    assert_eq!(stage.undrained, ["w-one-0"]);
}

#[test]
fn verify_drain_is_asked_for_again_when_an_older_request_undid_it() {
    let mut stage = Stage::new(false);
    stage.loads = vec![load("one", 3 * CPU, 0, &[]), load("two", 3 * CPU, 0, &[])];
    stage.ask(wave(1));
    stage.tell();
    let drained: Vec<ids::Worker> = stage.drains.drain(..).map(|(worker, _)| worker).collect();
    assert!(!drained.is_empty());
    // An older command to give the worker back takes effect late.
    stage.step(Event::DrainRecorded(drained[0].clone(), None));
    stage.step(Event::Tick);
    let again: Vec<ids::Worker> = stage.drains.drain(..).map(|(worker, _)| worker).collect();
    assert_eq!(again, [drained[0].clone()]);
}

#[test]
fn verify_worker_that_was_given_back_is_free_no_more() {
    let mut stage = Stage::new(false);
    stage.loads = vec![load("one", 3 * CPU, 0, &[]), load("two", 3 * CPU, 0, &[])];
    stage.ask(wave(1));
    stage.tell();
    let drained: Vec<ids::Worker> = stage.drains.drain(..).map(|(worker, _)| worker).collect();
    assert!(drained.len() > 1);
    for worker in &drained {
        stage.step(Event::Drained(worker.clone()));
    }
    // The cap lets one host go; an older command gives the worker of another one back.
    let waves = |stage: &Stage| {
        let commands = stage.commands.iter();
        let maintain = commands.filter(|command| command.operation == Operation::Maintain(1));
        maintain.cloned().collect::<Vec<_>>()
    };
    let [told] = &waves(&stage)[..] else {
        panic!("one host is told");
    };
    let names = |worker: &&ids::Worker| **worker != *format!("w-{}", told.host);
    let other = drained.iter().find(names).unwrap().clone();
    stage.step(Event::DrainRecorded(other.clone(), None));
    stage.step(Event::Answered(told.clone(), Answer::Refused));
    assert_eq!(waves(&stage).len(), 1);
    assert!(stage.drains.iter().any(|(worker, _)| *worker == other));
}

#[test]
fn verify_new_leader_takes_on_what_a_wave_has_freed() {
    let mut stage = Stage::new(true);
    let drain = Drain {
        host: "one-2".into(),
        service: "one".into(),
    };
    stage.loads = vec![load("one", 3 * CPU, 0, &[]), load("two", 3 * CPU, 0, &[])];
    stage.step(Event::DrainRecorded("w-one-2".into(), Some(drain)));
    stage.ask(wave(1));
    stage.pass(6);
    let mut waves = stage
        .commands
        .iter()
        .filter(|command| command.operation == Operation::Maintain(1));
    assert_eq!(waves.next().unwrap().host, *"one-2");
    assert!(!stage.undrained.contains(&"w-one-2".into()));
}

#[test]
fn verify_worker_of_a_host_that_went_is_not_given_back_while_it_may_be_listed() {
    let mut stage = Stage::new(false);
    stage.loads = vec![load("one", CPU, 0, &[])];
    stage.ask(Wave {
        hosts: vec!["one-0".into()],
        ..wave(1)
    });
    stage.pass(8);
    assert!(
        stage
            .commands
            .iter()
            .any(|command| command.operation == Operation::Maintain(1))
    );
    assert!(!stage.undrained.contains(&"w-one-0".into()));
    stage.pass(8);
    assert!(stage.undrained.contains(&"w-one-0".into()));
}

#[test]
fn verify_wave_takes_no_more_hosts_at_once_than_its_time_needs() {
    let mut stage = Stage::new(false);
    stage.loads = vec![load("one", 3 * CPU, 0, &[]), load("two", 3 * CPU, 0, &[])];
    stage.ask(Wave {
        time_limit: Duration::from_secs(100),
        ..wave(8)
    });
    stage.pass(100);
    assert_eq!(stage.statuses, [(1, false), (1, true)]);
    // Eight hosts of 5 s each need one at a time; one more waits for its tasks.
    assert_eq!(stage.most, 2);
}
