use std::time::Instant;

use persimmongate_core::ids;
use persimmongate_core::journal::{Demand, Recall, Record, Units};
use persimmongate_core::limit::{Action, Event, Ledger, Lender, WHOLE};

use super::{demand, lent, millis, start};

fn step(lender: &mut Lender, now: Instant, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    lender.step(now, event, &mut actions);
    actions
}

fn ask(lender: &mut Lender, now: Instant, shard: ids::Shard, units: Units) -> Vec<Action> {
    step(lender, now, Event::Demand(shard, vec![demand(units, 0)]))
}

fn recall(shard: ids::Shard, max_units: Option<Units>, returned: Units) -> Action {
    let recall = Recall {
        account: "a".into(),
        max_units,
        returned,
    };
    Action::Send(shard, vec![Record::Recall(shard, vec![recall])])
}

#[test]
fn verify_units_are_recorded_before_a_shard_learns_of_them() {
    let (mut lender, now) = (Lender::default(), start());
    // While there are many, a shard gets more than it asks for.
    let units = WHOLE / 4 + WHOLE / 8;
    let actions = ask(&mut lender, now, 1, WHOLE / 4);
    assert_eq!(actions, [Action::Record(vec![lent(1, units)])]);
    let recorded = Event::Recorded(vec![(1, "a".into(), units)]);
    let actions = step(&mut lender, now, recorded);
    assert_eq!(actions, [Action::Send(1, vec![lent(1, units)])]);
}

// Two pools of one account want more than there is.
#[test]
fn verify_scarce_units_are_shared_and_the_rest_is_asked_back() {
    let (mut lender, now) = (Lender::default(), start());
    ask(&mut lender, now, 1, WHOLE);
    let actions = ask(&mut lender, now + millis(30), 2, WHOLE);
    assert_eq!(actions, [recall(1, Some(WHOLE / 2), 0)]);
    let returned = Event::Returned(1, "a".into(), WHOLE / 2);
    let actions = step(&mut lender, now + millis(60), returned);
    assert_eq!(actions, [Action::Record(vec![lent(2, WHOLE / 2)])]);
    assert_eq!(lender.outstanding(1, &"a".into()), WHOLE / 2);
}

#[test]
fn verify_shard_that_asks_for_little_gets_all_of_it() {
    let (mut lender, now) = (Lender::default(), start());
    ask(&mut lender, now, 1, WHOLE);
    ask(&mut lender, now + millis(30), 2, WHOLE);
    let actions = ask(&mut lender, now + millis(60), 3, WHOLE / 10);
    // The two others may have 0.45 of it each; they were asked a moment ago.
    assert_eq!(actions, []);
    let actions = step(&mut lender, now + millis(1_100), Event::Tick);
    let share = (WHOLE - WHOLE / 10) / 2;
    assert_eq!(actions, [recall(1, Some(share), 0)]);
    let returned = Event::Returned(1, "a".into(), WHOLE - share);
    let actions = step(&mut lender, now + millis(1_200), returned);
    let records = vec![lent(2, share), lent(3, WHOLE / 10)];
    assert_eq!(actions[0], Action::Record(records));
}

#[test]
fn verify_low_reserve_is_filled_before_units_are_short() {
    let (mut lender, now) = (Lender::default(), start());
    ask(&mut lender, now, 1, WHOLE / 2);
    let actions = ask(&mut lender, now + millis(30), 2, WHOLE * 7 / 16);
    assert_eq!(actions.len(), 3);
    assert!(actions.contains(&recall(1, None, 0)));
    assert!(actions.contains(&recall(2, None, 0)));
}

// Demands of several shards that arrive together share an append.
#[test]
fn verify_rounds_of_lending_are_spaced() {
    let (mut lender, now) = (Lender::default(), start());
    ask(&mut lender, now, 1, WHOLE / 8);
    let actions = ask(&mut lender, now + millis(5), 2, WHOLE / 8);
    assert_eq!(actions, [Action::Schedule(millis(15))]);
    assert_eq!(ask(&mut lender, now + millis(6), 3, WHOLE / 8), []);
    let actions = step(&mut lender, now + millis(20), Event::Due);
    let [Action::Record(records)] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!(records.len(), 2);
}

#[test]
fn verify_new_lender_knows_what_was_lent_and_what_is_wanted() {
    let now = start();
    let mut ledger = Ledger::default();
    ledger.apply(&lent(1, WHOLE));
    ledger.apply(&Record::Returned(1, "a".into(), WHOLE / 4));
    ledger.apply(&Record::Demand(2, vec![demand(WHOLE / 2, 0)]));
    // Records may be read again, also older ones.
    ledger.apply(&lent(1, WHOLE / 2));
    let mut lender = Lender::new(&ledger);
    assert_eq!(lender.outstanding(1, &"a".into()), WHOLE * 3 / 4);
    let actions = step(&mut lender, now, Event::Tick);
    assert_eq!(
        actions,
        [
            Action::Record(vec![lent(2, WHOLE / 4)]),
            recall(1, Some(WHOLE / 2), WHOLE / 4),
        ]
    );
}

// The lender was replaced after it recorded the units and before it told the shard.
#[test]
fn verify_shard_is_told_again_of_units_that_it_does_not_know() {
    let now = start();
    let mut ledger = Ledger::default();
    ledger.apply(&lent(1, WHOLE / 2));
    let mut lender = Lender::new(&ledger);
    let actions = ask(&mut lender, now, 1, WHOLE / 2);
    assert_eq!(actions, [Action::Send(1, vec![lent(1, WHOLE / 2)])]);
    // The demand that follows may have crossed it.
    assert_eq!(ask(&mut lender, now + millis(200), 1, WHOLE / 2), []);
}

#[test]
fn verify_demand_that_is_withdrawn_no_longer_counts() {
    let (mut lender, now) = (Lender::default(), start());
    ask(&mut lender, now, 1, WHOLE);
    ask(&mut lender, now + millis(30), 2, WHOLE);
    step(&mut lender, now + millis(60), Event::Demand(2, Vec::new()));
    assert_eq!(lender.short_count(), 0);
    let returned = Event::Returned(1, "a".into(), WHOLE / 2);
    step(&mut lender, now + millis(90), returned);
    assert_eq!(lender.outstanding(2, &"a".into()), 0);
}

#[test]
fn verify_odd_counts_cause_no_panic() {
    let (mut lender, now) = (Lender::default(), start());
    ask(&mut lender, now, 1, Units::MAX);
    let returned = Event::Returned(1, "a".into(), Units::MAX);
    step(&mut lender, now + millis(30), returned);
    let mut ledger = Ledger::default();
    for shard in 1..4 {
        ledger.apply(&lent(shard, Units::MAX));
    }
    let mut lender = Lender::new(&ledger);
    ask(&mut lender, now, 4, WHOLE);
    assert_eq!(lender.outstanding(4, &"a".into()), 0);
}

// Runs of an account that had no limit before.
#[test]
fn verify_nothing_is_lent_while_the_use_is_the_whole_or_more() {
    let (mut lender, now) = (Lender::default(), start());
    ask(&mut lender, now, 1, WHOLE / 4);
    let over = Demand {
        used: WHOLE * 2,
        ..demand(WHOLE, 0)
    };
    let actions = step(&mut lender, now + millis(30), Event::Demand(2, vec![over]));
    assert_eq!(actions, [recall(1, Some(0), 0)]);
    assert_eq!(ask(&mut lender, now + millis(60), 3, WHOLE / 8), []);
    let returned = Event::Returned(1, "a".into(), WHOLE);
    assert_eq!(step(&mut lender, now + millis(90), returned), []);
    assert_eq!(lender.outstanding(2, &"a".into()), 0);
    // Once the use is less, units for it are lent, and the others share the rest.
    let actions = ask(&mut lender, now + millis(120), 3, WHOLE);
    assert_eq!(actions, []);
    step(&mut lender, now + millis(150), Event::Demand(1, Vec::new()));
    let under = Demand {
        used: WHOLE / 2,
        ..demand(WHOLE / 2, 0)
    };
    let actions = step(
        &mut lender,
        now + millis(180),
        Event::Demand(2, vec![under]),
    );
    let records = vec![lent(2, WHOLE / 2), lent(3, WHOLE / 2)];
    assert_eq!(actions[0], Action::Record(records));
}

// Nobody leads the shard any more that told of the use.
#[test]
fn verify_use_that_is_not_told_again_expires() {
    let (mut lender, now) = (Lender::default(), start());
    let over = Demand {
        used: WHOLE * 2,
        ..demand(WHOLE, 0)
    };
    step(&mut lender, now, Event::Demand(2, vec![over]));
    assert_eq!(ask(&mut lender, now + millis(30), 3, WHOLE), []);
    step(&mut lender, now + millis(19_000), Event::Tick);
    assert_eq!(lender.outstanding(3, &"a".into()), 0);
    step(&mut lender, now + millis(20_000), Event::Tick);
    assert_eq!(lender.outstanding(3, &"a".into()), WHOLE / 2);
}
