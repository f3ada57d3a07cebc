//! The shared spare pool against no moves, a move at every difference, and a buffer per service.

use std::time::Duration;

use crate::table::Table;
use crate::testbed::{self, ANDAMAN, Faults, KUISEB, Outcome, Plan, Policy, Service};

/// Runs of each row.
const SEEDS: u64 = 5;
/// Hosts out of service at once in a wave, at most.
const BATCH: u32 = 2;
/// Time of each run.
const LIMIT: Duration = Duration::from_hours(4);
/// Hosts in the spare pool of the run that sizes the buffer.
const PROBE_SPARE: usize = 3;
/// Largest share of the buffers of all services that the shared one may take.
const BUFFER_SHARE: f64 = 2.0 / 3.0;
/// Largest share of the greedy moves.
const MOVES_SHARE: f64 = 0.5;
/// A machine fails about four times an hour, a rack once in four hours.
const FAULTS: Faults = Faults {
    kills: 50,
    freezes: 100,
    slow: 50,
    outages: 0,
    crashes: 110,
    racks: 7,
    broken: 1,
    twice: 1,
};

/// `Way` is a way to hold and move spare hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    Shared,
    Greedy,
    Still,
    Separate,
}

/// `Figures` is what a way came to.
#[derive(Clone, Copy, Debug)]
struct Figures {
    buffer: u32,
    moves: u64,
    shortfall: f64,
}

/// Runs all ways over both deployments; returns whether the targets were met.
pub(crate) fn run(seed: u64) -> bool {
    let mut table = Table::new(&[
        "way",
        "buffer hosts",
        "waves ended",
        "roll-out mean s",
        "moves",
        "shortfall s",
        "violation s",
        "cut",
    ]);
    let mut met = true;
    for (name, services) in [("kuiseb", &KUISEB), ("andaman", &ANDAMAN)] {
        let mut probe = plan(services, PROBE_SPARE, Policy::Manager, seed);
        probe.limit = Duration::from_secs(1);
        let buffer = testbed::run(probe).buffer;
        let mut row = |way: Way| {
            let (policy, hosts) = match way {
                Way::Shared => (Policy::Manager, buffer.0),
                Way::Greedy => (Policy::Greedy, buffer.0),
                Way::Still => (Policy::Still, buffer.0),
                Way::Separate => (Policy::Still, buffer.1),
            };
            let spare = usize::try_from(hosts).unwrap_or(0);
            let plans = (0..SEEDS).map(|run| {
                let mut plan = plan(services, spare, policy, seed * 1000 + run);
                if way == Way::Separate {
                    plan.separate();
                }
                plan
            });
            let outcomes: Vec<Outcome> = plans.map(testbed::run).collect();
            add(&mut table, format!("{name}, {way:?}"), hosts, &outcomes)
        };
        let shared = row(Way::Shared);
        let greedy = row(Way::Greedy);
        row(Way::Still);
        let separate = row(Way::Separate);
        met &= shared.shortfall == 0.0
            && f64::from(shared.buffer) <= f64::from(separate.buffer) * BUFFER_SHARE
            && share(shared.moves, greedy.moves) <= MOVES_SHARE;
    }
    table.print();
    met
}

fn share(part: u64, whole: u64) -> f64 {
    let figure = |count: u64| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    figure(part) / figure(whole.max(1))
}

fn plan(services: &[Service], spare: usize, policy: Policy, seed: u64) -> Plan {
    let mut plan = Plan::new(services, spare, seed);
    plan.instances = 3;
    plan.entries = 2;
    plan.policy = policy;
    if policy != Policy::Manager {
        plan.options.max_moves = 0;
    }
    plan.batch = BATCH;
    plan.waves = services
        .iter()
        .map(|service| (service.name, BATCH))
        .collect();
    plan.faults = FAULTS;
    plan.limit = LIMIT;
    plan.whole = true;
    plan
}

fn add(table: &mut Table, title: String, buffer: u32, outcomes: &[Outcome]) -> Figures {
    let ended = outcomes.iter().filter(|outcome| outcome.ended).count();
    let took: f64 = outcomes
        .iter()
        .map(|outcome| outcome.took.as_secs_f64())
        .sum();
    let runs = f64::from(u32::try_from(outcomes.len()).unwrap_or(1));
    let moves: u64 = outcomes.iter().map(|outcome| outcome.moves).sum();
    let shortfall = outcomes.iter().map(|outcome| outcome.shortfall).sum();
    let violations: f64 = outcomes.iter().map(|outcome| outcome.violations).sum();
    let cut: usize = outcomes.iter().map(|outcome| outcome.cut).sum();
    table.add(vec![
        title,
        buffer.to_string(),
        format!("{ended}/{}", outcomes.len()),
        format!("{:.0}", took / runs),
        moves.to_string(),
        format!("{shortfall:.1}"),
        format!("{violations:.1}"),
        cut.to_string(),
    ]);
    Figures {
        buffer,
        moves,
        shortfall,
    }
}
