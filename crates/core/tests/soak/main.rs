//! Randomised runs of all state machines under faults, and the minimal cases that failures were
//! reduced to.

mod catchup;
mod retry;
#[path = "../../examples/measure/world/mod.rs"]
mod world;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use test_case::test_case;
use world::SECOND;
use world::fault::{Fault, Injection, Plan};
use world::run::run;

/// Steps with load and faults in each generated case.
const CASE_STEPS: u64 = 30 * SECOND;
/// Number of generated cases.
const CASES: u32 = 12;

fn injections() -> impl Strategy<Value = Vec<Injection>> {
    let fault = select(Fault::ALL.to_vec());
    let injection = (0..CASE_STEPS, fault, 1..20 * SECOND, 0..1000_usize);
    let injection = injection.prop_map(|(start_step, fault, duration_steps, target)| Injection {
        start_step,
        fault,
        duration_steps,
        target,
    });
    vec(injection, 0..16).prop_map(|mut injections| {
        injections.sort_by_key(|injection| injection.start_step);
        injections
    })
}

#[test]
fn verify_generated_plans() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let plans = (any::<u64>(), injections()).prop_map(|(seed, injections)| Plan {
        seed,
        steps: CASE_STEPS,
        injections,
    });
    let result = runner.run(&plans, |plan| {
        let report = run(&plan);
        prop_assert!(report.breaches.is_empty(), "{:?}", report.first_breaches);
        Ok(())
    });
    assert_eq!(result, Ok(()));
}

#[test_case(1; "seed 1")]
#[test_case(9; "seed 9")]
#[test_case(19; "seed 19")]
#[test_case(34; "seed 34")]
fn verify_drawn_plan(seed: u64) {
    let report = run(&Plan::draw(seed, 100 * SECOND));
    assert!(report.breaches.is_empty(), "{:?}", report.first_breaches);
    assert!(report.answered > 0 && report.moves > 0 && report.planned_stops > 0);
}

#[test]
fn verify_same_seed_same_run() {
    let plan = Plan::draw(7, 20 * SECOND);
    assert_eq!(run(&plan), run(&plan));
}
