//! Encoded size of each kind of log record.

use std::net::SocketAddr;

use persimmongate_core::record::{
    Announcement, Body, Command, Completion, Listing, Phase, Record, Role,
};
use persimmongate_core::sheet::Intent;

use crate::table::Table;

/// Maximum size of a record that one decision appends, in bytes; records of operators and of the
/// host list grow with their content.
const DECISION_MAX_BYTES: usize = 512;

/// Prints the size of each kind of record; returns whether all are within the maximum.
pub(crate) fn run() -> bool {
    let mut table = Table::new(&["record", "bytes"]);
    let mut targets_met = true;
    for (name, body) in bodies() {
        let record = Record {
            author: "fleet-khomas-a-1".into(),
            incarnation: u64::MAX,
            sequence: 1 << 32,
            body,
        };
        let mut buffer = Vec::new();
        if ciborium::into_writer(&record, &mut buffer).is_err() {
            return false;
        }
        targets_met &= buffer.len() <= DECISION_MAX_BYTES;
        table.add(vec![name.to_owned(), buffer.len().to_string()]);
    }
    table.print();
    targets_met
}

/// Makes a record body of each kind with names and numbers of realistic length.
fn bodies() -> Vec<(&'static str, Body)> {
    let address: SocketAddr = ([127, 0, 0, 1], 65000).into();
    let host = || "host-000123".into();
    let listing = Listing {
        host: host(),
        address,
        zone: "khomas-a".into(),
        rack: "rack-0031".into(),
        generation: 100,
        slots: 8,
        connections: 64,
    };
    let announcement = Announcement {
        role: Role::Entry,
        peer: address,
        http: address,
        zone: "khomas-a".into(),
    };
    let (wave, pool, term) = (|| "finder-december".into(), || "finder".into(), 1000);
    let reason = "asked for by the sheet".to_owned();
    let mut bodies = key_bodies();
    bodies.extend(sheet_bodies());
    bodies.extend(host_bodies());
    bodies.extend([
        ("claim", Body::Claim { pool: pool(), term }),
        (
            "command",
            Body::Command {
                wave: wave(),
                command: Command::Pause,
                operator: "operator".into(),
            },
        ),
        (
            "enroll, one host",
            Body::Enroll {
                hosts: vec![listing],
            },
        ),
        (
            "expire",
            Body::Expire {
                instance: "entry-khomas-a-1".into(),
                incarnation: u64::MAX,
            },
        ),
        ("join", Body::Join(announcement)),
        ("leave", Body::Leave),
        (
            "progress",
            Body::Progress {
                wave: wave(),
                phase: Phase::Done,
                reason,
                term,
            },
        ),
        ("renew", Body::Renew),
    ]);
    bodies
}

fn key_bodies() -> Vec<(&'static str, Body)> {
    let key = u128::MAX;
    vec![
        ("keys, one", Body::Keys { keys: vec![key] }),
        (
            "keys, eleven",
            Body::Keys {
                keys: vec![key; 11],
            },
        ),
        (
            "outcomes, one",
            Body::Outcomes {
                outcomes: vec![(key, Completion::Answered)],
            },
        ),
    ]
}

fn sheet_bodies() -> Vec<(&'static str, Body)> {
    let intent = Intent::Pool {
        name: "finder".into(),
        service: Some("finder".into()),
        hosts: 8,
    };
    let operator = || "operator".into();
    let revision = 1 << 32;
    let (removed, added) = (vec![intent.clone()], vec![intent.clone()]);
    let intents = vec![intent];
    vec![
        (
            "amend, one row",
            Body::Amend {
                base_revision: revision,
                operator: operator(),
                removed,
                added,
            },
        ),
        (
            "sheet, one row",
            Body::Sheet {
                base_revision: revision,
                operator: operator(),
                intents,
            },
        ),
        (
            "snapshot",
            Body::Snapshot {
                next_offset: revision,
            },
        ),
    ]
}

fn host_bodies() -> Vec<(&'static str, Body)> {
    let host = || "host-000123".into();
    let (wave, pool, term) = (|| "finder-december".into(), || "finder".into(), 1000);
    vec![
        (
            "drain",
            Body::Drain {
                host: host(),
                generation: 100,
                wave: wave(),
                term,
            },
        ),
        (
            "lost",
            Body::Lost {
                host: host(),
                generation: 100,
                revision: 1 << 32,
                term,
            },
        ),
        (
            "move",
            Body::Move {
                host: host(),
                from: "spare".into(),
                to: pool(),
                revision: 1 << 32,
                term,
            },
        ),
        (
            "return",
            Body::Return {
                host: host(),
                generation: 101,
                term,
            },
        ),
        (
            "stop",
            Body::Stop {
                host: host(),
                generation: 100,
                term,
            },
        ),
    ]
}
