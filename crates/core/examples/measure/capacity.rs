//! Memory, time and encoded size of each role by the number of hosts, and their growth per 1,000.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};

use persimmongate_core::record::{Announcement, Body, Listing, Record, Role};
use persimmongate_core::sheet::Intent;
use persimmongate_core::state::{Change, SPARE, State, Verdict};
use persimmongate_core::{fleet, gate, ids};

use crate::table::Table;

/// Numbers of hosts that are measured.
const HOST_COUNTS: [usize; 4] = [2_000, 8_000, 16_000, 32_000];
/// Number of pools expected in two years, each with a service of its own.
const POOL_COUNT: usize = 33;
/// Number of client accounts with quotas expected in two years.
const CALLER_COUNT: usize = 120;
/// Number of fleet instances.
const FLEET_COUNT: usize = 9;
/// Number of hosts in one record of the host list.
const HOSTS_PER_ENROLL: usize = 500;
/// Number of hosts in one rack.
const HOSTS_PER_RACK: usize = 4;
/// Number of availability zones expected in two years.
const ZONE_COUNT: usize = 10;
/// Maximum memory of the control processes on a node, in megabytes.
const CONTROL_MEMORY_MAX_MB: f64 = 256.0;
/// Number of repetitions of a timed operation.
const REPEATS: u32 = 200;
/// Size of a memory page, in bytes.
const PAGE_BYTES: f64 = 4096.0;
/// Number of bytes in a megabyte.
const MB_BYTES: f64 = 1e6;

/// Measures each role with each number of hosts; returns whether the memory of a node suffices.
pub(crate) fn run() -> bool {
    let mut table = Table::new(&[
        "hosts",
        "state MB",
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
    let mut targets_met = true;
    for host_count in HOST_COUNTS {
        let sample = measure(host_count);
        targets_met &=
            sample.state_mb + sample.gate_mb.max(sample.manager_mb) <= CONTROL_MEMORY_MAX_MB;
        table.add(sample.row(&host_count.to_string()));
        match &first {
            None => first = Some(sample),
            Some(first) if host_count == HOST_COUNTS[HOST_COUNTS.len() - 1] => {
                table.add(growth(first, &sample).row("per 1000 hosts"));
            }
            Some(_) => {}
        }
    }
    table.print();
    targets_met
}

/// `Sample` holds the measured costs of one number of hosts.
#[derive(Clone, Copy, Debug)]
struct Sample {
    hosts: f64,
    state_mb: f64,
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
            self.state_mb,
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

/// Gets the growth per thousand hosts between two samples.
fn growth(low: &Sample, high: &Sample) -> Sample {
    let thousands = (high.hosts - low.hosts) / 1000.0;
    let per_thousand = |low: f64, high: f64| (high - low) / thousands;
    Sample {
        hosts: 1000.0,
        state_mb: per_thousand(low.state_mb, high.state_mb),
        gate_mb: per_thousand(low.gate_mb, high.gate_mb),
        manager_mb: per_thousand(low.manager_mb, high.manager_mb),
        cbor_mb: per_thousand(low.cbor_mb, high.cbor_mb),
        encode_ms: per_thousand(low.encode_ms, high.encode_ms),
        decode_ms: per_thousand(low.decode_ms, high.decode_ms),
        renew_us: per_thousand(low.renew_us, high.renew_us),
        drain_us: per_thousand(low.drain_us, high.drain_us),
        member_ms: per_thousand(low.member_ms, high.member_ms),
        tick_us: per_thousand(low.tick_us, high.tick_us),
    }
}

fn measure(host_count: usize) -> Sample {
    let (mut log, state_mb) = with_memory_growth(|| build_log(host_count));
    let (encoded, encode_ms) = timed(1, || {
        let mut buffer = Vec::new();
        // Encoding a state can't fail; if it did, the buffer could not be decoded below.
        let _ = ciborium::into_writer(&log.state, &mut buffer);
        buffer
    });
    let (decoded, decode_ms) = timed(1, || ciborium::from_reader::<State, _>(encoded.as_slice()));
    let is_equal = decoded.is_ok_and(|decoded| decoded == log.state);
    assert!(is_equal, "the decoded state equals the encoded one");
    let ((), renew_ms) = timed(REPEATS, || {
        log.append("fleet-0", Body::Renew);
    });
    let ((), drain_ms) = timed(REPEATS, || log.drain_and_return());
    let (mut gate, gate_mb) = with_memory_growth(|| {
        let mut gate = gate::Gate::new(gate::Options::default(), 1);
        feed(log.state.changes(), |now, change, actions| {
            gate.step(now, gate::Event::Change(change), actions);
        });
        gate
    });
    let ((), member_ms) = timed(4, || {
        let (id, member) = log.join_entry();
        let mut actions = Vec::new();
        let change = Change::Member(id, Some(member));
        gate.step(now(), gate::Event::Change(change), &mut actions);
        black_box(actions);
    });
    let (mut manager, manager_mb) = with_memory_growth(|| {
        let options = fleet::Options::default();
        let mut manager = fleet::Manager::new("fleet-0".into(), options);
        feed(log.state.changes(), |now, change, actions| {
            manager.step(now, fleet::Event::Change(change), actions);
        });
        manager
    });
    let ((), tick_ms) = timed(REPEATS, || {
        let mut actions = Vec::new();
        manager.step(now(), fleet::Event::Tick, &mut actions);
        black_box(actions);
    });
    #[expect(clippy::cast_precision_loss, reason = "sizes stay far below 2^52")]
    let (hosts, cbor_mb) = (host_count as f64, encoded.len() as f64 / MB_BYTES);
    Sample {
        hosts,
        state_mb,
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

/// Passes every change to the step function of a gate or manager.
fn feed<A>(changes: Vec<Change>, mut step: impl FnMut(Instant, Change, &mut Vec<A>)) {
    let mut actions = Vec::new();
    for change in changes {
        step(now(), change, &mut actions);
    }
}

/// Gets the present time, also for decisions that don't depend on it.
fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Repeats an operation; returns its last result and the mean time, in milliseconds.
fn timed<T>(repeats: u32, mut operation: impl FnMut() -> T) -> (T, f64) {
    let started_at = now();
    let mut result = operation();
    for _ in 1..repeats {
        result = operation();
    }
    let elapsed: Duration = now().duration_since(started_at);
    (result, elapsed.as_secs_f64() * 1000.0 / f64::from(repeats))
}

/// Makes a value; returns it with the growth of the resident memory, in megabytes.
fn with_memory_growth<T>(make: impl FnOnce() -> T) -> (T, f64) {
    let before = resident_mb();
    let value = make();
    (value, (resident_mb() - before).max(0.0))
}

/// Gets the resident memory of this process, in megabytes.
fn resident_mb() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES / MB_BYTES
}

/// `Log` applies each record to the state as soon as it is appended.
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
        let appended_at = SystemTime::UNIX_EPOCH + Duration::from_millis(self.offset);
        let mut changes = Vec::new();
        let verdict = self
            .state
            .apply(self.offset, appended_at, &record, &mut changes);
        self.offset += 1;
        black_box(changes);
        verdict
    }

    /// Drains one host of the first pool and puts it back into service.
    fn drain_and_return(&mut self) {
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

    /// Adds an entry host to the members.
    fn join_entry(&mut self) -> (ids::Instance, persimmongate_core::state::Member) {
        let id: ids::Instance = "entry-0".into();
        self.append("entry-0", Body::Join(member(Role::Entry)));
        let member = self.state.members[&id].clone();
        (id, member)
    }
}

fn member(role: Role) -> Announcement {
    let address: SocketAddr = ([127, 0, 0, 1], 1).into();
    Announcement {
        role,
        peer: address,
        http: address,
        zone: "zone-0".into(),
    }
}

fn pool_name(index: usize) -> ids::Pool {
    format!("pool-{index:02}").into()
}

/// Makes the log of a fleet whose hosts are spread evenly over all pools.
fn build_log(host_count: usize) -> Log {
    let mut log = Log {
        state: State::default(),
        offset: 0,
        sequence: 0,
    };
    for index in 0..FLEET_COUNT {
        log.append(&format!("fleet-{index}"), Body::Join(member(Role::Fleet)));
    }
    log.append(
        "fleet-0",
        Body::Claim {
            pool: SPARE.into(),
            term: 1,
        },
    );
    for first in (0..host_count).step_by(HOSTS_PER_ENROLL) {
        let hosts = (first..host_count.min(first + HOSTS_PER_ENROLL))
            .map(listing)
            .collect();
        log.append("fleet-0", Body::Enroll { hosts });
    }
    let intents = intents(host_count);
    log.append(
        "fleet-0",
        Body::Sheet {
            base_revision: 0,
            operator: "operator".into(),
            intents,
        },
    );
    for index in 0..POOL_COUNT {
        let holder = format!("fleet-{}", index % FLEET_COUNT);
        log.append(
            &holder,
            Body::Claim {
                pool: pool_name(index),
                term: 1,
            },
        );
    }
    for index in 0..host_count {
        let host = listing(index).host;
        let pool = index % POOL_COUNT;
        let revision = log.state.hosts[&host].revision;
        let (from, to) = (SPARE.into(), pool_name(pool));
        let body = Body::Move {
            host,
            from,
            to,
            revision,
            term: 1,
        };
        log.append(&format!("fleet-{}", pool % FLEET_COUNT), body);
    }
    log
}

fn listing(index: usize) -> Listing {
    Listing {
        host: format!("host-{index:06}").into(),
        address: ([10, 0, 0, 1], 8080).into(),
        zone: format!("zone-{}", index / HOSTS_PER_RACK % ZONE_COUNT).into(),
        rack: format!("rack-{:05}", index / HOSTS_PER_RACK).into(),
        generation: 1,
        slots: 8,
        connections: 64,
    }
}

/// Makes a sheet with a pool and a budget for each service, quotas, and a wave on the first pool.
fn intents(host_count: usize) -> Vec<Intent> {
    let pool_hosts = u32::try_from(host_count / POOL_COUNT).unwrap_or(0);
    let mut intents = Vec::new();
    for index in 0..POOL_COUNT {
        let name = pool_name(index);
        intents.push(Intent::Budget {
            service: name.clone(),
            hosts: pool_hosts / 2,
        });
        intents.push(Intent::Pool {
            service: Some(name.clone()),
            name,
            hosts: pool_hosts,
        });
    }
    for index in 0..CALLER_COUNT {
        let (caller, service) = (
            format!("team-{index:03}").into(),
            pool_name(index % POOL_COUNT),
        );
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
