//! Checks of the rows of a sheet against each other.

use super::{Intent, Row};
use crate::finding::Findings;
use crate::ids;
use crate::map::{Map, Set};
use crate::state::SPARE;

/// `Declared` is what rows that could not be read would define, as far as it is known.
#[derive(Default)]
pub(super) struct Declared {
    pub(super) pools: Set<ids::Pool>,
    pub(super) services: Set<ids::Service>,
    /// Services whose hosts can't be summed up.
    pub(super) unsized_services: Set<ids::Service>,
}

/// Adds the findings of rows that do not fit together.
pub(super) fn check(rows: &[Row], mut declared: Declared, findings: &mut Findings) {
    for row in rows {
        if let Intent::Pool { name, service, .. } = &row.intent {
            declared.pools.insert(name.clone());
            declared.services.extend(service.clone());
        }
    }
    check_subjects(rows, findings);
    for row in rows {
        check_references(row, &declared, findings);
    }
    check_sizes(rows, &declared, findings);
}

/// Checks that one row stands for each subject.
fn check_subjects(rows: &[Row], findings: &mut Findings) {
    let mut first: Map<String, usize> = Map::default();
    for row in rows {
        let subject = row.intent.subject();
        if let Some(line) = first.get(&subject) {
            let problem = format!("a row for it stands on line {line} too");
            findings.add(row.line, "", &subject, problem, "one row for each");
        } else {
            first.insert(subject, row.line);
        }
    }
}

/// Checks that a row names only pools and services that the sheet defines.
fn check_references(row: &Row, declared: &Declared, findings: &mut Findings) {
    let mut add = |column: &str, value: &str, problem: &str, accepted: &str| {
        findings.add(row.line, column, value, problem, accepted);
    };
    match &row.intent {
        Intent::Pool { name, .. } if name == SPARE => {
            let problem = "the pool of hosts without a task has no size of its own";
            add("name", name, problem, "another name");
        }
        Intent::Wave { pool, .. } if pool == SPARE => {
            let problem = "a wave can't maintain the spare pool";
            add("pool", pool, problem, "a pool of this sheet");
        }
        Intent::Move { pool, .. } | Intent::Wave { pool, .. }
            if pool != SPARE && !declared.pools.contains(pool) =>
        {
            let problem = "no row defines this pool";
            add("pool", pool, problem, "a pool of this sheet");
        }
        Intent::Budget { service, .. } | Intent::Quota { service, .. }
            if !declared.services.contains(service) =>
        {
            let problem = "no pool runs this service";
            add("service", service, problem, "a service of this sheet");
        }
        _ => {}
    }
}

/// Checks budgets, batches and moves against the sizes of the pools.
fn check_sizes(rows: &[Row], declared: &Declared, findings: &mut Findings) {
    let mut pools: Map<&ids::Pool, u32> = Map::default();
    let mut services: Map<&ids::Service, u32> = Map::default();
    for row in rows {
        if let Intent::Pool {
            name,
            service,
            hosts,
        } = &row.intent
        {
            pools.insert(name, *hosts);
            if let Some(service) = service {
                *services.entry(service).or_default() += hosts;
            }
        }
    }
    let mut moved: Map<&ids::Pool, u32> = Map::default();
    for row in rows {
        match &row.intent {
            Intent::Budget { service, hosts } => {
                let known = !declared.unsized_services.contains(service);
                let size = services.get(service).filter(|size| **size < *hosts);
                if let Some(size) = size.filter(|_| known) {
                    let problem = format!("the pools of {service} have only {size} hosts");
                    add_number(row, "hosts", *hosts, &problem, *size, findings);
                }
            }
            Intent::Wave { pool, batch, .. } => {
                if let Some(size) = pools.get(pool).filter(|size| **size < *batch) {
                    let problem = format!("pool {pool} has only {size} hosts");
                    add_number(row, "batch", *batch, &problem, *size, findings);
                }
            }
            Intent::Move { pool, .. } => {
                let count = moved.entry(pool).or_default();
                *count += 1;
                if let Some(size) = pools.get(pool).filter(|size| **size < *count) {
                    let problem = format!("moves put {count} hosts into a pool of {size}");
                    let accepted = format!("at most {size} moves to {pool}");
                    findings.add(row.line, "pool", pool, problem, accepted);
                }
            }
            Intent::Pool { .. } | Intent::Quota { .. } => {}
        }
    }
}

fn add_number(
    row: &Row,
    column: &str,
    seen: u32,
    problem: &str,
    most: u32,
    findings: &mut Findings,
) {
    let accepted = if most == 0 {
        "no such row while the pool has no hosts".to_owned()
    } else {
        format!("a whole number from 1 to {most}")
    };
    findings.add(row.line, column, &seen.to_string(), problem, accepted);
}
