//! Replayed state of jobs of accounts: whose an id is, and whose cancellation counts.

use persimmongate_core::account::Caller;
use persimmongate_core::ids;
use persimmongate_core::job::{Job, Outcome, Progress};
use persimmongate_core::journal::{Index, Phase, Record};
use test_case::test_case;

use super::{caller, job};

const ID: &str = "5c0e7a21d94b36f8";

fn accepted(account: &'static str) -> Record {
    Record::Accepted(Box::new(job("closed", Some(account))))
}

fn barred(account: &'static str) -> Record {
    Record::Barred(ID.into(), caller("closed", Some(account)))
}

fn completed() -> Record {
    let mut progress = Progress::default();
    progress.outcome = Some(Outcome::Completed);
    Record::Progress(ID.into(), progress)
}

fn index_of(records: &[(ids::Offset, Record)]) -> Index {
    let mut index = Index::default();
    for (offset, record) in records {
        index.apply(*offset, record);
    }
    index
}

fn phase_for(index: &Index, caller: &Caller) -> Option<Phase> {
    let entry = index.get(&ID.into())?;
    entry.is_owned_by(caller).then(|| entry.phase())
}

// A process applies its own acceptance at once, and reads the earlier one of another account after it.
#[test_case(&[(10, accepted("one")), (11, accepted("two"))]; "in the order of the log")]
#[test_case(&[(11, accepted("two")), (10, accepted("one")), (11, accepted("two"))]; "the own one first")]
fn verify_id_belongs_to_the_first_acceptance(records: &[(ids::Offset, Record)]) {
    let index = index_of(records);
    assert_eq!(
        phase_for(&index, &caller("closed", Some("one"))),
        Some(Phase::Pending)
    );
    assert_eq!(phase_for(&index, &caller("closed", Some("two"))), None);
}

#[test_case(&[(10, accepted("one")), (12, barred("two"))], Phase::Pending; "after the acceptance, by another account")]
#[test_case(&[(9, barred("two")), (10, accepted("one"))], Phase::Pending; "before it, by another account")]
#[test_case(&[(11, accepted("two")), (12, barred("two")), (10, accepted("one"))], Phase::Pending;
    "by an account that seemed to have the id")]
#[test_case(&[(10, accepted("one")), (12, barred("one"))], Phase::Canceled; "after it")]
#[test_case(&[(9, barred("one")), (10, accepted("one"))], Phase::Canceled; "before it")]
#[test_case(&[(9, Record::Canceled(ID.into())), (10, accepted("one"))], Phase::Canceled; "before accounts")]
#[test_case(&[(10, accepted("one")), (11, completed()), (12, barred("one"))], Phase::Completed; "after the end")]
fn verify_cancellation_counts_for_jobs_of_its_account(
    records: &[(ids::Offset, Record)],
    expected: Phase,
) {
    let index = index_of(records);
    assert_eq!(
        phase_for(&index, &caller("closed", Some("one"))),
        Some(expected)
    );
}

// The log keeps the newest record of each key, and a completed job is accepted anew as a stub.
#[test]
fn verify_canceled_job_stays_canceled_in_what_the_log_keeps() {
    let stub: Job = job("closed", Some("one")).stub();
    let stub = Record::Accepted(Box::new(stub));
    let all = [
        (1, accepted("one")),
        (3, barred("one")),
        (4, completed()),
        (5, stub),
    ];
    let owner = caller("closed", Some("one"));
    let live = phase_for(&index_of(&all), &owner);
    let kept = phase_for(&index_of(&all[1..]), &owner);
    assert_eq!((live, kept), (Some(Phase::Canceled), Some(Phase::Canceled)));
}
