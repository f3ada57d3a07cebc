//! Queues with configured times that are out of range.

use std::sync::Arc;
use std::time::Duration;

use persimmongate_core::queue::{Config, Policy, Queue, Service};
use persimmongate_core::sched::Event;
use test_case::test_case;

use super::assert_neighbor_completes;
use crate::world::{SERVICE, World, step};

fn config(change: impl FnOnce(&mut Queue)) -> Config {
    let mut queue = Queue {
        name: "queue".into(),
        hostname: "host".into(),
        path_prefix: "/queue/".into(),
        service: SERVICE.into(),
        priority: 0,
        max_attempts: 2,
        stretch: 2.0,
        allowance: Duration::from_secs(1),
        call_timeout: Duration::from_secs(3),
        policy_service: None,
        is_open: false,
    };
    change(&mut queue);
    let service = Service {
        name: SERVICE.into(),
        rejects_overload: false,
        is_spare: false,
    };
    Config::new(2, vec![queue], vec![service])
}

// Guards against a leader that ends on each job of a queue whose configured times are out of range.
#[test_case(|queue| queue.stretch = f64::NAN; "stretch is not a number")]
#[test_case(|queue| queue.stretch = -1.0; "negative stretch")]
#[test_case(|queue| queue.stretch = f64::INFINITY; "infinite stretch")]
#[test_case(|queue| queue.stretch = f64::MAX; "largest stretch")]
#[test_case(|queue| queue.allowance = Duration::MAX; "longest allowance")]
#[test_case(|queue| (queue.priority, queue.max_attempts) = (u32::MAX, 0); "priority and attempts")]
fn verify_odd_queue_still_runs_its_jobs(change: fn(&mut Queue)) {
    let mut world = World::new(2, 1);
    world.deliver(0, Event::Config(Arc::new(config(change))));
    assert_neighbor_completes(&mut world);
}

// Guards against a leader that ends on a queue whose policy service has times out of range.
#[test_case(Duration::MAX, Duration::ZERO, Duration::from_secs(3); "longest answer")]
#[test_case(Duration::ZERO, Duration::MAX, Duration::from_secs(3); "longest answer for each worker")]
#[test_case(Duration::MAX, Duration::MAX, Duration::MAX; "longest times")]
fn verify_odd_policy_still_runs_its_jobs(base: Duration, each: Duration, validity: Duration) {
    let mut world = World::new(2, 1);
    world.permitted_workers = Some(vec!["w0".into(), "w1".into()]);
    let policy = Policy {
        base_latency: base,
        latency_per_worker: each,
        validity,
    };
    let config = config(|queue| queue.policy_service = Some(policy));
    world.deliver(0, Event::Config(Arc::new(config)));
    let answer = Event::Advised {
        job: "none".into(),
        occurrence: 0,
        step: 0,
        sent_at: world.now,
        answer: Some((Vec::new(), validity)),
    };
    world.deliver(0, answer);
    world.submit("odd", vec![step(2, 300, &[])]);
    let answer = Event::Advised {
        job: "odd".into(),
        occurrence: 0,
        step: 0,
        sent_at: world.now,
        answer: Some((Vec::new(), validity)),
    };
    world.run(Duration::from_secs(1));
    world.deliver(0, answer);
    world.run(Duration::from_secs(1));
}
