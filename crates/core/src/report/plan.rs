//! Plan of a sheet: its changes, and the rows that the available hosts can't meet.

use serde::{Deserialize, Serialize};

use crate::ids;
use crate::map::Map;
use crate::record::Phase;
use crate::sheet::{Difference, Intent, Row, diff};
use crate::state::{Host, SPARE, Stage, State};

/// `Plan` lists the effects of applying a sheet to a state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Plan {
    /// Revision of the sheet in force.
    #[serde(rename = "base")]
    pub base_revision: ids::Revision,
    /// Operator who applied the sheet in force.
    pub operator: Option<ids::Operator>,
    /// Differences between the sheet in force and the planned one.
    pub differences: Vec<Difference>,
    /// Pools whose number of hosts would change.
    #[serde(rename = "shifts")]
    pub resizes: Vec<Resize>,
    /// Diagnostics that do not prevent the sheet from being applied.
    pub notes: Vec<Diagnostic>,
    /// Rows that the available hosts can't meet.
    pub unmet: Vec<Diagnostic>,
}

/// `Resize` is a change of the number of hosts of a pool.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Resize {
    /// Name of the pool.
    pub pool: ids::Pool,
    /// Number of its hosts that are not lost.
    #[serde(rename = "now")]
    pub current: u32,
    /// Number of hosts that the sheet asks for.
    pub target: u32,
}

/// `Diagnostic` is a message about a row of the sheet or about its subject.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Diagnostic {
    /// Line of the row, counted from 1; 0 when the sheet has no row for the subject.
    pub line: usize,
    /// Object that the row is about, such as a pool or a wave.
    pub subject: String,
    /// Text of the message.
    #[serde(rename = "text")]
    pub message: String,
}

/// Plans a sheet against a state.
#[must_use]
pub fn plan(state: &State, rows: &[Row]) -> Plan {
    let in_force = state.sheet.as_ref();
    let before = in_force.map_or(&[][..], |sheet| &sheet.intents);
    let intents: Vec<Intent> = rows.iter().map(|row| row.intent.clone()).collect();
    let mut planner = Planner::new(state, rows);
    planner.fill_pools();
    for row in rows {
        planner.check_row(row);
    }
    planner.note_waves_without_row();
    Plan {
        base_revision: state.revision,
        operator: in_force.map(|sheet| sheet.operator.clone()),
        differences: diff(before, &intents),
        resizes: planner.resizes(),
        notes: planner.notes,
        unmet: planner.unmet,
    }
}

/// `Planner` compares the rows of a sheet with the hosts of a state.
struct Planner<'a> {
    state: &'a State,
    rows: &'a [Row],
    /// Number of hosts of each pool that are not lost.
    usable_host_counts: Map<&'a ids::Pool, u32>,
    /// Number of hosts that the rows ask for in each pool.
    targets: Map<&'a ids::Pool, u32>,
    /// Number of hosts that each service would have once the surplus hosts are assigned.
    planned_hosts: Map<&'a ids::Service, u32>,
    /// Slots guaranteed in each service by the rows checked so far.
    quotas: Map<&'a ids::Service, u32>,
    notes: Vec<Diagnostic>,
    unmet: Vec<Diagnostic>,
}

impl<'a> Planner<'a> {
    fn new(state: &'a State, rows: &'a [Row]) -> Self {
        let mut usable_host_counts: Map<&ids::Pool, u32> = Map::default();
        for host in state.hosts.values().filter(|host| is_usable(host)) {
            *usable_host_counts.entry(&host.pool).or_default() += 1;
        }
        let pools = rows.iter().filter_map(|row| match &row.intent {
            Intent::Pool { name, hosts, .. } => Some((name, *hosts)),
            _ => None,
        });
        Self {
            state,
            rows,
            usable_host_counts,
            targets: pools.collect(),
            planned_hosts: Map::default(),
            quotas: Map::default(),
            notes: Vec::new(),
            unmet: Vec::new(),
        }
    }

    fn hosts_of(&self, pool: &ids::Pool) -> u32 {
        self.usable_host_counts.get(pool).copied().unwrap_or(0)
    }

    fn target_of(&self, pool: &ids::Pool) -> u32 {
        self.targets.get(pool).copied().unwrap_or(0)
    }

    /// Assigns surplus hosts to the pools that grow, in the order of the rows.
    fn fill_pools(&mut self) {
        let surpluses = self.usable_host_counts.iter().map(|(pool, hosts)| {
            let target = if **pool == SPARE {
                0
            } else {
                self.target_of(pool)
            };
            hosts.saturating_sub(target)
        });
        let mut unassigned: u32 = surpluses.sum();
        for row in self.rows {
            let Intent::Pool {
                name,
                service,
                hosts,
            } = &row.intent
            else {
                continue;
            };
            let present = self.hosts_of(name).min(*hosts);
            let missing = hosts - present;
            let assigned = missing.min(unassigned);
            unassigned -= assigned;
            if let Some(service) = service {
                *self.planned_hosts.entry(service).or_default() += present + assigned;
            }
            if assigned < missing {
                let text = format!(
                    "needs {missing} more hosts, and only {assigned} are free for it; enroll hosts \
                     or make another pool smaller"
                );
                self.add_unmet(row, text);
            }
        }
    }

    fn check_row(&mut self, row: &'a Row) {
        match &row.intent {
            Intent::Budget { service, hosts } => self.check_budget(row, service, *hosts),
            Intent::Move { host, pool } => self.check_move(row, host, pool),
            Intent::Pool { .. } => {}
            Intent::Quota { service, slots, .. } => self.check_quota(row, service, *slots),
            Intent::Wave { name, pool, .. } => self.check_wave(row, name, pool),
        }
    }

    fn check_budget(&mut self, row: &Row, service: &ids::Service, hosts: u32) {
        let planned = self.planned_hosts.get(service).copied().unwrap_or(0);
        if planned < hosts {
            let text = format!(
                "the availability budget requires {hosts} hosts, only {planned} can serve {service}"
            );
            self.add_unmet(row, text);
        }
    }

    fn check_move(&mut self, row: &Row, host: &ids::Host, pool: &ids::Pool) {
        let Some(entry) = self.state.hosts.get(host) else {
            self.add_unmet(row, "the platform has not listed this host".to_owned());
            return;
        };
        if entry.pool == *pool {
            return;
        }
        match &entry.stage {
            Stage::Draining { wave, .. } => {
                let text = format!(
                    "the host is being drained by wave {wave}; it can move once it is back in service"
                );
                self.add_unmet(row, text);
            }
            Stage::Lost => self.add_unmet(row, "the host is lost".to_owned()),
            Stage::Serving => {}
            Stage::Stopping { .. } => {
                self.add_unmet(
                    row,
                    "the host is restarting; it can move once it is back in service".to_owned(),
                );
            }
        }
    }

    fn check_quota(&mut self, row: &Row, service: &'a ids::Service, slots: u32) {
        let guaranteed = self.quotas.entry(service).or_default();
        *guaranteed = guaranteed.saturating_add(slots);
        let guaranteed = *guaranteed;
        let host_slots = self.state.hosts.values().map(|host| u32::from(host.slots));
        let slots_per_host = host_slots.max().unwrap_or(0);
        let planned = self.planned_hosts.get(service).copied().unwrap_or(0);
        let available_slots = planned.saturating_mul(slots_per_host);
        if guaranteed > available_slots {
            let text = format!(
                "guarantees {guaranteed} slots in {service}, which has {available_slots} today"
            );
            self.add_unmet(row, text);
        }
    }

    fn check_wave(&mut self, row: &Row, name: &ids::Wave, pool: &ids::Pool) {
        if let Some(wave) = self.state.waves.get(name) {
            if wave.pool != *pool {
                let text = format!(
                    "a wave of this name maintains pool {}; give this one another name",
                    wave.pool
                );
                self.add_unmet(row, text);
                return;
            }
            if matches!(wave.phase, Phase::Aborted | Phase::Done) {
                let text = format!(
                    "is {:?} and does not run again; a wave with another name can",
                    wave.phase
                );
                self.add_note(row.line, &row.intent, text);
                return;
            }
        }
        if let Some(text) = self.describe_missing_headroom(pool) {
            self.add_unmet(row, text);
        }
    }

    /// Returns why a wave could take no host of a pool out of service, `None` if it could.
    fn describe_missing_headroom(&self, pool: &ids::Pool) -> Option<String> {
        let service_of_row = |row: &'a Row| match &row.intent {
            Intent::Pool { name, service, .. } if name == pool => service.as_ref(),
            _ => None,
        };
        let service = self.rows.iter().find_map(service_of_row)?;
        let budget_of_row = |row: &Row| match &row.intent {
            Intent::Budget { service: of, hosts } if of == service => Some(*hosts),
            _ => None,
        };
        let budget = self.rows.iter().find_map(budget_of_row)?;
        let planned = self.planned_hosts.get(service).copied().unwrap_or(0);
        (planned <= budget).then(|| {
            format!(
                "the budget leaves no headroom: {service} has {planned} hosts and the \
                 budget requires {budget}"
            )
        })
    }

    /// Adds a note for each wave that continues although the sheet has no row for it.
    fn note_waves_without_row(&mut self) {
        let has_row = |name: &ids::Wave| {
            let names_wave =
                |row: &Row| matches!(&row.intent, Intent::Wave { name: of, .. } if of == name);
            self.rows.iter().any(names_wave)
        };
        let is_open = |phase| matches!(phase, Phase::Paused | Phase::Running);
        let waves = self.state.waves.iter();
        let mut unlisted: Vec<(&ids::Wave, Phase)> = waves
            .filter(|(name, wave)| is_open(wave.phase) && !has_row(name))
            .map(|(name, wave)| (name, wave.phase))
            .collect();
        unlisted.sort_by_key(|(name, _)| *name);
        for (name, phase) in unlisted {
            self.notes.push(Diagnostic {
                line: 0,
                subject: format!("wave {name}"),
                message: format!("has no row and stays {phase:?}; abort it to end it"),
            });
        }
    }

    /// Returns the pools whose number of hosts would change, including pools without a row.
    fn resizes(&self) -> Vec<Resize> {
        let mut names: Vec<&ids::Pool> = self.targets.keys().copied().collect();
        let without_row = self
            .usable_host_counts
            .keys()
            .filter(|pool| !self.targets.contains_key(*pool));
        names.extend(without_row.filter(|pool| ***pool != SPARE));
        names.sort();
        let resize = |pool: &ids::Pool| Resize {
            pool: pool.clone(),
            current: self.hosts_of(pool),
            target: self.target_of(pool),
        };
        let resizes = names.into_iter().map(resize);
        resizes
            .filter(|resize| resize.current != resize.target)
            .collect()
    }

    fn add_unmet(&mut self, row: &Row, text: String) {
        self.unmet.push(Diagnostic {
            line: row.line,
            subject: row.intent.subject(),
            message: text,
        });
    }

    fn add_note(&mut self, line: usize, intent: &Intent, text: String) {
        self.notes.push(Diagnostic {
            line,
            subject: intent.subject(),
            message: text,
        });
    }
}

/// Returns whether a host counts towards the size of its pool.
fn is_usable(host: &Host) -> bool {
    host.stage != Stage::Lost
}
