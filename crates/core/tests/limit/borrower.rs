use std::time::Instant;

use persimmongate_core::journal::{Recall, Record, Units};
use persimmongate_core::limit::{Amount, Borrower, Loan, Notice, Usage, WHOLE};

use super::{directory, millis, start};

fn borrower(lent: Units, returned: Units, now: Instant) -> Borrower {
    let mut borrower = Borrower::new(3);
    borrower.set_accounts(&directory(&["a"]));
    let loan = Loan { lent, returned };
    borrower.handle(now, Notice::Loan("a".into(), loan));
    borrower
}

fn amount(cores: u64) -> Amount {
    Amount {
        cpu_millicores: cores * 1_000,
        ..Amount::default()
    }
}

fn usage(cores: u64) -> Usage {
    let mut usage = Usage::default();
    usage.add(&"a".into(), amount(cores));
    usage
}

fn review(borrower: &mut Borrower, now: Instant, usage: &Usage) {
    let budget = borrower.budget(now, usage);
    borrower.review(now, usage, &budget);
}

fn recall(borrower: &mut Borrower, now: Instant, max_units: Option<Units>, returned: Units) {
    let recall = Recall {
        account: "a".into(),
        max_units,
        returned,
    };
    borrower.handle(now, Notice::Recalled(vec![recall]));
}

fn returned(units: Units) -> Record {
    Record::Returned(3, "a".into(), units)
}

#[test]
fn verify_allowance_is_a_share_of_the_limit() {
    let now = start();
    let borrower = borrower(WHOLE / 2, WHOLE / 4, now);
    let budget = borrower.budget(now, &usage(10));
    assert_eq!(budget.max_starts(Some(&"a".into()), amount(5)), 3);
    assert_eq!(
        budget.max_starts(Some(&"other".into()), amount(5)),
        u64::MAX
    );
    assert_eq!(budget.max_starts(None, amount(5)), u64::MAX);
}

#[test]
fn verify_units_are_returned_only_when_they_are_asked_for() {
    let now = start();
    let mut borrower = borrower(WHOLE, 0, now);
    review(&mut borrower, now, &usage(10));
    assert_eq!(borrower.take_records(), []);
    recall(&mut borrower, now, None, 0);
    review(&mut borrower, now, &usage(10));
    // The rest of what it uses and a part beyond stays.
    let [Record::Returned(3, _, units)] = borrower.take_records()[..] else {
        panic!("no units are returned");
    };
    assert!(WHOLE - units > WHOLE / 10);
    assert!(WHOLE - units < WHOLE / 7);
}

#[test]
fn verify_units_of_runs_stay_and_the_others_go_at_once() {
    let now = start();
    let mut borrower = borrower(WHOLE, 0, now);
    recall(&mut borrower, now, Some(WHOLE / 4), 0);
    // Nothing more starts above what the shard may have.
    let budget = borrower.budget(now, &usage(50));
    assert_eq!(budget.max_starts(Some(&"a".into()), amount(1)), 0);
    review(&mut borrower, now, &usage(50));
    assert_eq!(borrower.take_records(), [returned(WHOLE / 2)]);
    // They count as gone before the log has the record.
    let budget = borrower.budget(now + millis(2_600), &usage(50));
    assert_eq!(budget.max_starts(Some(&"a".into()), amount(1)), 0);
    review(&mut borrower, now + millis(100), &usage(25));
    assert_eq!(
        borrower.take_records().last(),
        Some(&returned(WHOLE * 3 / 4))
    );
}

#[test]
fn verify_lender_learns_of_returned_units_once_they_are_recorded() {
    let now = start();
    let mut borrower = borrower(WHOLE, 0, now);
    assert_eq!(
        borrower.next_delivery(now),
        Some(vec![Record::Demand(3, Vec::new())])
    );
    borrower.handle(now, Notice::Delivered(true));
    recall(&mut borrower, now, Some(0), 0);
    review(&mut borrower, now, &Usage::default());
    assert_eq!(borrower.take_records(), [returned(WHOLE)]);
    assert_eq!(borrower.next_delivery(now), None);
    borrower.handle_recorded();
    assert_eq!(borrower.next_delivery(now), Some(vec![returned(WHOLE)]));
    // The append may not have been stored: it is repeated.
    assert_eq!(borrower.next_delivery(now), None);
    borrower.handle(now, Notice::Delivered(false));
    assert_eq!(borrower.next_delivery(now + millis(100)), None);
    let records = borrower.next_delivery(now + millis(300)).unwrap();
    assert_eq!(records[0], returned(WHOLE));
}

// The next leader does not know of the return, so the lender must not.
#[test]
fn verify_lender_does_not_learn_of_a_count_that_the_log_refuses() {
    let now = start();
    let mut borrower = borrower(WHOLE, 0, now);
    borrower.next_delivery(now);
    borrower.handle(now, Notice::Delivered(true));
    recall(&mut borrower, now, Some(0), 0);
    review(&mut borrower, now, &Usage::default());
    assert_eq!(borrower.take_records(), [returned(WHOLE)]);
    borrower.handle(now, Notice::Unrecorded("a".into()));
    borrower.handle_recorded();
    assert_eq!(borrower.next_delivery(now), None);
}

// An older leader recorded the units and was replaced before it told the lender.
#[test]
fn verify_new_leader_tells_of_returned_units_that_the_lender_does_not_know() {
    let now = start();
    let mut borrower = borrower(WHOLE, WHOLE / 2, now);
    borrower.next_delivery(now);
    borrower.handle(now, Notice::Delivered(true));
    recall(&mut borrower, now, Some(WHOLE), WHOLE / 2);
    assert_eq!(borrower.next_delivery(now), None);
    recall(&mut borrower, now, Some(WHOLE), 0);
    assert_eq!(borrower.next_delivery(now), Some(vec![returned(WHOLE / 2)]));
}

#[test]
fn verify_shard_asks_before_its_allowance_is_used_up() {
    let now = start();
    let mut borrower = borrower(WHOLE / 4, 0, now);
    borrower.next_delivery(now);
    borrower.handle(now, Notice::Delivered(true));
    let later = now + millis(200);
    review(&mut borrower, later, &usage(20));
    assert_eq!(borrower.next_delivery(later), None);
    review(&mut borrower, later, &usage(24));
    let records = borrower.next_delivery(later).unwrap();
    let [Record::Demand(3, demands)] = &records[..] else {
        panic!("{records:?}");
    };
    assert!(demands[0].units > WHOLE * 24 / 100);
    assert_eq!(demands[0].lent, WHOLE / 4);
    borrower.handle(later, Notice::Delivered(true));
    // It is not repeated at once, and repeated when there is no answer.
    review(&mut borrower, later + millis(200), &usage(24));
    assert_eq!(borrower.next_delivery(later + millis(200)), None);
    let retry = later + millis(2_000);
    review(&mut borrower, retry, &usage(24));
    assert!(borrower.next_delivery(retry).is_some());
}

#[test]
fn verify_demand_is_withdrawn_when_its_work_is_gone() {
    let now = start();
    let mut borrower = borrower(WHOLE / 4, 0, now);
    review(&mut borrower, now, &usage(24));
    assert!(borrower.next_delivery(now).is_some());
    borrower.handle(now, Notice::Delivered(true));
    let later = now + millis(200);
    review(&mut borrower, later, &Usage::default());
    assert_eq!(
        borrower.next_delivery(later),
        Some(vec![Record::Demand(3, Vec::new())])
    );
}

// What older leaders may have started counts, and is not asked for.
#[test]
fn verify_unknown_runs_keep_units_and_ask_for_none() {
    let now = start();
    let mut borrower = borrower(WHOLE / 2, 0, now);
    borrower.next_delivery(now);
    borrower.handle(now, Notice::Delivered(true));
    let mut usage = usage(10);
    usage.add_unattributed(amount(64));
    recall(&mut borrower, now, Some(0), 0);
    let later = now + millis(200);
    review(&mut borrower, later, &usage);
    assert_eq!(borrower.take_records(), []);
    assert_eq!(borrower.next_delivery(later), None);
    usage.set_unknown();
    let budget = borrower.budget(later, &usage);
    assert_eq!(budget.max_starts(Some(&"a".into()), amount(1)), 0);
}
