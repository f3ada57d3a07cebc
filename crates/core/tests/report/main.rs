//! Tests of plans, proposals, explanations and the status summary.

mod fixture;

use fixture::{Log, SHEET, rows};
use persimmongate_core::record::{Command, Phase};
use persimmongate_core::report::{
    Answer, Decision, Plan, Proposal, Subject, evaluate, explain, is_in_effect, plan, resolve,
    summarize,
};
use persimmongate_core::state::{Reason, Verdict};
use test_case::test_case;

fn proposal(operator: &str, base: Option<u64>, sheet: &str) -> Proposal {
    Proposal {
        operator: operator.to_owned().into(),
        base_revision: base,
        allows_unmet: false,
        rows: rows(sheet),
    }
}

fn unmet(plan: &Plan) -> Vec<(usize, &str)> {
    let unmet = plan.unmet.iter();
    unmet
        .map(|diagnostic| (diagnostic.line, &*diagnostic.message))
        .collect()
}

#[test]
fn verify_plan_lists_changes() {
    let log = Log::new(10);
    let plan = plan(&log.state, &rows(SHEET));
    assert_eq!((plan.base_revision, plan.operator), (0, None));
    assert_eq!(plan.differences.len(), 4);
    assert_eq!(
        (
            &*plan.resizes[0].pool,
            plan.resizes[0].current,
            plan.resizes[0].target
        ),
        ("finder", 0, 4)
    );
    assert_eq!(plan.unmet, []);
}

#[test]
fn verify_plan_of_the_sheet_in_force_has_no_differences() {
    let mut log = Log::new(10);
    log.append_sheet("o", 0, SHEET);
    let plan = plan(&log.state, &rows(SHEET));
    assert_eq!(
        (plan.base_revision, plan.differences.len()),
        (log.state.revision, 0)
    );
}

#[test_case(3, SHEET, 2, "needs 4 more hosts, and only 3 are free"; "too few hosts")]
#[test_case(1, SHEET, 3, "the availability budget requires 2 hosts, only 1 can serve finder"; "budget out of reach")]
#[test_case(10, "pool,finder,,finder,4,,\nbudget,,,finder,4,,\nwave,w,finder,,,1,", 4, "no headroom"; "budget without headroom")]
#[test_case(10, "pool,finder,,finder,4,,\nmove,h99,finder,,,,", 3, "has not listed this host"; "unknown host")]
#[test_case(10, "pool,finder,,finder,4,,\nquota,c,,finder,,,20\nquota,d,,finder,,,20", 4, "guarantees 40 slots in finder, which has 32"; "quotas above the slots")]
fn verify_plan_lists_unmet_rows(hosts: usize, sheet: &str, line: usize, reason: &str) {
    let log = Log::new(hosts);
    let plan = plan(&log.state, &rows(sheet));
    let unmet = unmet(&plan);
    assert!(
        unmet
            .iter()
            .any(|(at, text)| *at == line && text.contains(reason)),
        "{unmet:?}"
    );
    let decision = evaluate(&log.state, &proposal("o", None, sheet));
    assert!(matches!(decision, Decision::Answer(Answer::Unmet(_))));
    let mut accepting = proposal("o", None, sheet);
    accepting.allows_unmet = true;
    assert_eq!(evaluate(&log.state, &accepting), Decision::Append(0));
}

#[test]
fn verify_hosts_of_shrinking_pools_are_free_and_lost_hosts_are_not() {
    let mut log = Log::new(4);
    log.append_sheet("o", 0, SHEET);
    log.claim_and_move(4);
    let moved = "pool,other,,other,4,,\n";
    assert_eq!(unmet(&plan(&log.state, &rows(moved))), []);
    log.append_lost(0);
    let plan = plan(&log.state, &rows(moved));
    assert_eq!(unmet(&plan)[0].0, 2);
}

#[test]
fn verify_plan_notes_waves_that_ended_or_have_no_row() {
    let mut log = Log::new(10);
    log.append_sheet("o", 0, SHEET);
    let without_row = plan(&log.state, &rows("pool,finder,,finder,4,,"));
    assert!(without_row.notes[0].message.contains("abort it to end it"));
    log.append_command(Command::Abort);
    let with_row = plan(&log.state, &rows(SHEET));
    assert!(with_row.notes[0].message.contains("does not run again"));
    let other_pool = "pool,finder,,finder,4,,\npool,other,,,2,,\nwave,w,other,,,1,";
    assert_eq!(unmet(&plan(&log.state, &rows(other_pool)))[0].0, 4);
}

#[test]
fn verify_the_sheet_in_force_is_not_appended_again() {
    let mut log = Log::new(10);
    log.append_sheet("one", 0, SHEET);
    let revision = log.state.revision;
    for (operator, base) in [("one", None), ("two", None), ("two", Some(0))] {
        let decision = evaluate(&log.state, &proposal(operator, base, SHEET));
        let unchanged = Answer::Unchanged {
            revision,
            operator: "one".into(),
        };
        assert_eq!(decision, Decision::Answer(unchanged));
    }
}

#[test]
fn verify_a_sheet_of_another_operator_is_replaced_only_by_its_revision() {
    let mut log = Log::new(10);
    log.append_sheet("one", 0, SHEET);
    let other = SHEET.replace("finder,4", "finder,5");
    for base in [None, Some(0)] {
        let decision = evaluate(&log.state, &proposal("two", base, &other));
        let Decision::Answer(Answer::Conflict(conflict)) = decision else {
            panic!("{decision:?}")
        };
        assert_eq!(
            (&*conflict.operator, conflict.revision),
            ("one", log.state.revision)
        );
        assert_eq!(conflict.at, "1970-01-01T00:16:42Z");
        let texts: Vec<String> = conflict
            .differences
            .iter()
            .map(ToString::to_string)
            .collect();
        assert_eq!(
            texts,
            ["pool finder: 4 hosts for finder -> 5 hosts for finder"]
        );
    }
    let revision = log.state.revision;
    let named = evaluate(&log.state, &proposal("two", Some(revision), &other));
    assert_eq!(named, Decision::Append(revision));
    let own = evaluate(&log.state, &proposal("one", None, &other));
    assert_eq!(own, Decision::Append(revision));
}

#[test]
fn verify_concurrent_proposals_end_with_one_sheet_and_one_conflict() {
    let mut log = Log::new(10);
    let other = SHEET.replace("finder,4", "finder,5");
    let (first, second) = (proposal("one", None, SHEET), proposal("two", None, &other));
    assert_eq!(evaluate(&log.state, &first), Decision::Append(0));
    assert_eq!(evaluate(&log.state, &second), Decision::Append(0));
    assert_eq!(log.append_sheet("one", 0, SHEET), Verdict::Accepted);
    let verdict = log.append_sheet("two", 0, &other);
    assert!(matches!(
        verdict,
        Verdict::Rejected(Reason::Conflict { .. })
    ));
    let answer = resolve(&log.state, &[], 0, Some(&verdict), &second.rows);
    assert!(matches!(answer, Answer::Conflict(_)));
    // The same sheet from two operators is no conflict.
    let answer = resolve(&log.state, &[], 0, Some(&verdict), &first.rows);
    assert!(matches!(answer, Answer::Unchanged { .. }));
}

#[test]
fn verify_an_unread_verdict_is_derived_from_the_state() {
    let mut log = Log::new(10);
    let own = rows(SHEET);
    assert_eq!(resolve(&log.state, &[], 0, None, &own), Answer::Undecided);
    log.append_sheet("one", 0, SHEET);
    let answer = resolve(&log.state, &[], 0, None, &own);
    assert!(matches!(answer, Answer::Applied { revision, .. } if revision == log.state.revision));
}

#[test]
fn verify_a_rejected_sheet_keeps_the_one_in_force() {
    let mut log = Log::new(10);
    log.append_sheet("one", 0, SHEET);
    let before = log.state.clone();
    let verdict = log.append_sheet("two", 0, &SHEET.replace("finder,4", "finder,9"));
    assert!(matches!(verdict, Verdict::Rejected(_)));
    assert_eq!(
        (log.state.sheet, log.state.pools),
        (before.sheet, before.pools)
    );
}

#[test_case(Phase::Paused, Command::Pause, true; "paused twice")]
#[test_case(Phase::Running, Command::Pause, false; "first pause")]
#[test_case(Phase::Done, Command::Abort, false; "abort after the end")]
fn verify_commands_without_effect_are_detected(phase: Phase, command: Command, expected: bool) {
    assert_eq!(is_in_effect(phase, command), expected);
}

#[test]
fn verify_explanations_describe_state_and_next_steps() {
    let mut log = Log::new(6);
    log.append_sheet("o", 0, SHEET);
    log.claim_and_move(3);
    let text = |log: &Log, kind, name: &str| {
        let explanation = explain(&log.state, kind, &name.to_owned().into()).expect("known");
        format!(
            "{} / {}",
            explanation.current_state.join(" "),
            explanation.next_steps.join(" ")
        )
    };
    assert!(text(&log, Subject::Pool, "finder").contains("takes 1 host from the spare pool"));
    assert!(text(&log, Subject::Service, "finder").contains("can spare 1 host"));
    assert!(text(&log, Subject::Host, "h0").contains("Wave w maintains it"));
    log.append_drain(0);
    assert!(text(&log, Subject::Host, "h0").contains("draining for wave w"));
    assert!(text(&log, Subject::Service, "finder").contains("is at its budget"));
    assert!(text(&log, Subject::Wave, "w").contains("It waits: finder has 2 serving hosts"));
    log.append_lost(1);
    assert!(text(&log, Subject::Host, "h1").contains("It is lost"));
    assert!(text(&log, Subject::Service, "finder").contains("1 host short of its budget"));
    log.append_command(Command::Pause);
    assert!(text(&log, Subject::Wave, "w").contains("persimmonctl wave resume w"));
    assert!(text(&log, Subject::Pool, "spare").contains("serves no callers"));
}

#[test_case(Subject::Host, "host: x does not exist; known: h0"; "host")]
#[test_case(Subject::Pool, "pool: x does not exist; known: spare"; "pool")]
#[test_case(Subject::Service, "service: x does not exist; known: none"; "service")]
#[test_case(Subject::Wave, "wave: x does not exist; known: none"; "wave")]
fn verify_unknown_names_are_answered_with_known_ones(kind: Subject, text: &str) {
    let error = explain(&Log::new(1).state, kind, &"x".into()).expect_err("unknown");
    assert_eq!(error.to_string(), text);
}

#[test]
fn verify_the_status_names_operator_and_members() {
    let mut log = Log::new(2);
    log.append_sheet("one", 0, "pool,finder,,finder,1,,");
    let status = summarize(&log.state);
    assert_eq!(status.operator.as_deref(), Some("one"));
    assert_eq!(&*status.members[0].name, "a");
}
