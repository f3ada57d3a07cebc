//! Answers of workers with numbers that are too large.

use std::time::Duration;

use persimmongate_core::job::{Outcome, Step};
use persimmongate_core::sched::{Cause, Event, Exit, Inventory, Status};
use test_case::test_case;

use super::task;
use crate::world::{World, long_running, step};

fn inventory(inventory: Inventory) -> Inventory {
    Inventory {
        started_at_ms: inventory.started_at_ms.max(1),
        ..inventory
    }
}

fn running(run: u64, percent: u32, measurement: u64) -> Inventory {
    let status = Status {
        task: task("neighbor", 0),
        run,
        checkpoint: "".into(),
        percent,
        measurement,
    };
    inventory(Inventory {
        clock_ms: 5_000,
        running: vec![status],
        ..Inventory::default()
    })
}

fn ended(sequence: u64, run: u64) -> Inventory {
    let exit = Exit {
        sequence,
        task: task("neighbor", 0),
        run,
        status: Cause::Interrupted,
        checkpoint: "".into(),
    };
    inventory(Inventory {
        clock_ms: 5_000,
        exits: vec![exit],
        ..Inventory::default()
    })
}

// Guards against a worker that is lost for good, and a leader that ends, after one answer with too
// large numbers.
#[test_case(&inventory(Inventory { clock_ms: u64::MAX, ..Inventory::default() }); "clock")]
#[test_case(&inventory(Inventory { clock_ms: u64::MAX - 2_800, ..Inventory::default() }); "clock plus lease")]
#[test_case(&Inventory { started_at_ms: u64::MAX, clock_ms: 5_000, ..Inventory::default() }; "time of start")]
#[test_case(&running(u64::MAX, 0, 0); "run")]
#[test_case(&running(u64::MAX - 1, u32::MAX, u64::MAX); "run, percentage and measurement")]
#[test_case(&ended(u64::MAX, 1); "number of an exit")]
#[test_case(&ended(u64::MAX, u64::MAX); "number and run of an exit")]
fn verify_odd_answer_of_a_worker_leaves_it_usable(odd: &Inventory) {
    let mut world = World::new(1, 1);
    world.run(Duration::from_secs(1));
    world.submit("neighbor", vec![step(6, 400, &[])]);
    let event = Event::Polled {
        worker: "w0".into(),
        sent_at: world.now,
        answer: Ok(odd.clone()),
    };
    world.deliver(0, event);
    world.run(Duration::from_secs(12));
    assert_eq!(world.outcome("neighbor"), Some(Outcome::Completed));
    assert_eq!(world.violations_found(), Vec::<String>::new());
}

// Guards against a pace computed from a measurement that is too large.
#[test]
fn verify_odd_measurement_throttles_best_effort_tasks() {
    let mut world = World::new(1, 1);
    let target = Some(Duration::from_millis(50));
    let served = Step {
        latency_target: target,
        ..long_running(1, 0)
    };
    let filling = Step {
        is_best_effort: true,
        ..long_running(1, 0)
    };
    world.submit("served", vec![served]);
    world.submit("filling", vec![filling]);
    world.workers.get_mut("w0").unwrap().reported_latency_ms = u64::MAX;
    world.run(Duration::from_secs(3));
    assert_eq!(world.workers["w0"].received_paces.last(), Some(&0));
}
