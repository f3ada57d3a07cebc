//! Explanation of a maintenance wave.

use super::{Explanation, format_hosts};
use crate::ids;
use crate::record::Phase;
use crate::state::{Host, Stage, State, Wave};

/// Longest list of host names in one sentence.
const LISTED_HOSTS_MAX: usize = 10;

pub(super) fn explain(state: &State, name: &ids::Wave) -> Option<Explanation> {
    let wave = state.waves.get(name)?;
    let members = || {
        state
            .hosts
            .iter()
            .filter(|(_, host)| host.pool == wave.pool)
    };
    let is_due = |host: &Host| host.maintained_offset < wave.sheet_offset;
    let maintained = members().filter(|(_, host)| !is_due(host)).count();
    let is_out = |host: &Host| !host.is_serving() && host.stage != Stage::Lost;
    let mut current_state = vec![
        format!(
            "It maintains the hosts of pool {}, at most {} at once.",
            wave.pool, wave.batch
        ),
        format!("It is {}: {}.", phase_name(wave.phase), wave.reason),
        format!(
            "{maintained} of {} are maintained.",
            format_hosts(members().count())
        ),
    ];
    current_state.extend(list_hosts(
        "Out of service",
        members().filter(|(_, host)| is_out(host)),
    ));
    let is_lost = |host: &Host| host.stage == Stage::Lost;
    current_state.extend(list_hosts(
        "Lost",
        members().filter(|(_, host)| is_lost(host)),
    ));
    let due = members().filter(|(_, host)| is_due(host) && host.is_serving());
    let title = match wave.phase {
        Phase::Aborted | Phase::Done => "Not maintained by this wave",
        Phase::Paused | Phase::Running => "Still due",
    };
    current_state.extend(list_hosts(title, due));
    Some(Explanation {
        subject: format!("wave {name}"),
        current_state,
        next_steps: list_next_steps(state, name, wave),
    })
}

fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Aborted => "aborted",
        Phase::Done => "done",
        Phase::Paused => "paused",
        Phase::Running => "running",
    }
}

fn list_hosts<'a>(
    title: &str,
    hosts: impl Iterator<Item = (&'a ids::Host, &'a Host)>,
) -> Option<String> {
    let mut names: Vec<&str> = hosts.map(|(name, _)| &**name).collect();
    if names.is_empty() {
        return None;
    }
    names.sort_unstable();
    let more = names.len().saturating_sub(LISTED_HOSTS_MAX);
    names.truncate(LISTED_HOSTS_MAX);
    let names = names.join(", ");
    Some(match more {
        0 => format!("{title}: {names}."),
        more => format!("{title}: {names} and {more} more."),
    })
}

fn list_next_steps(state: &State, name: &ids::Wave, wave: &Wave) -> Vec<String> {
    match wave.phase {
        Phase::Aborted | Phase::Done => {
            vec![
                "Nothing: this wave has ended; a wave with another name can maintain the pool again."
                    .to_owned(),
            ]
        }
        Phase::Paused => vec![format!(
            "No further host is drained until `persimmonctl wave resume {name}`; hosts that are out of \
             service finish their maintenance and return."
        )],
        Phase::Running => list_steps_while_running(state, wave),
    }
}

fn list_steps_while_running(state: &State, wave: &Wave) -> Vec<String> {
    let mut steps = vec![
        "The first host is maintained alone; the batch grows as maintained hosts return to service."
            .to_owned(),
    ];
    if let Some(service) = state.service_of(&wave.pool) {
        let budget = state.budgets.get(service).copied().unwrap_or(0);
        let serving = state.serving_hosts(service);
        if serving <= budget {
            steps.push(format!(
                "It waits: {service} has {serving} serving hosts and an availability \
                 budget of {budget}."
            ));
        }
    }
    if state
        .pools
        .get(&wave.pool)
        .is_none_or(|pool| pool.holder.is_none())
    {
        steps.push("It waits for a fleet instance to claim the pool.".to_owned());
    }
    steps
}
