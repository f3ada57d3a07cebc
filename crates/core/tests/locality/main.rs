//! The decision how long a wait for a place near the data pays.

use std::time::{Duration, Instant};

use persimmongate_core::ids;
use persimmongate_core::job::Task;
use persimmongate_core::locality::{
    Demand, Forecast, Ledger, MAX_WAIT, Outcome, Progress, Room, UNIT, remaining,
};
use test_case::test_case;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Demand of a task of a second that takes two more elsewhere, with a place in 300 ms and much time left.
fn demand() -> Demand {
    Demand {
        run_time: ms(1_000),
        slowdown: 3 * UNIT,
        expected: ms(300),
        time_left: ms(60_000),
        chain: ms(1_000),
        float: ms(0),
        is_room_short: false,
    }
}

#[test_case(0, None; "no slowdown")]
#[test_case(1_000, None; "a factor of one")]
#[test_case(1_300, None; "a gain as long as the wait")]
#[test_case(1_400, Some(400); "a gain above it")]
#[test_case(3_000, Some(1_500); "a gain above the longest wait")]
fn verify_wait_pays_below_the_gain(slowdown: u32, limit: Option<u64>) {
    let demand = Demand {
        slowdown,
        ..demand()
    };
    assert_eq!(demand.limit(), limit.map(ms));
}

#[test_case(3_200, Some(1_500); "a run elsewhere meets it with less time to spare")]
#[test_case(3_700, Some(700); "a run elsewhere meets it after a wait")]
#[test_case(2_000, Some(1_000); "only a run near the data meets it")]
#[test_case(1_200, Some(1_500); "neither meets it")]
#[test_case(0, Some(1_500); "it has passed")]
fn verify_wait_leaves_time_for_the_objective(time_left: u64, limit: Option<u64>) {
    let demand = Demand {
        time_left: ms(time_left),
        ..demand()
    };
    assert_eq!(demand.limit(), limit.map(ms));
}

#[test_case(false, Some(1_500); "others have room")]
#[test_case(true, None; "others wait for room")]
fn verify_task_keeps_its_turn_while_others_wait_for_room(is_room_short: bool, limit: Option<u64>) {
    let demand = Demand {
        is_room_short,
        ..demand()
    };
    assert_eq!(demand.limit(), limit.map(ms));
}

// The run elsewhere ends two seconds later, of which the job has one to spare.
#[test_case(0, 1_500; "on the longest chain")]
#[test_case(1_000, 1_000; "with time to spare")]
fn verify_step_off_the_longest_chain_may_run_elsewhere_later(float: u64, limit: u64) {
    let demand = Demand {
        float: ms(float),
        time_left: ms(3_000),
        ..demand()
    };
    assert_eq!(demand.limit(), Some(ms(limit)));
}

#[test]
fn verify_rack_that_has_room_and_did_not_get_the_task_is_not_waited_for() {
    let demand = Demand {
        expected: ms(0),
        ..demand()
    };
    assert_eq!(demand.limit(), None);
}

#[test]
fn verify_patience_is_bounded_by_the_expectation() {
    assert_eq!(demand().patience(), Some(ms(700)));
    let late = Demand {
        expected: ms(1_400),
        ..demand()
    };
    assert_eq!(late.patience(), Some(MAX_WAIT));
}

#[test_case(1_000, 400, 0, 0, 600; "by its estimate")]
#[test_case(1_000, 400, 80, 400, 100; "by its progress")]
#[test_case(1_000, 500, 50, 400, 300; "by its progress a while ago")]
#[test_case(1_000, 4_000, 20, 4_000, 16_000; "longer than its estimate")]
#[test_case(1_000, 1_400, 0, 0, 400; "beyond its estimate without progress")]
#[test_case(1_000, 1_000, 0, 0, 50; "at its end")]
fn verify_remaining_time_of_a_run(estimate: u64, age: u64, percent: u32, at: u64, left: u64) {
    let progress = Progress {
        percent,
        age: ms(at),
    };
    assert_eq!(remaining(ms(estimate), ms(age), Some(progress)), ms(left));
}

fn cores(count: u64) -> Room {
    Room {
        cpu_millicores: count * 1_000,
        memory_mb: count * 1_000,
        gpus: 0,
    }
}

/// A rack of two workers of four cores: one is full until two runs end, the other has one core free.
fn rack() -> Forecast {
    let mut rack = Forecast::default();
    let ends = vec![(ms(700), cores(2)), (ms(300), cores(2))];
    rack.add("full".into(), cores(0), ms(0), ends);
    rack.add("free".into(), cores(1), ms(0), vec![(ms(900), cores(3))]);
    rack
}

fn queue(rack: &mut Forecast, need: Room) -> Option<u64> {
    let place = rack.find(need, |_| true)?;
    rack.take(place, need, ms(500));
    u64::try_from(place.at.as_millis()).ok()
}

#[test]
fn verify_each_waiter_counts_those_before_it() {
    let mut rack = rack();
    let waits = [(); 6].map(|()| queue(&mut rack, cores(2)));
    assert_eq!(waits.map(Option::unwrap), [300, 700, 800, 900, 900, 1_200]);
}

#[test]
fn verify_last_task_of_a_step_counts_those_before_it() {
    let rack = rack();
    let last = |count| rack.find_last(cores(2), count, ms(500), |_| true);
    assert_eq!(last(1), Some(ms(300)));
    assert_eq!(last(4), Some(ms(900)));
    assert_eq!(last(6), Some(ms(1_200)));
    assert_eq!(rack.find_last(cores(5), 1, ms(500), |_| true), None);
}

#[test]
fn verify_room_that_no_worker_ever_has_is_not_waited_for() {
    let mut rack = rack();
    assert_eq!(queue(&mut rack, cores(5)), None);
    assert!(rack.find(cores(1), |_| false).is_none());
    assert_eq!(queue(&mut Forecast::default(), cores(1)), None);
}

#[test]
fn verify_start_takes_room_of_the_forecast() {
    let mut rack = rack();
    rack.occupy(&"free".into(), cores(1), Some(ms(100)));
    assert_eq!(queue(&mut rack, cores(1)), Some(100));
}

#[test]
fn verify_worker_that_comes_has_room_then() {
    let mut rack = Forecast::default();
    rack.add("new".into(), cores(4), ms(200), Vec::new());
    assert_eq!(queue(&mut rack, cores(2)), Some(200));
}

#[test]
fn verify_group_needs_room_for_all_its_tasks_at_once() {
    let is_usable = |_: &ids::Worker, _: u32| true;
    let mut rack = rack();
    let at = rack.queue_group(cores(2), 3, ms(500), is_usable);
    assert_eq!(at, Some(ms(900)));
    // It leaves one of the four places, and frees the others when it ends.
    assert_eq!(queue(&mut rack, cores(2)), Some(900));
    assert_eq!(queue(&mut rack, cores(2)), Some(1_400));
}

#[test]
fn verify_group_that_fits_on_no_rack_takes_no_room() {
    let mut rack = rack();
    let at = rack.queue_group(cores(2), 5, ms(500), |_, _| true);
    assert_eq!(at, None);
    let at = rack.queue_group(cores(1), 3, ms(500), |_, count| count < 1);
    assert_eq!(at, None);
    assert_eq!(queue(&mut rack, cores(1)), Some(0));
}

fn task(index: u32) -> Task {
    Task {
        job: "job".into(),
        occurrence: 0,
        step: 0,
        index,
    }
}

fn expected(millis: u64) -> Demand {
    Demand {
        expected: ms(millis),
        ..demand()
    }
}

// Guards against a wait that goes on as long as its place is expected soon.
#[test]
fn verify_later_estimates_do_not_move_the_end_of_a_wait() {
    let mut ledger = Ledger::default();
    let now = Instant::now();
    let rack: ids::Label = "r0".into();
    assert!(ledger.holds(now, &task(0), Some((&rack, expected(300)))));
    assert_eq!(ledger.next_end(), Some(now + ms(700)));
    for millis in [100, 300, 600] {
        let at = now + ms(millis);
        assert!(ledger.holds(at, &task(0), Some((&rack, expected(150)))));
    }
    assert_eq!(ledger.next_end(), Some(now + ms(700)));
    assert!(!ledger.holds(now + ms(700), &task(0), Some((&rack, expected(150)))));
    // It does not wait again.
    assert!(!ledger.holds(now + ms(800), &task(0), Some((&rack, expected(150)))));
    assert!(ledger.has_ended(&task(0)));
    ledger.record_start(now + ms(900), &task(0), 1);
    let (tally, endings) = ledger.take_report();
    assert_eq!((tally.waits, tally.paid, tally.away), (1, 0, 1));
    assert_eq!(tally.waited, ms(700));
    assert_eq!(endings[0].outcome, Outcome::Expired);
    assert_eq!(endings[0].expected, ms(300));
    assert!(ledger.is_empty());
}

#[test_case(None, Outcome::RackLost; "without a rack")]
#[test_case(Some(5_000), Outcome::Hopeless; "with a place that comes too late to pay")]
#[test_case(Some(1_300), Outcome::Hopeless; "with a place far beyond its end")]
fn verify_wait_ends_early(place: Option<u64>, outcome: Outcome) {
    let mut ledger = Ledger::default();
    let now = Instant::now();
    let rack: ids::Label = "r0".into();
    assert!(ledger.holds(now, &task(0), Some((&rack, expected(300)))));
    let place = place.map(|millis| (&rack, expected(millis)));
    assert!(!ledger.holds(now + ms(100), &task(0), place));
    ledger.record_start(now + ms(100), &task(0), 1);
    let (_, endings) = ledger.take_report();
    assert_eq!(endings[0].outcome, outcome);
    assert_eq!(endings[0].waited, ms(100));
}

#[test]
fn verify_number_of_waits_is_bounded() {
    let mut ledger = Ledger::default();
    let now = Instant::now();
    let rack: ids::Label = "r0".into();
    let held = (0..1_000).filter(|index| ledger.holds(now, &task(*index), Some((&rack, demand()))));
    assert_eq!(held.count(), 64);
}

#[test]
fn verify_wait_of_a_task_that_is_gone_ends() {
    let mut ledger = Ledger::default();
    let now = Instant::now();
    let rack: ids::Label = "r0".into();
    assert!(ledger.holds(now, &task(0), Some((&rack, demand()))));
    assert!(ledger.holds(now, &task(1), Some((&rack, demand()))));
    ledger.retain(now + ms(50), |task| task.index == 1);
    let (_, endings) = ledger.take_report();
    assert_eq!(endings.len(), 1);
    assert_eq!(endings[0].outcome, Outcome::Dropped);
    assert_eq!(ledger.racks().count(), 1);
}
