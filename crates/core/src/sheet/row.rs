//! Parser of one row of a sheet.

use std::ops::RangeInclusive;

use bytestring::ByteString;
use csv::ByteRecord;

use super::check::Declared;
use super::{HOSTS_MAX, Intent, SLOTS_MAX};
use crate::finding::Findings;
use crate::ids;
use crate::name;

/// Required columns of the sheet, in the order that the examples use.
pub(super) const COLUMNS: [&str; 7] = [
    "intent", "name", "pool", "service", "hosts", "batch", "slots",
];
/// Optional column for remarks, which is ignored.
pub(super) const NOTE_COLUMN: &str = "note";
/// Accepted form of a date in a name, as findings describe it.
const ACCEPTED_DATE: &str = "a date written as 2026-12-31; the cell must have the format text";
/// Abbreviated months, as spreadsheets write them in dates.
const MONTHS: [&str; 12] = [
    "jan", "feb", "mar", "apr", "may", "jun", "jul", "aug", "sep", "oct", "nov", "dec",
];

/// `Cells` gives access to the cells of one row by column name, and collects its findings.
pub(super) struct Cells<'a> {
    line: usize,
    header: &'a [String],
    record: &'a ByteRecord,
    findings: &'a mut Findings,
}

/// Reads the intent of a row; returns `None` when the row has findings.
pub(super) fn read_intent(cells: &mut Cells<'_>, declared: &mut Declared) -> Option<Intent> {
    let is_text = cells.check_text();
    let kind = cells.cell_text("intent").to_lowercase();
    let used: &[&str] = match kind.as_str() {
        "budget" => &["service", "hosts"],
        "move" => &["name", "pool"],
        "pool" => &["name", "service", "hosts"],
        "quota" => &["name", "service", "slots"],
        "wave" => &["name", "pool", "batch"],
        _ => {
            cells.add_unknown_intent(&kind);
            cells.declare_pool(declared);
            return None;
        }
    };
    let has_only_used_cells = cells.check_unused(&kind, used);
    let intent = match kind.as_str() {
        "budget" => read_budget(cells),
        "move" => read_move(cells),
        "pool" => read_pool(cells),
        "quota" => read_quota(cells),
        _ => read_wave(cells),
    };
    let intent = intent.filter(|_| is_text && has_only_used_cells);
    if intent.is_none() && kind == "pool" {
        cells.declare_pool(declared);
    }
    intent
}

fn read_budget(cells: &mut Cells<'_>) -> Option<Intent> {
    let (service, hosts) = (
        cells.read_name("service"),
        cells.read_number("hosts", 1..=HOSTS_MAX),
    );
    Some(Intent::Budget {
        service: service?,
        hosts: hosts?,
    })
}

fn read_move(cells: &mut Cells<'_>) -> Option<Intent> {
    let (host, pool) = (cells.read_name("name"), cells.read_name("pool"));
    Some(Intent::Move {
        host: host?,
        pool: pool?,
    })
}

fn read_pool(cells: &mut Cells<'_>) -> Option<Intent> {
    let (name, hosts) = (
        cells.read_name("name"),
        cells.read_number("hosts", 0..=HOSTS_MAX),
    );
    let service = if cells.cell_text("service").is_empty() {
        None
    } else {
        Some(cells.read_name("service")?)
    };
    Some(Intent::Pool {
        name: name?,
        service,
        hosts: hosts?,
    })
}

fn read_quota(cells: &mut Cells<'_>) -> Option<Intent> {
    let (caller, service) = (cells.read_name("name"), cells.read_name("service"));
    let slots = cells.read_number("slots", 1..=SLOTS_MAX);
    Some(Intent::Quota {
        caller: caller?,
        service: service?,
        slots: slots?,
    })
}

fn read_wave(cells: &mut Cells<'_>) -> Option<Intent> {
    let (name, pool) = (cells.read_name("name"), cells.read_name("pool"));
    let batch = cells.read_number("batch", 1..=HOSTS_MAX);
    Some(Intent::Wave {
        name: name?,
        pool: pool?,
        batch: batch?,
    })
}

impl<'a> Cells<'a> {
    pub(super) fn new(
        line: usize,
        header: &'a [String],
        record: &'a ByteRecord,
        findings: &'a mut Findings,
    ) -> Self {
        Self {
            line,
            header,
            record,
            findings,
        }
    }

    fn has_column(&self, column: &str) -> bool {
        self.header.iter().any(|name| name == column)
    }

    fn cell_text(&self, column: &str) -> String {
        let index = self.header.iter().position(|name| name == column);
        let bytes = index.and_then(|index| self.record.get(index));
        let text = String::from_utf8_lossy(bytes.unwrap_or_default());
        text.trim().to_owned()
    }

    fn add_finding(
        &mut self,
        column: &str,
        value: &str,
        problem: &str,
        accepted: impl Into<String>,
    ) {
        self.findings
            .add(self.line, column, value, problem, accepted);
    }

    /// Records the pool and the service of a row with findings, so that rows that refer to them get
    /// no finding for that.
    fn declare_pool(&self, declared: &mut Declared) {
        declared.pools.insert(self.cell_text("name").into());
        let service = ids::Service::from(self.cell_text("service"));
        declared.services.insert(service.clone());
        declared.services_of_unknown_size.insert(service);
    }

    fn add_unknown_intent(&mut self, kind: &str) {
        if !self.has_column("intent") {
            return;
        }
        let accepted = "budget, move, pool, quota or wave";
        let problem = if kind.is_empty() {
            "cell is empty"
        } else {
            "unknown intent"
        };
        self.add_finding("intent", kind, problem, accepted);
    }

    /// Checks that each cell is UTF-8 text without NUL and belongs to a column.
    fn check_text(&mut self) -> bool {
        let count_before = self.findings.items.len();
        for (index, bytes) in self.record.iter().enumerate() {
            let column = self.header.get(index).cloned().unwrap_or_default();
            let text = String::from_utf8_lossy(bytes);
            if std::str::from_utf8(bytes).is_err() {
                self.add_finding(&column, &text, "not UTF-8", "text in UTF-8");
            } else if text.contains('\0') {
                self.add_finding(&column, &text, "NUL in the text", "text without NUL");
            } else if column.is_empty() && !text.trim().is_empty() {
                self.add_finding("", text.trim(), "cell without a column", "an empty cell");
            }
        }
        self.findings.items.len() == count_before
    }

    /// Checks that the cells that a kind of row does not use are empty.
    fn check_unused(&mut self, kind: &str, used: &[&str]) -> bool {
        let count_before = self.findings.items.len();
        let unused = COLUMNS[1..].iter().filter(|column| !used.contains(*column));
        for column in unused {
            let cell = self.cell_text(column);
            if !cell.is_empty() {
                let problem = format!("a {kind} row does not use this cell");
                let accepted = format!("an empty cell; a {kind} row has {}", used.join(", "));
                self.add_finding(column, &cell, &problem, accepted);
            }
        }
        self.findings.items.len() == count_before
    }

    fn read_name(&mut self, column: &str) -> Option<ByteString> {
        let cell = self.cell_text(column);
        // The check of the header has added a finding for a missing column already.
        if !self.has_column(column) {
            return None;
        }
        if is_local_date(&cell) {
            let accepted = format!("{}, or {ACCEPTED_DATE}", name::SYNTAX);
            self.add_finding(column, &cell, "looks like a local date", accepted);
            return None;
        }
        if let Err(problem) = name::check(&cell) {
            self.add_finding(column, &cell, problem, name::SYNTAX);
            return None;
        }
        Some(ByteString::from(cell))
    }

    fn read_number(&mut self, column: &str, range: RangeInclusive<u32>) -> Option<u32> {
        let cell = self.cell_text(column);
        if !self.has_column(column) {
            return None;
        }
        let is_digits = !cell.is_empty() && cell.bytes().all(|b| b.is_ascii_digit());
        let number = cell.parse().ok().filter(|number| range.contains(number));
        if is_digits && number.is_some() {
            return number;
        }
        let problem = if cell.is_empty() {
            "cell is empty"
        } else if is_local_date(&cell) {
            "looks like a local date"
        } else if is_digits {
            "number is out of range"
        } else {
            "not a whole number"
        };
        let accepted = format!("a whole number from {} to {}", range.start(), range.end());
        self.add_finding(column, &cell, problem, accepted);
        None
    }
}

/// Returns whether a cell is a date in a format that depends on the locale, such as 4/12/26 or
/// 4-Dec.
fn is_local_date(cell: &str) -> bool {
    let parts: Vec<&str> = cell.split(['/', '.', '-', ' ']).collect();
    let parse_number = |text: &str| text.parse::<u32>().unwrap_or(u32::MAX);
    let is_day = |text: &str| text.len() <= 2 && (1..=31).contains(&parse_number(text));
    let is_year = |text: &str| matches!(text.len(), 2 | 4) && parse_number(text) != u32::MAX;
    let is_month = |text: &str| MONTHS.contains(&text.to_lowercase().as_str());
    match parts.as_slice() {
        [first, second] => is_day(first) && is_month(second),
        [first, second, third] => {
            let is_day_and_month = (is_day(first) && (is_day(second) || is_month(second)))
                || (is_month(first) && is_day(second));
            is_day_and_month && is_year(third)
        }
        _ => false,
    }
}
