//! Time that the gate takes to admit and route a request, to queue and cancel one, and to process
//! a membership change, by number of workers.

use std::hint::black_box;
use std::time::{Duration, Instant};

use bytes::Bytes;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use persimmongate_core::gate::{Action, Event, Exchange, Gate, Options};
use persimmongate_core::outcome::Answer;
use persimmongate_core::record::{self, Role};
use persimmongate_core::request::{Repeatability, Request, Urgency};
use persimmongate_core::state::{Change, Host, Member, Pool, Stage};

/// Sizes of today's smallest pool, of a deployment with headroom, and of a region in two years.
const WORKER_COUNTS: [usize; 3] = [8, 120, 4000];
/// Time after which the slow start of the workers is over.
const WARM_UP: Duration = Duration::from_secs(10);

fn build_host(worker: usize) -> Host {
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

fn build_join(name: &'static str) -> Change {
    let address = ([127, 0, 0, 1], 1).into();
    let announcement = record::Announcement {
        role: Role::Entry,
        peer: address,
        http: address,
        zone: "zone-0".into(),
    };
    let member = Member {
        announcement,
        incarnation: 1,
        sequence: 1,
        renewed_offset: 0,
    };
    Change::Member(name.into(), Some(member))
}

/// Creates a gate that is a member and has `worker_count` workers past their slow start.
fn build_gate(worker_count: usize, now: Instant) -> Gate {
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
    let mut changes = vec![build_join("entry-0"), Change::Pool("finder".into(), pool)];
    changes.extend(
        (0..worker_count)
            .map(|worker| Change::Host(format!("host-{worker}").into(), build_host(worker))),
    );
    for change in changes {
        gate.step(now, Event::Change(change), &mut Vec::new());
    }
    gate.step(now + WARM_UP, Event::Tick, &mut Vec::new());
    gate
}

fn build_request(id: u64, now: Instant) -> Request {
    Request {
        id,
        service: "finder".into(),
        caller: "caller".into(),
        urgency: Urgency::Normal,
        repeatability: Repeatability::Idempotent,
        deadline: now + Duration::from_mins(1),
        path: Bytes::new(),
        body: Bytes::new(),
    }
}

/// Admits and routes a request and completes it with an answer.
fn serve(gate: &mut Gate, id: u64, now: Instant, actions: &mut Vec<Action>) {
    gate.step(now, Event::Arrive(build_request(id, now)), actions);
    let Some(Action::Send { host, .. }) = actions.pop() else {
        return;
    };
    let exchange = Exchange::Answered(Answer {
        status: 200,
        body: Bytes::new(),
    });
    let completion = Event::ExchangeEnded {
        request: id,
        host,
        exchange,
    };
    gate.step(now, completion, actions);
    actions.clear();
}

fn bench_admission(criterion: &mut Criterion) {
    let created_at = tokio::time::Instant::now().into_std();
    let mut group = criterion.benchmark_group("admit and route");
    for worker_count in WORKER_COUNTS {
        let mut gate = build_gate(worker_count, created_at);
        let (mut id, mut actions) = (0, Vec::new());
        group.bench_function(BenchmarkId::from_parameter(worker_count), |bencher| {
            bencher.iter(|| {
                id += 1;
                serve(&mut gate, id, created_at + WARM_UP, &mut actions);
            });
        });
    }
    group.finish();
}

fn bench_queueing(criterion: &mut Criterion) {
    let created_at = tokio::time::Instant::now().into_std();
    let now = created_at + WARM_UP;
    let mut group = criterion.benchmark_group("queue and cancel, all workers full");
    for worker_count in WORKER_COUNTS {
        let mut gate = build_gate(worker_count, created_at);
        let (mut id, mut actions) = (0, Vec::new());
        while gate.queued_count(&"finder".into()) == 0 {
            id += 1;
            gate.step(now, Event::Arrive(build_request(id, now)), &mut actions);
        }
        group.bench_function(BenchmarkId::from_parameter(worker_count), |bencher| {
            bencher.iter(|| {
                id += 1;
                gate.step(now, Event::Arrive(build_request(id, now)), &mut actions);
                gate.step(now, Event::Cancel(id), &mut actions);
                actions.clear();
            });
        });
    }
    group.finish();
}

fn bench_membership(criterion: &mut Criterion) {
    let created_at = tokio::time::Instant::now().into_std();
    let now = created_at + WARM_UP;
    let mut group = criterion.benchmark_group("a member joins and leaves");
    for worker_count in WORKER_COUNTS {
        let mut gate = build_gate(worker_count, created_at);
        let mut actions = Vec::new();
        group.bench_function(BenchmarkId::from_parameter(worker_count), |bencher| {
            bencher.iter(|| {
                gate.step(now, Event::Change(build_join("entry-1")), &mut actions);
                let leave = Change::Member("entry-1".into(), None);
                gate.step(now, Event::Change(leave), black_box(&mut actions));
            });
        });
    }
    group.finish();
}

criterion_group!(benches, bench_admission, bench_queueing, bench_membership);
criterion_main!(benches);
