//! Non-idempotent requests: a long randomised run, and three strategies to run a key at most once.

mod model;

use std::time::Duration;

use persimmongate_core::gate::Gate;

use crate::sim::{ANDAMAN, Chaos, Deployment, Dispatcher, KUISEB, Plan, World};
use crate::table::Table;

/// Minimum number of requests in the long runs together.
const MIN_REQUESTS: u64 = 1_000_000;
/// Length of each long run, in seconds.
const RUN_S: u64 = 420;
/// Mean load of each service as a share of its slots.
const LOAD: f64 = 0.5;
/// Random faults of the long runs.
const CHAOS: Chaos = Chaos {
    break_probability: 0.002,
    answer_loss_probability: 0.002,
    duplicate_probability: 0.01,
    undecided_probability: 0.01,
    resend_probability: 0.7,
    crash_interval: Duration::from_secs(7),
    outage_interval: Duration::from_mins(1),
    outage_duration: Duration::from_secs(5),
};

/// Prints both tables; returns whether enough requests were sent, no key ran twice and every
/// outcome was correct.
pub(crate) fn run(seed: u64) -> bool {
    let mut table = Table::new(&[
        "run",
        "requests",
        "answered",
        "not run",
        "unknown",
        "wrong answers",
        "second runs",
        "false not run",
        "second outcomes",
    ]);
    let mut total_requests = 0;
    let mut is_correct = true;
    for deployment in [&KUISEB, &ANDAMAN] {
        let world = world(deployment, seed);
        let sum = |count: fn(&crate::sim::Stats) -> u64| {
            world.service_stats.iter().map(count).sum::<u64>()
        };
        let requests = sum(|stats| stats.arrived);
        total_requests += requests;
        is_correct &=
            world.wrong_answers + world.second_runs + world.false_not_run + world.second_outcomes
                == 0;
        table.add(vec![
            deployment.name.to_owned(),
            requests.to_string(),
            sum(|stats| stats.answered_in_time).to_string(),
            sum(|stats| stats.not_run).to_string(),
            sum(|stats| stats.unknown).to_string(),
            world.wrong_answers.to_string(),
            world.second_runs.to_string(),
            world.false_not_run.to_string(),
            world.second_outcomes.to_string(),
        ]);
    }
    table.print();
    model::print(seed);
    is_correct && total_requests >= MIN_REQUESTS
}

fn world(deployment: &'static Deployment, seed: u64) -> World {
    let mut plan = Plan::new(deployment, LOAD, RUN_S);
    plan.chaos = Some(CHAOS);
    plan.cancel_share = 0.05;
    plan.poison_share = 0.001;
    let mut world = World::new(plan, seed, |options, seed| {
        Dispatcher::Gate(Box::new(Gate::new(options, seed)))
    });
    world.run();
    world
}
