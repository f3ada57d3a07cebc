//! What a sheet would change, and what of it can't be met today.

use serde::{Deserialize, Serialize};

use crate::ids;
use crate::map::Map;
use crate::record::Phase;
use crate::sheet::{Difference, Intent, Row, diff};
use crate::state::{Host, SPARE, Stage, State};

/// `Plan` is what a sheet would do to a state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Plan {
    /// Revision of the sheet in force.
    #[serde(rename = "base")]
    pub base_revision: ids::Revision,
    /// Operator who applied the sheet in force.
    pub operator: Option<ids::Operator>,
    /// Rows that differ from the sheet in force.
    pub differences: Vec<Difference>,
    /// Pools that would get or give hosts.
    #[serde(rename = "shifts")]
    pub resizes: Vec<Resize>,
    /// What the operator should know of the sheet.
    pub notes: Vec<Diagnostic>,
    /// Rows that can't be met today.
    pub unmet: Vec<Diagnostic>,
}

/// `Resize` is the change of a pool's hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Resize {
    /// Name of the pool.
    pub pool: ids::Pool,
    /// Hosts in it now that are not lost.
    #[serde(rename = "now")]
    pub current: u32,
    /// Hosts that the sheet asks for.
    pub target: u32,
}

/// `Diagnostic` is something to say about a row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Diagnostic {
    /// Line of the row, 0 when the sheet has no row for the subject.
    pub line: usize,
    /// What the row is about.
    pub subject: String,
    /// What there is to say.
    #[serde(rename = "text")]
    pub message: String,
}

/// Gets what a sheet would do to a state.
#[must_use]
pub fn plan(state: &State, rows: &[Row]) -> Plan {
    let in_force = state.sheet.as_ref();
    let before = in_force.map_or(&[][..], |sheet| &sheet.intents);
    let intents: Vec<Intent> = rows.iter().map(|row| row.intent.clone()).collect();
    let mut planner = Planner::new(state, rows);
    planner.fill_pools();
    for row in rows {
        planner.check(row);
    }
    planner.note_waves_left();
    Plan {
        base_revision: state.revision,
        operator: in_force.map(|sheet| sheet.operator.clone()),
        differences: diff(before, &intents),
        resizes: planner.resizes(),
        notes: planner.notes,
        unmet: planner.unmet,
    }
}

/// `Planner` compares the rows with the hosts that there are.
struct Planner<'a> {
    state: &'a State,
    rows: &'a [Row],
    /// Hosts of each pool that are not lost.
    hosts: Map<&'a ids::Pool, u32>,
    /// Sizes that the rows ask for.
    targets: Map<&'a ids::Pool, u32>,
    /// Hosts that each service would have today.
    reach: Map<&'a ids::Service, u32>,
    /// Slots guaranteed so far in each service.
    quotas: Map<&'a ids::Service, u32>,
    notes: Vec<Diagnostic>,
    unmet: Vec<Diagnostic>,
}

impl<'a> Planner<'a> {
    fn new(state: &'a State, rows: &'a [Row]) -> Self {
        let mut hosts: Map<&ids::Pool, u32> = Map::default();
        for host in state.hosts.values().filter(|host| is_usable(host)) {
            *hosts.entry(&host.pool).or_default() += 1;
        }
        let pools = rows.iter().filter_map(|row| match &row.intent {
            Intent::Pool { name, hosts, .. } => Some((name, *hosts)),
            _ => None,
        });
        Self {
            state,
            rows,
            hosts,
            targets: pools.collect(),
            reach: Map::default(),
            quotas: Map::default(),
            notes: Vec::new(),
            unmet: Vec::new(),
        }
    }

    fn hosts_of(&self, pool: &ids::Pool) -> u32 {
        self.hosts.get(pool).copied().unwrap_or(0)
    }

    fn target_of(&self, pool: &ids::Pool) -> u32 {
        self.targets.get(pool).copied().unwrap_or(0)
    }

    /// Hands the hosts that are free to the pools that grow, in the order of the rows.
    fn fill_pools(&mut self) {
        let surplus = self.hosts.iter().map(|(pool, hosts)| {
            let target = if **pool == SPARE {
                0
            } else {
                self.target_of(pool)
            };
            hosts.saturating_sub(target)
        });
        let mut free: u32 = surplus.sum();
        for row in self.rows {
            let Intent::Pool {
                name,
                service,
                hosts,
            } = &row.intent
            else {
                continue;
            };
            let have = self.hosts_of(name).min(*hosts);
            let wanted = hosts - have;
            let given = wanted.min(free);
            free -= given;
            if let Some(service) = service {
                *self.reach.entry(service).or_default() += have + given;
            }
            if given < wanted {
                let text = format!(
                    "needs {wanted} more hosts, and only {given} are free for it; enroll hosts \
                     or make another pool smaller"
                );
                self.refuse(row, text);
            }
        }
    }

    fn check(&mut self, row: &'a Row) {
        match &row.intent {
            Intent::Budget { service, hosts } => self.check_budget(row, service, *hosts),
            Intent::Move { host, pool } => self.check_move(row, host, pool),
            Intent::Pool { .. } => {}
            Intent::Quota { service, slots, .. } => self.check_quota(row, service, *slots),
            Intent::Wave { name, pool, .. } => self.check_wave(row, name, pool),
        }
    }

    fn check_budget(&mut self, row: &Row, service: &ids::Service, hosts: u32) {
        let reach = self.reach.get(service).copied().unwrap_or(0);
        if reach < hosts {
            let text = format!("only {reach} of the promised hosts can serve {service} today");
            self.refuse(row, text);
        }
    }

    fn check_move(&mut self, row: &Row, host: &ids::Host, pool: &ids::Pool) {
        let Some(entry) = self.state.hosts.get(host) else {
            self.refuse(row, "the platform has not listed this host".to_owned());
            return;
        };
        if entry.pool == *pool {
            return;
        }
        match &entry.stage {
            Stage::Draining { wave, .. } => {
                let text =
                    format!("the host is drained by wave {wave}; it can move when it is back");
                self.refuse(row, text);
            }
            Stage::Lost => self.refuse(row, "the host is lost".to_owned()),
            Stage::Serving => {}
            Stage::Stopping { .. } => {
                self.refuse(
                    row,
                    "the host restarts; it can move when it is back".to_owned(),
                );
            }
        }
    }

    fn check_quota(&mut self, row: &Row, service: &'a ids::Service, slots: u32) {
        let sum = self.quotas.entry(service).or_default();
        *sum = sum.saturating_add(slots);
        let sum = *sum;
        let each = self.state.hosts.values().map(|host| u32::from(host.slots));
        let each = each.max().unwrap_or(0);
        let reach = self.reach.get(service).copied().unwrap_or(0);
        let have = reach.saturating_mul(each);
        if sum > have {
            let text = format!("guarantees {sum} slots in {service}, which has {have} today");
            self.refuse(row, text);
        }
    }

    fn check_wave(&mut self, row: &Row, name: &ids::Wave, pool: &ids::Pool) {
        if let Some(wave) = self.state.waves.get(name) {
            if wave.pool != *pool {
                let text = format!(
                    "a wave of this name is over pool {}; give this one another name",
                    wave.pool
                );
                self.refuse(row, text);
                return;
            }
            if matches!(wave.phase, Phase::Aborted | Phase::Done) {
                let text = format!(
                    "is {:?} and does not run again; a wave of another name would",
                    wave.phase
                );
                self.note(row.line, &row.intent, text);
                return;
            }
        }
        if let Some(text) = self.headroom_problem(pool) {
            self.refuse(row, text);
        }
    }

    /// Gets why a wave over a pool could take no host out of service.
    fn headroom_problem(&self, pool: &ids::Pool) -> Option<String> {
        let find = |row: &'a Row| match &row.intent {
            Intent::Pool { name, service, .. } if name == pool => service.as_ref(),
            _ => None,
        };
        let service = self.rows.iter().find_map(find)?;
        let promise = |row: &Row| match &row.intent {
            Intent::Budget { service: of, hosts } if of == service => Some(*hosts),
            _ => None,
        };
        let promised = self.rows.iter().find_map(promise)?;
        let reach = self.reach.get(service).copied().unwrap_or(0);
        (reach <= promised).then(|| {
            format!(
                "the budget leaves no headroom: {service} promises {promised} hosts and has {reach}"
            )
        })
    }

    /// Notes waves that go on although the sheet has no row for them.
    fn note_waves_left(&mut self) {
        let named = |name: &ids::Wave| {
            let is_it =
                |row: &Row| matches!(&row.intent, Intent::Wave { name: of, .. } if of == name);
            self.rows.iter().any(is_it)
        };
        let open = |phase| matches!(phase, Phase::Paused | Phase::Running);
        let waves = self.state.waves.iter();
        let mut left: Vec<(&ids::Wave, Phase)> = waves
            .filter(|(name, wave)| open(wave.phase) && !named(name))
            .map(|(name, wave)| (name, wave.phase))
            .collect();
        left.sort_by_key(|(name, _)| *name);
        for (name, phase) in left {
            self.notes.push(Diagnostic {
                line: 0,
                subject: format!("wave {name}"),
                message: format!("has no row and stays {phase:?}; abort it to end it"),
            });
        }
    }

    /// Gets the pools whose hosts would change, those without a row included.
    fn resizes(&self) -> Vec<Resize> {
        let mut names: Vec<&ids::Pool> = self.targets.keys().copied().collect();
        let retired = self
            .hosts
            .keys()
            .filter(|pool| !self.targets.contains_key(*pool));
        names.extend(retired.filter(|pool| ***pool != SPARE));
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

    fn refuse(&mut self, row: &Row, text: String) {
        self.unmet.push(Diagnostic {
            line: row.line,
            subject: row.intent.subject(),
            message: text,
        });
    }

    fn note(&mut self, line: usize, intent: &Intent, text: String) {
        self.notes.push(Diagnostic {
            line,
            subject: intent.subject(),
            message: text,
        });
    }
}

/// Gets whether a host counts for the size of its pool.
fn is_usable(host: &Host) -> bool {
    host.stage != Stage::Lost
}
