//! The planner of maintenance and moves, with a simulated host service.

mod blocked;
mod fixture;
mod odd;
mod turns;

use std::time::Duration;

use fixture::{Fixture, HOST_CPU_MILLICORES, idle_load, load, wave};
use persimmongate_core::ids;
use persimmongate_core::journal::{Drain, Load};
use persimmongate_core::upkeep::{Answer, Command, Event, Operation, Wave};

#[test]
fn verify_wave_respects_its_limit_of_hosts_down_and_completes() {
    let mut fixture = Fixture::new(false);
    fixture.loads = vec![
        load("one", 3 * HOST_CPU_MILLICORES / 2, 0, &[]),
        load("two", 3 * HOST_CPU_MILLICORES / 2, 0, &[]),
    ];
    fixture.request_wave(wave(2));
    fixture.run(30);
    assert_eq!(fixture.peak_down_count, 2);
    let maintained = fixture
        .commands
        .iter()
        .filter(|command| command.operation == Operation::Maintain(1));
    assert_eq!(maintained.count(), 8);
    assert_eq!(fixture.wave_reports, [(1, false), (1, true)]);
}

#[test]
fn verify_host_gets_no_command_before_its_worker_is_drained() {
    let mut fixture = Fixture::new(false);
    fixture.loads = vec![load("one", HOST_CPU_MILLICORES, 0, &[])];
    fixture.request_wave(wave(1));
    for _ in 0..10 {
        fixture.now += Duration::from_millis(200);
        fixture.step(Event::TermConfirmed(fixture.now));
        fixture.step(Event::Hosts(fixture.listing()));
    }
    assert!(!fixture.drains.is_empty());
    assert_eq!(fixture.commands, []);
}

#[test]
fn verify_new_leader_waits_for_commands_of_its_predecessor() {
    let mut fixture = Fixture::new(true);
    fixture.request_wave(wave(1));
    fixture.run(4);
    assert_eq!(fixture.commands, []);
    fixture.run(3);
    assert!(!fixture.commands.is_empty());
}

#[test]
fn verify_leader_without_the_log_plans_nothing() {
    let mut fixture = Fixture::new(false);
    fixture.now += Duration::from_secs(5);
    fixture.step(Event::Hosts(fixture.listing()));
    fixture.request_wave(wave(1));
    fixture.step(Event::Tick);
    assert_eq!(fixture.drains, []);
}

#[test]
fn verify_spare_hosts_move_to_the_service_with_a_backlog() {
    let mut fixture = Fixture::new(false);
    fixture.loads = vec![
        load("one", 4 * HOST_CPU_MILLICORES, 4 * HOST_CPU_MILLICORES, &[]),
        load("two", 3 * HOST_CPU_MILLICORES / 2, 0, &[]),
    ];
    fixture.run(4);
    assert_eq!(fixture.pool_size("one"), 6);
    assert_eq!(fixture.pool_size("two"), 4);
}

#[test]
fn verify_idle_hosts_are_borrowed_when_the_spare_pool_is_empty() {
    let mut fixture = Fixture::new(false);
    fixture.hosts.retain(|host| host.service != *"spare");
    // An idle service keeps the hosts that its long-running tasks need, and a reserve.
    let idle = idle_load("two");
    fixture.loads = vec![
        load("one", 4 * HOST_CPU_MILLICORES, 4 * HOST_CPU_MILLICORES, &[]),
        idle,
    ];
    fixture.run(2);
    assert_eq!(fixture.commands.len(), 2);
    fixture.run(2);
    assert_eq!(fixture.pool_size("one"), 6);
}

/// Load pattern: the peak of one service ends as that of another begins.
#[test]
fn verify_idle_hosts_go_straight_to_a_service_whose_demand_grows() {
    let mut fixture = Fixture::new(false);
    fixture.hosts.retain(|host| host.service != *"spare");
    let idle = idle_load("two");
    // No work waits yet, but the jobs that arrived recently need more hosts than the pool has.
    let growing = Load {
        arrival_rate: 4 * HOST_CPU_MILLICORES,
        ..load("one", 3 * HOST_CPU_MILLICORES, 0, &[])
    };
    fixture.loads = vec![growing, idle];
    fixture.run(4);
    let moves: Vec<&Operation> = fixture
        .commands
        .iter()
        .map(|command| &command.operation)
        .collect();
    assert_eq!(moves, [&Operation::Move("one".into())]);
    assert_eq!(fixture.pool_size("one"), 5);
}

#[test]
fn verify_idle_hosts_move_to_the_spare_pool_after_the_surplus_delay() {
    let mut fixture = Fixture::new(false);
    let idle = idle_load("one");
    fixture.loads = vec![idle];
    fixture.run(1);
    assert_eq!(fixture.pool_size("one"), 4);
    fixture.run(8);
    // The reserve for the start of a peak stays.
    assert_eq!(fixture.pool_size("one"), 3);
    assert_eq!(fixture.pool_size("spare"), 3);
}

#[test]
fn verify_drain_without_a_transition_is_withdrawn() {
    let mut fixture = Fixture::new(false);
    let drain = Drain {
        host: "one-0".into(),
        service: "one".into(),
    };
    fixture.step(Event::DrainRecorded("w-one-0".into(), Some(drain)));
    fixture.run(1);
    assert_eq!(fixture.undrained, ["w-one-0"]);
}

#[test]
fn verify_drain_is_requested_again_after_a_late_withdrawal() {
    let mut fixture = Fixture::new(false);
    fixture.loads = vec![
        load("one", 3 * HOST_CPU_MILLICORES, 0, &[]),
        load("two", 3 * HOST_CPU_MILLICORES, 0, &[]),
    ];
    fixture.request_wave(wave(1));
    fixture.refresh();
    let drained: Vec<ids::Worker> = fixture.drains.drain(..).map(|(worker, _)| worker).collect();
    assert!(!drained.is_empty());
    // An earlier withdrawal of the drain takes effect late.
    fixture.step(Event::DrainRecorded(drained[0].clone(), None));
    fixture.step(Event::Tick);
    let repeated: Vec<ids::Worker> = fixture.drains.drain(..).map(|(worker, _)| worker).collect();
    assert_eq!(repeated, [drained[0].clone()]);
}

#[test]
fn verify_worker_whose_drain_was_withdrawn_gets_no_command() {
    let mut fixture = Fixture::new(false);
    fixture.loads = vec![
        load("one", 3 * HOST_CPU_MILLICORES, 0, &[]),
        load("two", 3 * HOST_CPU_MILLICORES, 0, &[]),
    ];
    fixture.request_wave(wave(1));
    fixture.refresh();
    let drained: Vec<ids::Worker> = fixture.drains.drain(..).map(|(worker, _)| worker).collect();
    assert!(drained.len() > 1);
    for worker in &drained {
        fixture.step(Event::Drained(worker.clone()));
    }
    // The wave permits one host at a time. The drain of another one is withdrawn late.
    let maintenance_commands = |fixture: &Fixture| {
        let commands = fixture.commands.iter();
        let maintain = commands.filter(|command| command.operation == Operation::Maintain(1));
        maintain.cloned().collect::<Vec<_>>()
    };
    let [sent] = &maintenance_commands(&fixture)[..] else {
        panic!("expected a command for one host");
    };
    let is_other = |worker: &&ids::Worker| **worker != *format!("w-{}", sent.host);
    let other = drained.iter().find(is_other).unwrap().clone();
    fixture.step(Event::DrainRecorded(other.clone(), None));
    fixture.step(Event::Answered(sent.clone(), Answer::Refused));
    assert_eq!(maintenance_commands(&fixture).len(), 1);
    assert!(fixture.drains.iter().any(|(worker, _)| *worker == other));
}

// Hosts that had just been sent to a service were maintained first, as the host list still had them as spare.
#[test]
fn verify_host_on_its_way_to_a_service_is_not_maintained() {
    let mut fixture = Fixture::new(false);
    let before = fixture.listing();
    fixture.loads = vec![
        load("one", 4 * HOST_CPU_MILLICORES, 4 * HOST_CPU_MILLICORES, &[]),
        load("two", 3 * HOST_CPU_MILLICORES, 0, &[]),
    ];
    fixture.refresh();
    let moved: Vec<ids::Host> = fixture.commands.drain(..).map(|sent| sent.host).collect();
    assert_eq!(moved.len(), 2);
    for host in &moved {
        let command = Command {
            host: host.clone(),
            operation: Operation::Move("one".into()),
            holder: "node".into(),
            fencing_token: 7,
        };
        fixture.step(Event::Answered(command, Answer::Done));
    }
    fixture.step(Event::Hosts(before));
    fixture.request_wave(Wave {
        hosts: moved,
        ..wave(2)
    });
    assert_eq!(fixture.commands, []);
}

#[test]
fn verify_new_leader_adopts_drains_of_a_wave() {
    let mut fixture = Fixture::new(true);
    let drain = Drain {
        host: "one-2".into(),
        service: "one".into(),
    };
    fixture.loads = vec![
        load("one", 3 * HOST_CPU_MILLICORES, 0, &[]),
        load("two", 3 * HOST_CPU_MILLICORES, 0, &[]),
    ];
    fixture.step(Event::DrainRecorded("w-one-2".into(), Some(drain)));
    fixture.request_wave(wave(1));
    fixture.run(6);
    let mut maintenance_commands = fixture
        .commands
        .iter()
        .filter(|command| command.operation == Operation::Maintain(1));
    assert_eq!(maintenance_commands.next().unwrap().host, *"one-2");
    assert!(!fixture.undrained.contains(&"w-one-2".into()));
}

// Guards against a wave that exceeds its limit at a hand-over: the predecessor took hosts down just before it resigned,
// and the host list lags.
#[test]
fn verify_new_leader_takes_no_host_down_while_the_host_list_lags() {
    let mut fixture = Fixture::new(false);
    fixture.loads = vec![
        load("one", 3 * HOST_CPU_MILLICORES, 0, &[]),
        load("two", 3 * HOST_CPU_MILLICORES, 0, &[]),
    ];
    let drain = Drain {
        host: "one-2".into(),
        service: "one".into(),
    };
    fixture.succeed();
    fixture.step(Event::DrainRecorded("w-one-2".into(), Some(drain)));
    fixture.request_wave(wave(1));
    fixture.run_for(Duration::from_millis(1_200));
    let is_maintenance = |command: &&Command| command.operation == Operation::Maintain(1);
    assert_eq!(fixture.commands.iter().filter(is_maintenance).count(), 0);
    fixture.run(6);
    assert!(
        fixture
            .commands
            .iter()
            .any(|command| is_maintenance(&command))
    );
}

#[test]
fn verify_drain_is_kept_until_the_stale_worker_entry_expires() {
    let mut fixture = Fixture::new(false);
    fixture.loads = vec![load("one", HOST_CPU_MILLICORES, 0, &[])];
    fixture.request_wave(Wave {
        hosts: vec!["one-0".into()],
        ..wave(1)
    });
    fixture.run(8);
    assert!(
        fixture
            .commands
            .iter()
            .any(|command| command.operation == Operation::Maintain(1))
    );
    assert!(!fixture.undrained.contains(&"w-one-0".into()));
    fixture.run(8);
    assert!(fixture.undrained.contains(&"w-one-0".into()));
}

// Guards against a worker that stays drained, and gets no tasks, as the log never got the withdrawal of its drain.
#[test]
fn verify_withdrawal_of_a_drain_is_repeated_until_the_log_holds_it() {
    let mut fixture = Fixture::new(false);
    let drain = Drain {
        host: "one-0".into(),
        service: "one".into(),
    };
    fixture.step(Event::DrainRecorded("w-one-0".into(), Some(drain)));
    fixture.run(2);
    assert_eq!(fixture.undrained, ["w-one-0"]);
    // The append of a withdrawal is given up after 5 s.
    fixture.run(20);
    let count = fixture.undrained.len();
    assert!((2..=5).contains(&count), "{count} withdrawals in 20 s");
    fixture.step(Event::DrainRecorded("w-one-0".into(), None));
    fixture.run(20);
    assert_eq!(fixture.undrained.len(), count);
}

#[test]
fn verify_wave_takes_no_more_hosts_at_once_than_its_time_limit_requires() {
    let mut fixture = Fixture::new(false);
    fixture.loads = vec![
        load("one", 3 * HOST_CPU_MILLICORES, 0, &[]),
        load("two", 3 * HOST_CPU_MILLICORES, 0, &[]),
    ];
    fixture.request_wave(Wave {
        time_limit: Duration::from_secs(100),
        ..wave(8)
    });
    fixture.run(100);
    assert_eq!(fixture.wave_reports, [(1, false), (1, true)]);
    // The planner estimates 5 s for each of the eight hosts and plans to end within half of the time
    // limit, so one host at a time suffices, and it drains one more meanwhile. Here a drain ends at
    // once, so that both hosts are under maintenance.
    assert_eq!(fixture.peak_down_count, 2);
}
