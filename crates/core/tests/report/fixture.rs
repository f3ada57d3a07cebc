//! Fixture: a state built from the records of one fleet instance that manages all pools.

use std::time::{Duration, SystemTime};

use persimmongate_core::ids;
use persimmongate_core::record::{Announcement, Body, Command, Listing, Record, Role};
use persimmongate_core::sheet::{Row, parse_rows};
use persimmongate_core::state::{State, Verdict};

/// Rows of a sheet with one pool, its budget, a quota and a wave.
pub(crate) const SHEET: &str =
    "pool,finder,,finder,4,,\nbudget,,,finder,2,,\nquota,c,,finder,,,16\nwave,w,finder,,,1,";

/// `Log` appends records of one fleet instance and applies them to a state.
pub(crate) struct Log {
    pub(crate) state: State,
    sequence: ids::Sequence,
}

/// Parses rows after adding a header.
pub(crate) fn rows(rows: &str) -> Vec<Row> {
    let text = format!("intent,name,pool,service,hosts,batch,slots\n{rows}\n");
    parse_rows(text.as_bytes()).expect("clean sheet")
}

impl Log {
    pub(crate) fn new(hosts: usize) -> Self {
        let mut log = Self {
            state: State::default(),
            sequence: 0,
        };
        let address = ([127, 0, 0, 1], 1).into();
        log.append(Body::Join(Announcement {
            role: Role::Fleet,
            peer: address,
            http: address,
            zone: "z".into(),
        }));
        let hosts = (0..hosts).map(|index| Listing {
            host: format!("h{index}").into(),
            address,
            zone: "z".into(),
            rack: "r".into(),
            generation: 1,
            slots: 8,
            connections: 64,
        });
        let hosts = hosts.collect();
        log.append(Body::Enroll { hosts });
        log
    }

    pub(crate) fn append(&mut self, body: Body) -> Verdict {
        self.sequence += 1;
        let record = Record {
            author: "a".into(),
            incarnation: 1,
            sequence: self.sequence,
            body,
        };
        let offset = self.state.next_offset;
        let at = SystemTime::UNIX_EPOCH + Duration::from_secs(1000 + offset);
        self.state.apply(offset, at, &record, &mut Vec::new())
    }

    pub(crate) fn append_sheet(
        &mut self,
        operator: &str,
        base_revision: ids::Revision,
        sheet: &str,
    ) -> Verdict {
        self.append(Body::Sheet {
            base_revision,
            operator: operator.to_owned().into(),
            intents: rows(sheet).into_iter().map(|row| row.intent).collect(),
        })
    }

    pub(crate) fn append_command(&mut self, command: Command) {
        let (wave, operator) = ("w".into(), "o".into());
        let verdict = self.append(Body::Command {
            wave,
            command,
            operator,
        });
        assert_eq!(verdict, Verdict::Accepted);
    }

    /// Claims the pool `finder` and moves hosts into it.
    pub(crate) fn claim_and_move(&mut self, hosts: usize) {
        let pool: ids::Pool = "finder".into();
        self.append(Body::Claim {
            pool: pool.clone(),
            term: 1,
        });
        for index in 0..hosts {
            let host: ids::Host = format!("h{index}").into();
            let revision = self.state.hosts[&host].revision;
            let verdict = self.append(Body::Move {
                host,
                from: "spare".into(),
                to: pool.clone(),
                revision,
                term: 1,
            });
            assert_eq!(verdict, Verdict::Accepted);
        }
    }

    pub(crate) fn append_drain(&mut self, index: usize) {
        let verdict = self.append(Body::Drain {
            host: format!("h{index}").into(),
            generation: 1,
            wave: "w".into(),
            term: 1,
        });
        assert_eq!(verdict, Verdict::Accepted);
    }

    pub(crate) fn append_lost(&mut self, index: usize) {
        let host: ids::Host = format!("h{index}").into();
        let revision = self.state.hosts[&host].revision;
        let verdict = self.append(Body::Lost {
            host,
            generation: 1,
            revision,
            term: 1,
        });
        assert_eq!(verdict, Verdict::Accepted);
    }
}
