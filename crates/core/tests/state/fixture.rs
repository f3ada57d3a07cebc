//! Fixture: a state with two fleet instances and a few hosts.

use std::time::{Duration, SystemTime};

use persimmongate_core::ids;
use persimmongate_core::record::{Announcement, Body, Listing, Record, Role};
use persimmongate_core::sheet::Intent;
use persimmongate_core::state::{Change, State, Verdict};

/// `Log` appends records and applies them immediately.
pub(crate) struct Log {
    pub(crate) state: State,
    pub(crate) changes: Vec<Change>,
    offset: ids::Offset,
    sequence: ids::Sequence,
}

impl Log {
    /// Creates a state in which `a` and `b` are fleet instances and `a` holds all pools.
    pub(crate) fn new(hosts: usize, budget: u32) -> Self {
        let mut log = Self {
            state: State::default(),
            changes: Vec::new(),
            offset: 0,
            sequence: 0,
        };
        for name in ["a", "b"] {
            log.append(name, Body::Join(member()));
        }
        log.append(
            "a",
            Body::Claim {
                pool: "spare".into(),
                term: 1,
            },
        );
        log.append(
            "a",
            Body::Enroll {
                hosts: (0..hosts).map(listing).collect(),
            },
        );
        log.append(
            "a",
            Body::Sheet {
                base_revision: 0,
                operator: "o".into(),
                intents: intents(budget),
            },
        );
        log.append(
            "a",
            Body::Claim {
                pool: "finder".into(),
                term: 1,
            },
        );
        log
    }

    pub(crate) fn append(&mut self, author: &str, body: Body) -> Verdict {
        self.sequence += 1;
        let record = Record {
            author: author.to_owned().into(),
            incarnation: 1,
            sequence: self.sequence,
            body,
        };
        self.apply(&record)
    }

    pub(crate) fn apply(&mut self, record: &Record) -> Verdict {
        let at = SystemTime::UNIX_EPOCH + Duration::from_secs(1000 + self.offset);
        let verdict = self.state.apply(self.offset, at, record, &mut self.changes);
        self.offset += 1;
        verdict
    }

    /// Moves the first `hosts` hosts from the spare pool to the pool `finder`.
    pub(crate) fn move_hosts(&mut self, hosts: usize) {
        for index in 0..hosts {
            let verdict = self.move_host(index);
            assert_eq!(verdict, Verdict::Accepted);
        }
    }

    /// Moves a host from the spare pool to the pool `finder`.
    pub(crate) fn move_host(&mut self, index: usize) -> Verdict {
        let host = listing(index).host;
        let revision = self.state.hosts[&host].revision;
        let (from, to) = ("spare".into(), "finder".into());
        self.append(
            "a",
            Body::Move {
                host,
                from,
                to,
                revision,
                term: 1,
            },
        )
    }
}

pub(crate) fn member() -> Announcement {
    let address = ([127, 0, 0, 1], 1).into();
    Announcement {
        role: Role::Fleet,
        peer: address,
        http: address,
        zone: "z".into(),
    }
}

pub(crate) fn listing(index: usize) -> Listing {
    Listing {
        host: format!("h{index}").into(),
        address: ([127, 0, 0, 1], 2).into(),
        zone: format!("z{}", index % 2).into(),
        rack: format!("r{}", index / 4).into(),
        generation: 1,
        slots: 8,
        connections: 64,
    }
}

fn intents(budget: u32) -> Vec<Intent> {
    vec![
        Intent::Pool {
            name: "finder".into(),
            service: Some("finder".into()),
            hosts: 4,
        },
        Intent::Budget {
            service: "finder".into(),
            hosts: budget,
        },
        Intent::Wave {
            name: "w".into(),
            pool: "finder".into(),
            batch: 2,
        },
    ]
}
