//! Accounts that share the room of a pool.

use persimmongate_core::share::{Claim, Ledger, divide};
use proptest::prelude::*;
use test_case::test_case;

fn claims(claims: &[(f64, u64)]) -> Vec<Claim> {
    let claims = claims.iter();
    claims
        .map(|(weight, wanted)| Claim {
            weight: *weight,
            wanted: *wanted,
        })
        .collect()
}

#[test_case(&[(1.0, 500), (1.0, 500)], &[50, 50]; "two equal accounts and one pool")]
#[test_case(&[(3.0, 500), (1.0, 500)], &[75, 25]; "by weight")]
#[test_case(&[(1.0, 900), (1.0, 20)], &[80, 20]; "a hot account beside one that wants little")]
#[test_case(&[(100.0, 10), (1.0, 900), (1.0, 900)], &[10, 45, 45]; "a large account that is idle")]
#[test_case(&[(167.0, 900), (1.0, 30)], &[99, 1]; "a small account beside a large one")]
#[test_case(&[(1.0, 30), (1.0, 40)], &[30, 40]; "room for all")]
#[test_case(&[], &[]; "nobody")]
#[test_case(&[(0.0, 50), (-1.0, 50), (f64::NAN, 50)], &[50, 50, 0]; "weights that are none")]
#[test_case(&[(f64::MAX, u64::MAX), (f64::MAX, u64::MAX)], &[0, 100]; "largest numbers")]
fn verify_room_is_divided_by_weight_as_far_as_it_is_wanted(wanted: &[(f64, u64)], parts: &[u64]) {
    let divided = divide(100, &claims(wanted));
    let total: u64 = divided.iter().sum();
    assert_eq!(total, parts.iter().sum::<u64>());
    if wanted
        .iter()
        .all(|(weight, _)| *weight > 0.0 && *weight < 1_000.0)
    {
        for (divided, part) in divided.iter().zip(parts) {
            assert!(divided.abs_diff(*part) <= 1, "{divided} for {part}");
        }
    }
}

proptest! {
    // The division uses up the room, gives no account more than it wants, and takes nothing from one to give another
    // more for its weight.
    #[test]
    fn verify_division_is_work_conserving_and_fair(
        room in 0_u64..1_000_000,
        wanted in prop::collection::vec((1_u32..200, 0_u64..400_000), 0..40),
    ) {
        let wanted: Vec<(f64, u64)> = wanted.iter().map(|(w, c)| (f64::from(*w), *c)).collect();
        let claims = claims(&wanted);
        let parts = divide(room, &claims);
        let total: u64 = parts.iter().sum();
        let all: u64 = claims.iter().map(|claim| claim.wanted).sum();
        prop_assert_eq!(total, room.min(all));
        for (claim, part) in claims.iter().zip(&parts) {
            prop_assert!(*part <= claim.wanted);
        }
        for (claim, part) in claims.iter().zip(&parts) {
            for (other, other_part) in claims.iter().zip(&parts) {
                // An account that lacks something has no less for its weight than any other.
                if *part + 1 < claim.wanted {
                    let slack = 40.0 + 40.0 * claim.weight / other.weight;
                    let own = as_float(*part);
                    let fair = as_float(*other_part) * claim.weight / other.weight;
                    prop_assert!(own + slack >= fair, "{own} of {fair}");
                }
            }
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "amounts are below a million")]
fn as_float(amount: u64) -> f64 {
    amount as f64
}

// Guards against a large job, or any job of a small account, that never is within a share smaller than itself.
#[test]
fn verify_job_larger_than_the_share_is_within_it_while_the_account_has_nothing() {
    let (large, small) = ("large".into(), "small".into());
    let mut ledger = Ledger::new(32_000);
    ledger.add_running(&large, 99.0, 32_000);
    ledger.add_waiting(&large, 99.0, 400_000);
    ledger.add_waiting(&small, 1.0, 50_000);
    ledger.divide();
    assert!(ledger.claim(&small, 0, 25_000));
    assert!(!ledger.claim(&small, 0, 25_000));
    // It keeps its place when some of its tasks have started.
    let mut started = Ledger::new(32_000);
    started.add_running(&small, 1.0, 5_000);
    started.add_waiting(&small, 1.0, 45_000);
    started.add_running(&large, 99.0, 27_000);
    started.add_waiting(&large, 99.0, 400_000);
    started.divide();
    assert!(started.claim(&small, 5_000, 20_000));
    assert!(!started.claim(&small, 0, 25_000));
    assert!(!ledger.claim(&large, 0, 1_000));
}

// Guards against an account that holds the whole pool and keeps it, as its running tasks do not count.
#[test]
fn verify_running_tasks_count_against_the_share() {
    let (first, second) = ("first".into(), "second".into());
    let mut ledger = Ledger::new(100_000);
    ledger.add_running(&first, 1.0, 80_000);
    ledger.add_waiting(&first, 1.0, 80_000);
    ledger.add_running(&second, 1.0, 20_000);
    ledger.add_waiting(&second, 1.0, 80_000);
    ledger.divide();
    assert!(!ledger.claim(&first, 0, 10_000));
    assert!(ledger.claim(&second, 0, 20_000));
    assert!(ledger.claim(&second, 0, 10_000));
    assert!(!ledger.claim(&second, 0, 10_000));
}
