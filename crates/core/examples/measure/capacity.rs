//! State, time and bytes of each role against the number of hosts, with the slope.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};

use persimmongate_core::record::{Body, Fact, Member, Record, Role};
use persimmongate_core::sheet::Intent;
use persimmongate_core::state::{Change, SPARE, State, Verdict};
use persimmongate_core::{fleet, gate, ids};

use crate::table::Table;

/// Hosts at which everything is measured.
const SIZES: [usize; 4] = [2_000, 8_000, 16_000, 32_000];
/// Pools at the two-year size, one service each.
const POOLS: usize = 33;
/// Teams with quotas at the two-year size.
const TEAMS: usize = 120;
/// Fleet instances.
const FLEET: usize = 9;
/// Hosts in one record of the host list.
const ENROLL_HOSTS: usize = 500;
/// Hosts in one rack.
const RACK_HOSTS: usize = 4;
/// Availability zones at the two-year size.
const ZONES: usize = 10;
/// Memory that a node may spend for control, in megabytes.
const NODE_MEMORY_MB: f64 = 256.0;
/// Repetitions of a timed step.
const REPEATS: u32 = 200;
/// Bytes of a memory page.
const PAGE_BYTES: f64 = 4096.0;
/// Bytes of a megabyte.
const MB: f64 = 1e6;

/// Measures every role at every size; met when the largest fits into a node's memory.
pub(crate) fn run() -> bool {
    let mut table = Table::new(&[
        "hosts",
        "fold MB",
        "gate MB",
        "manager MB",
        "state CBOR MB",
        "encode ms",
        "decode ms",
        "renew us",
        "drain+return us",
        "member change ms",
        "tick of one instance us",
    ]);
    let mut first: Option<Sample> = None;
    let mut met = true;
    for size in SIZES {
        let sample = sample(size);
        met &= sample.fold_mb + sample.gate_mb.max(sample.manager_mb) <= NODE_MEMORY_MB;
        table.add(sample.row(&size.to_string()));
        match &first {
            None => first = Some(sample),
            Some(first) if size == SIZES[SIZES.len() - 1] => {
                table.add(slope(first, &sample).row("per 1000 hosts"));
            }
            Some(_) => {}
        }
    }
    table.print();
    met
}

/// `Sample` is what one size costs.
#[derive(Clone, Copy, Debug)]
struct Sample {
    hosts: f64,
    fold_mb: f64,
    gate_mb: f64,
    manager_mb: f64,
    cbor_mb: f64,
    encode_ms: f64,
    decode_ms: f64,
    renew_us: f64,
    drain_us: f64,
    member_ms: f64,
    tick_us: f64,
}

impl Sample {
    fn values(&self) -> [f64; 10] {
        [
            self.fold_mb,
            self.gate_mb,
            self.manager_mb,
            self.cbor_mb,
            self.encode_ms,
            self.decode_ms,
            self.renew_us,
            self.drain_us,
            self.member_ms,
            self.tick_us,
        ]
    }

    fn row(&self, name: &str) -> Vec<String> {
        let cells = self.values().map(|value| format!("{value:.3}"));
        std::iter::once(name.to_owned()).chain(cells).collect()
    }
}

/// Gets the growth between two samples for each thousand hosts.
fn slope(low: &Sample, high: &Sample) -> Sample {
    let thousands = (high.hosts - low.hosts) / 1000.0;
    let per = |low: f64, high: f64| (high - low) / thousands;
    Sample {
        hosts: 1000.0,
        fold_mb: per(low.fold_mb, high.fold_mb),
        gate_mb: per(low.gate_mb, high.gate_mb),
        manager_mb: per(low.manager_mb, high.manager_mb),
        cbor_mb: per(low.cbor_mb, high.cbor_mb),
        encode_ms: per(low.encode_ms, high.encode_ms),
        decode_ms: per(low.decode_ms, high.decode_ms),
        renew_us: per(low.renew_us, high.renew_us),
        drain_us: per(low.drain_us, high.drain_us),
        member_ms: per(low.member_ms, high.member_ms),
        tick_us: per(low.tick_us, high.tick_us),
    }
}

fn sample(size: usize) -> Sample {
    let (mut log, fold_mb) = grown(|| filled(size));
    let (encoded, encode_ms) = timed(1, || {
        let mut buffer = Vec::new();
        // A state is always encodable; a failure would show as an empty buffer.
        let _ = ciborium::into_writer(&log.state, &mut buffer);
        buffer
    });
    let (decoded, decode_ms) = timed(1, || ciborium::from_reader::<State, _>(encoded.as_slice()));
    let same = decoded.is_ok_and(|decoded| decoded == log.state);
    assert!(same, "the state survives its encoding");
    let ((), renew_ms) = timed(REPEATS, || {
        log.append("fleet-0", Body::Renew);
    });
    let ((), drain_ms) = timed(REPEATS, || log.cycle());
    let (mut gate, gate_mb) = grown(|| {
        let mut gate = gate::Gate::new(gate::Options::default(), 1);
        feed(log.state.changes(), |now, change, actions| {
            gate.step(now, gate::Event::Change(change), actions);
        });
        gate
    });
    let ((), member_ms) = timed(4, || {
        let (id, member) = log.entry_member();
        let mut actions = Vec::new();
        let change = Change::Member(id, Some(member));
        gate.step(start(), gate::Event::Change(change), &mut actions);
        black_box(actions);
    });
    let (mut manager, manager_mb) = grown(|| {
        let options = fleet::Options::default();
        let mut manager = fleet::Manager::new("fleet-0".into(), options);
        feed(log.state.changes(), |now, change, actions| {
            manager.step(now, fleet::Event::Change(change), actions);
        });
        manager
    });
    let ((), tick_ms) = timed(REPEATS, || {
        let mut actions = Vec::new();
        manager.step(start(), fleet::Event::Tick, &mut actions);
        black_box(actions);
    });
    #[expect(clippy::cast_precision_loss, reason = "sizes are small")]
    let (hosts, cbor_mb) = (size as f64, encoded.len() as f64 / MB);
    Sample {
        hosts,
        fold_mb,
        gate_mb,
        manager_mb,
        cbor_mb,
        encode_ms,
        decode_ms,
        renew_us: renew_ms * 1000.0,
        drain_us: drain_ms * 1000.0,
        member_ms,
        tick_us: tick_ms * 1000.0,
    }
}

fn feed<A>(changes: Vec<Change>, mut step: impl FnMut(Instant, Change, &mut Vec<A>)) {
    let mut actions = Vec::new();
    for change in changes {
        step(start(), change, &mut actions);
    }
}

/// Gets a fixed time for decisions that don't depend on it.
fn start() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Runs a step several times and gets the milliseconds of one.
fn timed<T>(repeats: u32, mut step: impl FnMut() -> T) -> (T, f64) {
    let from = start();
    let mut result = step();
    for _ in 1..repeats {
        result = step();
    }
    let elapsed: Duration = start().duration_since(from);
    (result, elapsed.as_secs_f64() * 1000.0 / f64::from(repeats))
}

/// Makes a value and gets the megabytes by which the process grew.
fn grown<T>(make: impl FnOnce() -> T) -> (T, f64) {
    let before = resident_mb();
    let value = make();
    (value, (resident_mb() - before).max(0.0))
}

fn resident_mb() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES / MB
}

/// `Log` folds records at once.
struct Log {
    state: State,
    offset: ids::Offset,
    sequence: ids::Sequence,
}

impl Log {
    fn append(&mut self, author: &str, body: Body) -> Verdict {
        self.sequence += 1;
        let record = Record {
            author: author.to_owned().into(),
            incarnation: 1,
            sequence: self.sequence,
            body,
        };
        let at = SystemTime::UNIX_EPOCH + Duration::from_millis(self.offset);
        let mut changes = Vec::new();
        let verdict = self.state.apply(self.offset, at, &record, &mut changes);
        self.offset += 1;
        black_box(changes);
        verdict
    }

    /// Drains and returns one host of the first pool.
    fn cycle(&mut self) {
        let pool = pool_name(0);
        let host = self.state.hosts.iter().find(|(_, host)| host.pool == pool);
        let Some((name, host)) = host else { return };
        let (host, generation) = (name.clone(), host.generation);
        let wave: ids::Wave = "wave".into();
        self.append(
            "fleet-0",
            Body::Drain {
                host: host.clone(),
                generation,
                wave,
                term: 1,
            },
        );
        let body = Body::Return {
            host,
            generation: generation + 1,
            term: 1,
        };
        let verdict = self.append("fleet-0", body);
        assert_eq!(verdict, Verdict::Accepted, "a drained host returns");
    }

    fn entry_member(&mut self) -> (ids::Instance, persimmongate_core::state::Member) {
        let id: ids::Instance = "entry-0".into();
        self.append("entry-0", Body::Join(member(Role::Entry)));
        let member = self.state.members[&id].clone();
        (id, member)
    }
}

fn member(role: Role) -> Member {
    let address: SocketAddr = ([127, 0, 0, 1], 1).into();
    Member {
        role,
        peer: address,
        http: address,
        zone: "zone-0".into(),
    }
}

fn pool_name(index: usize) -> ids::Pool {
    format!("pool-{index:02}").into()
}

/// Makes the state of a fleet with its hosts spread over all pools.
fn filled(size: usize) -> Log {
    let mut log = Log {
        state: State::default(),
        offset: 0,
        sequence: 0,
    };
    for index in 0..FLEET {
        log.append(&format!("fleet-{index}"), Body::Join(member(Role::Fleet)));
    }
    log.append(
        "fleet-0",
        Body::Claim {
            pool: SPARE.into(),
            term: 1,
        },
    );
    for from in (0..size).step_by(ENROLL_HOSTS) {
        let hosts = (from..size.min(from + ENROLL_HOSTS)).map(fact).collect();
        log.append("fleet-0", Body::Enroll { hosts });
    }
    let intents = intents(size);
    log.append(
        "fleet-0",
        Body::Sheet {
            base_revision: 0,
            operator: "operator".into(),
            intents,
        },
    );
    for index in 0..POOLS {
        let holder = format!("fleet-{}", index % FLEET);
        log.append(
            &holder,
            Body::Claim {
                pool: pool_name(index),
                term: 1,
            },
        );
    }
    for index in 0..size {
        let host = fact(index).host;
        let pool = index % POOLS;
        let revision = log.state.hosts[&host].revision;
        let (from, to) = (SPARE.into(), pool_name(pool));
        let body = Body::Move {
            host,
            from,
            to,
            revision,
            term: 1,
        };
        log.append(&format!("fleet-{}", pool % FLEET), body);
    }
    log
}

fn fact(index: usize) -> Fact {
    Fact {
        host: format!("host-{index:06}").into(),
        address: ([10, 0, 0, 1], 8080).into(),
        zone: format!("zone-{}", index / RACK_HOSTS % ZONES).into(),
        rack: format!("rack-{:05}", index / RACK_HOSTS).into(),
        generation: 1,
        slots: 8,
        connections: 64,
    }
}

fn intents(size: usize) -> Vec<Intent> {
    let share = u32::try_from(size / POOLS).unwrap_or(0);
    let mut intents = Vec::new();
    for index in 0..POOLS {
        let name = pool_name(index);
        intents.push(Intent::Budget {
            service: name.clone(),
            hosts: share / 2,
        });
        intents.push(Intent::Pool {
            service: Some(name.clone()),
            name,
            hosts: share,
        });
    }
    for index in 0..TEAMS {
        let (caller, service) = (format!("team-{index:03}").into(), pool_name(index % POOLS));
        intents.push(Intent::Quota {
            caller,
            service,
            slots: 8,
        });
    }
    intents.push(Intent::Wave {
        name: "wave".into(),
        pool: pool_name(0),
        batch: 4,
    });
    intents
}
