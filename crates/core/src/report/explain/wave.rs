//! Explanation of a wave.

use super::{Explanation, hosts};
use crate::ids;
use crate::record::Phase;
use crate::state::{Host, Stage, State, Wave};

/// Names of hosts listed, at most.
const LISTED_MAX: usize = 10;

pub(super) fn explain(state: &State, name: &ids::Wave) -> Option<Explanation> {
    let wave = state.waves.get(name)?;
    let members = || {
        state
            .hosts
            .iter()
            .filter(|(_, host)| host.pool == wave.pool)
    };
    let is_due = |host: &Host| host.maintained_offset < wave.sheet_offset;
    let done = members().filter(|(_, host)| !is_due(host)).count();
    let out = |host: &Host| !host.is_serving() && host.stage != Stage::Lost;
    let mut now = vec![
        format!(
            "It maintains the hosts of pool {}, at most {} at once.",
            wave.pool, wave.batch
        ),
        format!("It is {}: {}.", phase(wave.phase), wave.reason),
        format!("{done} of {} are maintained.", hosts(members().count())),
    ];
    now.extend(list("Out now", members().filter(|(_, host)| out(host))));
    let lost = |host: &Host| host.stage == Stage::Lost;
    now.extend(list("Lost", members().filter(|(_, host)| lost(host))));
    let due = members().filter(|(_, host)| is_due(host) && host.is_serving());
    let title = match wave.phase {
        Phase::Aborted | Phase::Done => "Not maintained by it",
        Phase::Paused | Phase::Running => "Still due",
    };
    now.extend(list(title, due));
    Some(Explanation {
        subject: format!("wave {name}"),
        current_state: now,
        next_steps: next(state, name, wave),
    })
}

fn phase(phase: Phase) -> &'static str {
    match phase {
        Phase::Aborted => "aborted",
        Phase::Done => "done",
        Phase::Paused => "paused",
        Phase::Running => "running",
    }
}

fn list<'a>(title: &str, hosts: impl Iterator<Item = (&'a ids::Host, &'a Host)>) -> Option<String> {
    let mut names: Vec<&str> = hosts.map(|(name, _)| &**name).collect();
    if names.is_empty() {
        return None;
    }
    names.sort_unstable();
    let more = names.len().saturating_sub(LISTED_MAX);
    names.truncate(LISTED_MAX);
    let names = names.join(", ");
    Some(match more {
        0 => format!("{title}: {names}."),
        more => format!("{title}: {names} and {more} more."),
    })
}

fn next(state: &State, name: &ids::Wave, wave: &Wave) -> Vec<String> {
    match wave.phase {
        Phase::Aborted | Phase::Done => {
            vec!["Nothing; a wave of another name maintains the pool again.".to_owned()]
        }
        Phase::Paused => vec![format!(
            "No host is taken out until `persimmonctl wave resume {name}`; hosts that are out finish \
             and return."
        )],
        Phase::Running => running(state, wave),
    }
}

fn running(state: &State, wave: &Wave) -> Vec<String> {
    let mut next = vec![
        "The first host goes alone; the batch grows with the hosts that come back.".to_owned(),
    ];
    if let Some(service) = state.service_of(&wave.pool) {
        let promised = state.budgets.get(service).copied().unwrap_or(0);
        let serving = state.serving_hosts(service);
        if serving <= promised {
            next.push(format!(
                "It waits: {service} has {serving} serving hosts and promises {promised}."
            ));
        }
    }
    if state
        .pools
        .get(&wave.pool)
        .is_none_or(|pool| pool.holder.is_none())
    {
        next.push("It waits for a fleet instance to claim the pool.".to_owned());
    }
    next
}
