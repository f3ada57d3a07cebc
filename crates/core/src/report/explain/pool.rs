//! Explanation of a pool.

use super::{Explanation, format_hosts};
use crate::ids;
use crate::state::{Pool, SPARE, Stage, State};

/// `Count` holds the number of hosts of a pool, in total and by stage.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    total: usize,
    serving: usize,
    lost: usize,
}

pub(super) fn explain(state: &State, name: &ids::Pool) -> Option<Explanation> {
    let pool = state.pools.get(name)?;
    let count = count_hosts(state, name);
    let mut current_state = vec![describe_purpose(name, pool)];
    current_state.push(format!(
        "It has {}: {} serving, {} lost, {} on the way to or from maintenance.",
        format_hosts(count.total),
        count.serving,
        count.lost,
        count.total - count.serving - count.lost
    ));
    current_state.push(match &pool.holder {
        Some(holder) => format!("{holder} manages it under term {}.", pool.term),
        None => "No process manages it at the moment.".to_owned(),
    });
    let mut next_steps = Vec::new();
    if name != SPARE {
        next_steps.push(describe_size(state, pool, count));
    }
    if pool.holder.is_none() {
        next_steps.push(
            "A fleet instance claims it within seconds; until then its hosts are neither moved nor \
             drained."
                .to_owned(),
        );
    }
    if next_steps.is_empty() {
        next_steps.push("Its hosts move to pools that lack hosts.".to_owned());
    }
    Some(Explanation {
        subject: format!("pool {name}"),
        current_state,
        next_steps,
    })
}

fn count_hosts(state: &State, name: &ids::Pool) -> Count {
    let mut count = Count::default();
    for host in state.hosts.values().filter(|host| host.pool == *name) {
        count.total += 1;
        count.serving += usize::from(host.is_serving());
        count.lost += usize::from(host.stage == Stage::Lost);
    }
    count
}

fn describe_purpose(name: &ids::Pool, pool: &Pool) -> String {
    if name == SPARE {
        return "New hosts start in it, and all services share it; it serves no callers."
            .to_owned();
    }
    match (&pool.service, pool.target) {
        (_, 0) => "The sheet in force has no hosts for it, so it is being emptied.".to_owned(),
        (Some(service), target) => {
            format!("The sheet asks for {target} hosts that serve {service}.")
        }
        (None, target) => format!("The sheet asks for {target} hosts without a service."),
    }
}

fn describe_size(state: &State, pool: &Pool, count: Count) -> String {
    let target = usize::try_from(pool.target).unwrap_or(usize::MAX);
    let spare = state.hosts.values();
    let spare = spare.filter(|host| host.pool == SPARE && host.is_serving());
    if count.total < target {
        return format!(
            "It takes {} from the spare pool, which has {} free.",
            format_hosts(target - count.total),
            spare.count()
        );
    }
    if count.total > target {
        return format!(
            "It returns {} to the spare pool as far as the availability budget of its service \
             allows.",
            format_hosts(count.total - target)
        );
    }
    "It has the size that the sheet asks for.".to_owned()
}
