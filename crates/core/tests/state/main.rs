//! Tests of the state that is replayed from the log.

mod fixture;
mod odd;

use std::time::{Duration, SystemTime};

use fixture::{Log, member};
use persimmongate_core::record::{Body, Completion, Record};
use persimmongate_core::request::make_key;
use persimmongate_core::sheet::Intent;
use persimmongate_core::state::{Change, Reason, Stage, Status, Verdict};

fn drain(host: &str) -> Body {
    Body::Drain {
        host: host.to_owned().into(),
        generation: 1,
        wave: "w".into(),
        term: 1,
    }
}

#[test]
fn verify_second_of_two_racing_moves_is_rejected() {
    let mut log = Log::new(4, 0);
    let revision = log.state.hosts["h0"].revision;
    let (from, to): (_, persimmongate_core::ids::Pool) = ("spare".into(), "finder".into());
    let body = Body::Move {
        host: "h0".into(),
        from,
        to: to.clone(),
        revision,
        term: 1,
    };
    assert_eq!(log.append("a", body.clone()), Verdict::Accepted);
    let current = log.state.hosts["h0"].revision;
    let conflict = Reason::Conflict {
        current,
        seen: revision,
    };
    assert_eq!(log.append("a", body), Verdict::Rejected(conflict));
    assert_eq!(log.state.hosts["h0"].pool, to);
}

#[test]
fn verify_repeated_append_counts_once() {
    let mut log = Log::new(4, 0);
    let body = Body::Claim {
        pool: "finder".into(),
        term: 2,
    };
    let record = Record {
        author: "b".into(),
        incarnation: 1,
        sequence: 1000,
        body,
    };
    assert_eq!(log.apply(&record), Verdict::Accepted);
    assert_eq!(log.apply(&record), Verdict::Duplicate);
    assert_eq!(log.state.pools["finder"].term, 2);
}

#[test]
fn verify_records_of_an_older_term_are_rejected() {
    let mut log = Log::new(4, 0);
    log.move_hosts(4);
    assert_eq!(
        log.append(
            "b",
            Body::Claim {
                pool: "finder".into(),
                term: 2
            }
        ),
        Verdict::Accepted
    );
    let term = Reason::Term {
        current: 2,
        seen: 1,
    };
    assert_eq!(log.append("a", drain("h0")), Verdict::Rejected(term));
    assert_eq!(log.state.hosts["h0"].stage, Stage::Serving);
}

#[test]
fn verify_drain_below_the_budget_is_rejected() {
    let mut log = Log::new(4, 3);
    log.move_hosts(4);
    assert_eq!(log.append("a", drain("h0")), Verdict::Accepted);
    let budget = Reason::Budget {
        service: "finder".into(),
        serving: 3,
        required: 3,
    };
    assert_eq!(log.append("a", drain("h1")), Verdict::Rejected(budget));
}

#[test]
fn verify_second_sheet_against_the_same_base_conflicts() {
    let mut log = Log::new(4, 0);
    let base = log.state.revision;
    let sheet = Body::Sheet {
        base_revision: base,
        operator: "o".into(),
        intents: Vec::new(),
    };
    assert_eq!(log.append("a", sheet.clone()), Verdict::Accepted);
    let current = log.state.revision;
    let conflict = Reason::Conflict {
        current,
        seen: base,
    };
    assert_eq!(log.append("b", sheet), Verdict::Rejected(conflict));
}

#[test]
fn verify_only_the_first_claim_of_a_key_wins() {
    let mut log = Log::new(1, 0);
    let key = make_key(SystemTime::UNIX_EPOCH + Duration::from_secs(1000), 7);
    log.append("a", Body::Keys { keys: vec![key] });
    log.append("b", Body::Keys { keys: vec![key] });
    let won: Vec<_> = log
        .changes
        .iter()
        .filter_map(|change| match change {
            Change::Keys(author, won) => Some((author.to_string(), won.len())),
            _ => None,
        })
        .collect();
    assert_eq!(won, [("a".to_owned(), 1), ("b".to_owned(), 0)]);
    log.append(
        "b",
        Body::Outcomes {
            outcomes: vec![(key, Completion::NotRun)],
        },
    );
    assert_eq!(
        log.state.keys.status(key, log.state.log_time),
        Status::Claimed
    );
    log.append(
        "a",
        Body::Outcomes {
            outcomes: vec![(key, Completion::NotRun)],
        },
    );
    assert_eq!(log.state.keys.status(key, log.state.log_time), Status::Free);
}

#[test]
fn verify_author_of_an_older_run_is_rejected() {
    let mut log = Log::new(1, 0);
    let join = Record {
        author: "a".into(),
        incarnation: 2,
        sequence: 1,
        body: Body::Join(member()),
    };
    assert_eq!(log.apply(&join), Verdict::Accepted);
    let verdict = log.append("a", Body::Renew);
    assert_eq!(verdict, Verdict::Rejected(Reason::NotMember));
    assert_eq!(log.state.pools["finder"].holder, None);
}

#[test]
fn verify_counts_of_serving_hosts_follow_every_record() {
    let mut log = Log::new(6, 1);
    log.move_hosts(4);
    log.append("a", drain("h0"));
    log.append(
        "a",
        Body::Lost {
            host: "h1".into(),
            generation: 1,
            revision: log.state.hosts["h1"].revision,
            term: 1,
        },
    );
    log.append(
        "a",
        Body::Return {
            host: "h0".into(),
            generation: 2,
            term: 1,
        },
    );
    for pool in ["spare", "finder"] {
        let hosts = log.state.hosts.values();
        let serving = hosts
            .filter(|host| *host.pool == *pool && host.is_serving())
            .count();
        assert_eq!(log.state.serving_counts[pool] as usize, serving, "{pool}");
    }
    assert_eq!(log.state.serving_hosts(&"finder".into()), 3);
}

#[test]
fn verify_amended_sheet_is_the_sheet_that_was_applied() {
    let mut log = Log::new(4, 1);
    let mut intents = log
        .state
        .sheet
        .clone()
        .map(|sheet| sheet.intents)
        .unwrap_or_default();
    intents.remove(1);
    intents.push(Intent::Budget {
        service: "finder".into(),
        hosts: 2,
    });
    let body = log
        .state
        .sheet_record(log.state.revision, "o".into(), intents.clone());
    assert!(
        matches!(&body, Body::Amend { removed, added, .. } if removed.len() == 1 && added.len() == 1)
    );
    assert_eq!(log.append("a", body.clone()), Verdict::Accepted);
    assert_eq!(
        log.state.sheet.as_ref().map(|sheet| &sheet.intents),
        Some(&intents)
    );
    assert_eq!(log.state.budgets["finder"], 2);
    assert!(matches!(
        log.append("b", body),
        Verdict::Rejected(Reason::Conflict { .. })
    ));
}

fn return_host(generation: u64) -> Body {
    Body::Return {
        host: "h0".into(),
        generation,
        term: 1,
    }
}

fn report_lost(log: &Log) -> Body {
    Body::Lost {
        host: "h0".into(),
        generation: 1,
        revision: log.state.hosts["h0"].revision,
        term: 1,
    }
}

#[test]
fn verify_stopped_generation_never_returns() {
    let mut log = Log::new(4, 1);
    log.move_hosts(4);
    let stop = Body::Stop {
        host: "h0".into(),
        generation: 1,
        term: 1,
    };
    assert_ne!(log.append("a", stop.clone()), Verdict::Accepted);
    assert_eq!(log.append("a", drain("h0")), Verdict::Accepted);
    assert_eq!(log.append("a", stop), Verdict::Accepted);
    let conflict = Reason::Conflict {
        current: 1,
        seen: 1,
    };
    assert_eq!(
        log.append("a", return_host(1)),
        Verdict::Rejected(conflict.clone())
    );
    // A host that exceeds its maintenance time leaves the wave; its old generation stays refused.
    let report = report_lost(&log);
    assert_eq!(log.append("a", report), Verdict::Accepted);
    assert_eq!(log.state.waves["w"].failed_count, 1);
    assert_eq!(log.append("a", return_host(1)), Verdict::Rejected(conflict));
    assert_eq!(log.append("a", return_host(2)), Verdict::Accepted);
    assert_eq!(log.state.hosts["h0"].stage, Stage::Serving);
}

#[test]
fn verify_loss_decided_before_a_return_is_rejected() {
    let mut log = Log::new(4, 1);
    log.move_hosts(4);
    let stale = report_lost(&log);
    log.append("a", drain("h0"));
    assert_eq!(log.append("a", return_host(1)), Verdict::Accepted);
    assert!(matches!(
        log.append("a", stale),
        Verdict::Rejected(Reason::Conflict { .. })
    ));
    assert_eq!(log.state.hosts["h0"].stage, Stage::Serving);
}
