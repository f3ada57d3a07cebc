//! Workers, configuration and steps of the simulation.

use std::time::Duration;

use persimmongate_core::job::Step;
use persimmongate_core::queue::{Config, Policy, Queue, Service};
use persimmongate_core::sched::{Report, Resources};

use super::{ATTEMPTS, SERVICE};

/// Queue whose priority is below that of the other one.
pub(crate) const LOW_PRIORITY_QUEUE: &str = "low";

pub(crate) fn report(number: usize) -> Report {
    Report {
        worker: format!("w{number}").into(),
        service: SERVICE.into(),
        address: "127.0.0.1:1".parse().unwrap(),
        host: Some(format!("h{number}").into()),
        is_shutting_down: false,
        started_at_ms: 1,
        capacity: Resources {
            cpu_millicores: 8_000,
            memory_mb: 8_000,
            gpus: 0,
        },
        labels: vec!["a".into(), format!("r{}", number / 2).into()],
    }
}

pub(super) fn config(policy_service: Option<Policy>) -> Config {
    let queue = Queue {
        name: "queue".into(),
        hostname: "host".into(),
        path_prefix: "/queue/".into(),
        service: SERVICE.into(),
        priority: 0,
        max_attempts: ATTEMPTS,
        stretch: 2.0,
        allowance: Duration::from_secs(1),
        call_timeout: Duration::from_secs(3),
        policy_service,
        is_open: false,
    };
    let service = Service {
        name: SERVICE.into(),
        rejects_overload: false,
        is_spare: false,
    };
    let low = Queue {
        name: LOW_PRIORITY_QUEUE.into(),
        path_prefix: "/low/".into(),
        priority: 5,
        ..queue.clone()
    };
    Config::new(1, vec![queue, low], vec![service])
}

/// Creates a step of tasks that each reserve 2 cores and take a number of milliseconds.
pub(crate) fn step(count: u32, millis: u64, dependencies: &[u32]) -> Step {
    Step {
        count,
        cpu_millicores: 2_000,
        memory_mb: 500,
        estimate: Duration::from_millis(millis),
        dependencies: dependencies.to_vec(),
        ..Step::default()
    }
}

/// Creates a step of long-running tasks, at most one on a worker.
pub(crate) fn long_running(count: u32, max_unavailable: u32) -> Step {
    Step {
        is_long_running: true,
        max_per_worker: Some(1),
        max_unavailable,
        ..step(count, 500, &[])
    }
}
