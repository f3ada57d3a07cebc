//! Explanation of a pool.

use super::{Explanation, hosts};
use crate::ids;
use crate::state::{Pool, SPARE, Stage, State};

/// `Count` counts the hosts of a pool by stage.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    all: usize,
    serving: usize,
    lost: usize,
}

pub(super) fn explain(state: &State, name: &ids::Pool) -> Option<Explanation> {
    let pool = state.pools.get(name)?;
    let count = count(state, name);
    let mut now = vec![purpose(name, pool)];
    now.push(format!(
        "It has {}: {} serving, {} lost, {} on the way to or from maintenance.",
        hosts(count.all),
        count.serving,
        count.lost,
        count.all - count.serving - count.lost
    ));
    now.push(match &pool.holder {
        Some(holder) => format!("{holder} decides for it, under term {}.", pool.term),
        None => "No process decides for it at the moment.".to_owned(),
    });
    let mut next = Vec::new();
    if name != SPARE {
        next.push(size(state, pool, count));
    }
    if pool.holder.is_none() {
        next.push(
            "A fleet instance claims it within seconds; until then nothing moves.".to_owned(),
        );
    }
    if next.is_empty() {
        next.push("Its hosts move to pools that lack hosts.".to_owned());
    }
    Some(Explanation {
        subject: format!("pool {name}"),
        current_state: now,
        next_steps: next,
    })
}

fn count(state: &State, name: &ids::Pool) -> Count {
    let mut count = Count::default();
    for host in state.hosts.values().filter(|host| host.pool == *name) {
        count.all += 1;
        count.serving += usize::from(host.is_serving());
        count.lost += usize::from(host.stage == Stage::Lost);
    }
    count
}

fn purpose(name: &ids::Pool, pool: &Pool) -> String {
    if name == SPARE {
        return "New hosts enter here, and all services share it; it serves no callers.".to_owned();
    }
    match (&pool.service, pool.target) {
        (_, 0) => "The sheet in force has no hosts for it, so it is being emptied.".to_owned(),
        (Some(service), target) => {
            format!("The sheet asks for {target} hosts that serve {service}.")
        }
        (None, target) => format!("The sheet asks for {target} hosts without a service."),
    }
}

fn size(state: &State, pool: &Pool, count: Count) -> String {
    let target = usize::try_from(pool.target).unwrap_or(usize::MAX);
    let spare = state.hosts.values();
    let spare = spare.filter(|host| host.pool == SPARE && host.is_serving());
    if count.all < target {
        return format!(
            "It takes {} from the spare pool, which has {} free.",
            hosts(target - count.all),
            spare.count()
        );
    }
    if count.all > target {
        return format!(
            "It gives {} to the spare pool, as far as its service keeps its budget.",
            hosts(count.all - target)
        );
    }
    "It has its size.".to_owned()
}
