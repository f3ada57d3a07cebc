use std::fmt::Write;

use persimmongate_core::ids;
use persimmongate_core::limit;
use persimmongate_core::locality::Ending;
use persimmongate_core::sched::{Answer, Belief, Change, Idle, Stop, Tally, Wait};
use slog::{Logger, info, warn};

use super::lag::Delay;

/// Writes a log line with the tasks of a step that were started.
pub(super) fn log_starts(
    logger: &Logger,
    term: ids::Term,
    job: &ids::Job,
    (occurrence, step): (u32, u32),
    tasks: &[(u32, ids::Run, ids::Worker)],
) {
    let mut task_list = String::new();
    for (index, run, worker) in tasks {
        // Writing to a string never fails.
        let _ = write!(task_list, "{index}:{run}@{worker} ");
    }
    info!(logger, "starting tasks"; "job" => %job, "step" => format!("{occurrence}.{step}"),
        "tasks" => task_list.trim_end(), "term" => term);
}

/// Writes a log line about a stop.
pub(super) fn log_stop(logger: &Logger, term: ids::Term, stop: &Stop) {
    let task = &stop.task;
    info!(logger, "stop"; "job" => %task.job,
        "task" => format!("{}.{}.{}", task.occurrence, task.step, task.index), "run" => stop.run,
        "worker" => %stop.worker, "term" => term, "reason" => format!("{:?}", stop.reason),
        "known_to_run" => stop.is_known_to_run, "others_unavailable" => stop.unavailable.map(|(count, _)| count),
        "max_unavailable" => stop.unavailable.map(|(_, max)| max));
}

/// Returns the message of the log line about a change.
fn message(change: Change) -> &'static str {
    match change {
        Change::Joined => "worker joined shard",
        Change::Confirmed => "worker confirmed",
        Change::Unlisted => "worker unlisted for leader",
        Change::Returned => "worker listed again for leader",
        Change::Removed => "worker removed from shard",
        Change::Restarted => "worker incarnation changed",
        Change::Outdated(_) => "outdated worker entry ignored",
        Change::ShuttingDown => "worker shutting down",
        Change::Unreachable(_) => "worker unreachable",
        Change::Reachable => "worker reachable again",
        Change::Terminated => "worker terminated by host",
    }
}

/// Writes a log line about a change of what a leader holds for true about a worker.
pub(super) fn log_worker(
    logger: &Logger,
    shard: ids::Shard,
    term: ids::Term,
    change: Change,
    belief: &Belief,
) {
    let entry_started_at_ms: Option<u64> = match change {
        Change::Outdated(started_at_ms) => Some(started_at_ms),
        _ => None,
    };
    let reason: Option<Answer> = match change {
        Change::Unreachable(answer) => Some(answer),
        _ => None,
    };
    let answer_age_ms = belief.answer_age.map(|age| age.as_millis());
    info!(logger, "{}", message(change); "worker" => %belief.worker, "service" => %belief.service,
        "shard" => shard, "term" => term, "started_at_ms" => belief.started_at_ms,
        "entry_started_at_ms" => entry_started_at_ms, "reason" => reason.map(|answer| format!("{answer:?}")),
        "listed" => belief.is_listed, "confirmed" => belief.is_confirmed, "leaving" => belief.is_leaving,
        "terminated" => belief.has_terminated, "missed_polls" => belief.missed_polls,
        "answer_age_ms" => answer_age_ms, "runs" => belief.runs);
}

/// Writes a log line about long-running tasks that stay idle.
pub(super) fn log_idle(logger: &Logger, shard: ids::Shard, term: ids::Term, idle: &Idle) {
    let census = &idle.census;
    info!(logger, "long-running tasks idle"; "job" => %idle.job,
        "step" => format!("{}.{}", idle.occurrence, idle.step), "tasks" => idle.tasks,
        "idle_ms" => idle.duration.as_millis(), "service" => %idle.service, "shard" => shard, "term" => term,
        "known" => census.known, "listed" => census.listed, "confirmed" => census.confirmed,
        "unreachable" => census.unreachable, "leaving" => census.leaving,
        "suspended" => census.suspended, "terminated" => census.terminated,
        "eligible" => census.eligible, "with_room" => idle.with_room, "below_limit" => idle.below_limit,
        "permitted" => idle.permitted, "hosted_unknown" => idle.hosted_unknown,
        "waits_for_recovery" => idle.waits_for_recovery, "has_payload" => idle.has_payload, "may_start" => idle.may_start);
}

/// Writes a log line about the jobs of a service that wait for workers.
pub(super) fn log_waiting(logger: &Logger, term: ids::Term, service: &ids::Service, tally: &Tally) {
    let first_unexamined = tally.first_unexamined.as_ref().map(ToString::to_string);
    info!(logger, "jobs wait for workers"; "service" => %service, "term" => term,
        "waiting" => tally.waiting, "started" => tally.started, "not_ready" => tally.not_ready,
        "without_room" => tally.without_room, "limited" => tally.limited, "unadvised" => tally.unadvised, "unplaced" => tally.unplaced,
        "awaiting_place" => tally.awaiting_place,
        "unexamined" => tally.unexamined, "first_unexamined" => first_unexamined,
        "eligible" => tally.eligible, "free_millicores" => tally.free_millicores);
}

/// Writes log lines about accounts whose tasks wait because of their limits.
pub(super) fn log_limited(
    logger: &Logger,
    shard: ids::Shard,
    term: ids::Term,
    reports: &[limit::Report],
) {
    for report in reports {
        let (used, held_back) = (&report.used, &report.held_back);
        let unconfirmed = report.unconfirmed.map(|amount| amount.cpu_millicores);
        info!(logger, "tasks wait for the limit of their account"; "account" => %report.account,
            "shard" => shard, "term" => term, "held_back_millicores" => held_back.cpu_millicores,
            "held_back_mb" => held_back.memory_mb, "held_back_gpus" => held_back.gpus,
            "used_millicores" => used.cpu_millicores, "used_mb" => used.memory_mb, "used_gpus" => used.gpus,
            "unconfirmed_millicores" => unconfirmed,
            "allowance_millicores" => limited(report.allowance.cpu_millicores),
            "allowance_mb" => limited(report.allowance.memory_mb),
            "limit_millicores" => limited(report.limit.cpu_millicores),
            "limit_mb" => limited(report.limit.memory_mb));
    }
}

/// Returns an amount, or `None` if it stands for a resource without a limit.
pub(super) fn limited(amount: u64) -> Option<u64> {
    (amount != u64::MAX).then_some(amount)
}

/// Writes a log line about a wait for a place near the data that has ended.
pub(super) fn log_place_wait(logger: &Logger, term: ids::Term, ending: &Ending) {
    let task = &ending.task;
    info!(logger, "wait for place ended"; "job" => %task.job,
        "task" => format!("{}.{}.{}", task.occurrence, task.step, task.index), "term" => term,
        "rack" => %ending.rack, "expected_ms" => ending.expected.as_millis(),
        "longest_ms" => ending.longest.as_millis(), "waited_ms" => ending.waited.as_millis(),
        "outcome" => format!("{:?}", ending.outcome));
}

/// Writes a log line about a leader that is behind its events.
pub(super) fn log_lag(
    logger: &Logger,
    shard: ids::Shard,
    term: ids::Term,
    delay: &Delay,
    counts: &[(&'static str, usize)],
) {
    let count = |name| {
        counts
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, count)| *count)
    };
    let (slowest, kind) = delay.slowest;
    warn!(logger, "leader lags"; "shard" => shard, "term" => term, "lag_ms" => delay.lag.as_millis(),
        "steps" => delay.steps, "slowest_ms" => slowest.as_millis(), "slowest_kind" => kind,
        "workers" => count("workers"), "runs" => count("runs"), "jobs" => count("jobs"),
        "placement_passes" => count("placement_passes"));
}

/// Writes a log line about the end of recovery, or that it begins again.
pub(super) fn log_recovery(logger: &Logger, shard: ids::Shard, term: ids::Term, wait: Wait) {
    let message = match wait.ended_by {
        Some(_) => "recovery of shard over",
        None => "recovery of shard continues",
    };
    info!(logger, "{}", message; "shard" => shard, "term" => term,
        "rule" => wait.ended_by.map(|rule| format!("{rule:?}")), "term_age_ms" => wait.term_age.as_millis(),
        "unconfirmed" => wait.unconfirmed, "hosted_unknown" => wait.hosted_unknown);
}
