//! Moves of hosts through the shared spare pool, compared with no moves, with a move at every
//! difference, and with a buffer for each service.

use std::time::Duration;

use crate::table::Table;
use crate::testbed::{self, ANDAMAN, Faults, KUISEB, Outcome, Plan, Policy, Service};

/// Number of runs for each row.
const RUNS: u64 = 5;
/// Maximum number of hosts that a wave takes out of service at a time.
const MAX_BATCH_HOSTS: u32 = 2;
/// Simulated time of each run.
const RUN_TIME: Duration = Duration::from_hours(4);
/// Number of hosts in the spare pool of the run that determines the size of the buffer.
const SIZING_SPARE_HOSTS: usize = 3;
/// Maximum size of the shared buffer as a share of the separate buffers of all services.
const MAX_BUFFER_SHARE: f64 = 2.0 / 3.0;
/// Maximum number of moves as a share of those of the greedy strategy.
const MAX_MOVES_SHARE: f64 = 0.5;
/// Faults of a run, in which a machine fails about four times an hour and a rack once in four
/// hours.
const FAULTS: Faults = Faults {
    kill_rate: 50,
    freeze_rate: 100,
    slow_append_rate: 50,
    outage_rate: 0,
    crash_rate: 110,
    rack_failure_rate: 7,
    failed_reboot_percent: 1,
    duplicate_append_percent: 1,
};

/// `Strategy` determines how spare hosts are held and how hosts move.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Strategy {
    /// The manager moves hosts through one shared spare pool.
    Shared,
    /// Hosts move at every difference between the target and the present number of hosts.
    Greedy,
    /// Hosts don't move.
    Still,
    /// Hosts don't move, and each service has a buffer of its own.
    Separate,
}

/// `Summary` is the result of a strategy over all runs.
#[derive(Clone, Copy, Debug)]
struct Summary {
    buffer_hosts: u32,
    moves: u64,
    /// Time in which services were below their availability budgets, in seconds over all runs.
    shortfall: f64,
}

/// Runs all strategies on both deployments; returns whether the targets were met.
pub(crate) fn run(seed: u64) -> bool {
    let mut table = Table::new(&[
        "strategy",
        "buffer hosts",
        "waves ended",
        "roll-out mean s",
        "moves",
        "shortfall s",
        "violation s",
        "cut",
    ]);
    let mut targets_met = true;
    for (name, services) in [("kuiseb", &KUISEB), ("andaman", &ANDAMAN)] {
        let mut sizing_plan = plan(services, SIZING_SPARE_HOSTS, Policy::Manager, seed);
        sizing_plan.time_limit = Duration::from_secs(1);
        // Hosts in the shared buffer, and in the separate buffers of all services together.
        let buffer = testbed::run(sizing_plan).buffer_hosts;
        let mut measure = |strategy: Strategy| {
            let (policy, buffer_hosts) = match strategy {
                Strategy::Shared => (Policy::Manager, buffer.0),
                Strategy::Greedy => (Policy::Greedy, buffer.0),
                Strategy::Still => (Policy::NoMoves, buffer.0),
                Strategy::Separate => (Policy::NoMoves, buffer.1),
            };
            let spare_hosts = usize::try_from(buffer_hosts).unwrap_or(0);
            let plans = (0..RUNS).map(|run| {
                let mut plan = plan(services, spare_hosts, policy, seed * 1000 + run);
                if strategy == Strategy::Separate {
                    plan.distribute_spare_hosts();
                }
                plan
            });
            let outcomes: Vec<Outcome> = plans.map(testbed::run).collect();
            add_row(
                &mut table,
                format!("{name}, {strategy:?}"),
                buffer_hosts,
                &outcomes,
            )
        };
        let shared = measure(Strategy::Shared);
        let greedy = measure(Strategy::Greedy);
        measure(Strategy::Still);
        let separate = measure(Strategy::Separate);
        targets_met &= shared.shortfall == 0.0
            && f64::from(shared.buffer_hosts)
                <= f64::from(separate.buffer_hosts) * MAX_BUFFER_SHARE
            && ratio(shared.moves, greedy.moves) <= MAX_MOVES_SHARE;
    }
    table.print();
    targets_met
}

fn ratio(part: u64, whole: u64) -> f64 {
    let to_float = |count: u64| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    to_float(part) / to_float(whole.max(1))
}

fn plan(services: &[Service], spare_hosts: usize, policy: Policy, seed: u64) -> Plan {
    let mut plan = Plan::new(services, spare_hosts, seed);
    plan.instance_count = 3;
    plan.entry_count = 2;
    plan.policy = policy;
    if policy != Policy::Manager {
        plan.options.max_moves = 0;
    }
    plan.max_hosts_out = MAX_BATCH_HOSTS;
    plan.waves = services
        .iter()
        .map(|service| (service.name, MAX_BATCH_HOSTS))
        .collect();
    plan.faults = FAULTS;
    plan.time_limit = RUN_TIME;
    plan.runs_to_limit = true;
    plan
}

/// Adds a row with the totals of the runs of a strategy.
fn add_row(table: &mut Table, title: String, buffer_hosts: u32, outcomes: &[Outcome]) -> Summary {
    let ended = outcomes
        .iter()
        .filter(|outcome| outcome.has_completed)
        .count();
    let total_time: f64 = outcomes
        .iter()
        .map(|outcome| outcome.duration.as_secs_f64())
        .sum();
    let runs = f64::from(u32::try_from(outcomes.len()).unwrap_or(1));
    let moves: u64 = outcomes.iter().map(|outcome| outcome.move_count).sum();
    let shortfall = outcomes.iter().map(|outcome| outcome.shortfall_s).sum();
    let violations: f64 = outcomes.iter().map(|outcome| outcome.violation_s).sum();
    let interrupted: usize = outcomes
        .iter()
        .map(|outcome| outcome.interrupted_requests)
        .sum();
    table.add(vec![
        title,
        buffer_hosts.to_string(),
        format!("{ended}/{}", outcomes.len()),
        format!("{:.0}", total_time / runs),
        moves.to_string(),
        format!("{shortfall:.1}"),
        format!("{violations:.1}"),
        interrupted.to_string(),
    ]);
    Summary {
        buffer_hosts,
        moves,
        shortfall,
    }
}
