//! Cost of a request's way through the gate, and of a change of members, by number of workers.

use std::hint::black_box;
use std::time::{Duration, Instant};

use bytes::Bytes;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use persimmongate_core::gate::{Action, Event, Exchange, Gate, Options};
use persimmongate_core::outcome::Answer;
use persimmongate_core::record::{self, Role};
use persimmongate_core::request::{Kind, Request, Urgency};
use persimmongate_core::state::{Change, Host, Member, Pool, Stage};

/// Workers of today's smallest pool, of a deployment with room, and of a region in two years.
const WORKERS: [usize; 3] = [8, 120, 4000];
/// Time past the slow start of the workers.
const STARTED: Duration = Duration::from_secs(10);

fn host(worker: usize) -> Host {
    Host {
        address: ([127, 0, 0, 1], 1).into(),
        zone: format!("zone-{}", worker / 4 % 4).into(),
        rack: format!("rack-{}", worker / 4).into(),
        pool: "finder".into(),
        stage: Stage::Serving,
        generation: 1,
        revision: 0,
        maintained_offset: 0,
        slots: 8,
        connections: 64,
    }
}

fn member(name: &'static str) -> Change {
    let address = ([127, 0, 0, 1], 1).into();
    let about = record::Member {
        role: Role::Entry,
        peer: address,
        http: address,
        zone: "zone-0".into(),
    };
    let member = Member {
        announcement: about,
        incarnation: 1,
        sequence: 1,
        renewed_offset: 0,
    };
    Change::Member(name.into(), Some(member))
}

fn gate(workers: usize, now: Instant) -> Gate {
    let options = Options {
        zone: "zone-0".into(),
        instance: "entry-0".into(),
        ..Options::default()
    };
    let mut gate = Gate::new(options, 1);
    let pool = Pool {
        service: Some("finder".into()),
        ..Pool::default()
    };
    let mut changes = vec![member("entry-0"), Change::Pool("finder".into(), pool)];
    changes.extend((0..workers).map(|it| Change::Host(format!("host-{it}").into(), host(it))));
    for change in changes {
        gate.step(now, Event::Change(change), &mut Vec::new());
    }
    gate.step(now + STARTED, Event::Tick, &mut Vec::new());
    gate
}

fn request(id: u64, now: Instant) -> Request {
    Request {
        id,
        service: "finder".into(),
        caller: "caller".into(),
        urgency: Urgency::Normal,
        kind: Kind::Idempotent,
        deadline: now + Duration::from_mins(1),
        path: Bytes::new(),
        body: Bytes::new(),
    }
}

/// Admits and routes a request and takes its answer.
fn serve(gate: &mut Gate, id: u64, now: Instant, actions: &mut Vec<Action>) {
    gate.step(now, Event::Arrive(request(id, now)), actions);
    let Some(Action::Send { host, .. }) = actions.pop() else {
        return;
    };
    let exchange = Exchange::Answered(Answer {
        status: 200,
        body: Bytes::new(),
    });
    let done = Event::Done {
        request: id,
        host,
        exchange,
    };
    gate.step(now, done, actions);
    actions.clear();
}

fn admit(criterion: &mut Criterion) {
    let base = tokio::time::Instant::now().into_std();
    let mut group = criterion.benchmark_group("admit and route");
    for workers in WORKERS {
        let mut gate = gate(workers, base);
        let (mut id, mut actions) = (0, Vec::new());
        group.bench_function(BenchmarkId::from_parameter(workers), |bencher| {
            bencher.iter(|| {
                id += 1;
                serve(&mut gate, id, base + STARTED, &mut actions);
            });
        });
    }
    group.finish();
}

fn refuse(criterion: &mut Criterion) {
    let base = tokio::time::Instant::now().into_std();
    let now = base + STARTED;
    let mut group = criterion.benchmark_group("queue and cancel, all workers full");
    for workers in WORKERS {
        let mut gate = gate(workers, base);
        let (mut id, mut actions) = (0, Vec::new());
        while gate.queued_count(&"finder".into()) == 0 {
            id += 1;
            gate.step(now, Event::Arrive(request(id, now)), &mut actions);
        }
        group.bench_function(BenchmarkId::from_parameter(workers), |bencher| {
            bencher.iter(|| {
                id += 1;
                gate.step(now, Event::Arrive(request(id, now)), &mut actions);
                gate.step(now, Event::Cancel(id), &mut actions);
                actions.clear();
            });
        });
    }
    group.finish();
}

fn join(criterion: &mut Criterion) {
    let base = tokio::time::Instant::now().into_std();
    let now = base + STARTED;
    let mut group = criterion.benchmark_group("a member joins and leaves");
    for workers in WORKERS {
        let mut gate = gate(workers, base);
        let mut actions = Vec::new();
        group.bench_function(BenchmarkId::from_parameter(workers), |bencher| {
            bencher.iter(|| {
                gate.step(now, Event::Change(member("entry-1")), &mut actions);
                let left = Change::Member("entry-1".into(), None);
                gate.step(now, Event::Change(left), black_box(&mut actions));
            });
        });
    }
    group.finish();
}

criterion_group!(benches, admit, refuse, join);
criterion_main!(benches);
