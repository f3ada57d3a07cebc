//! Reading of the cells of one row.

use std::ops::RangeInclusive;

use bytestring::ByteString;
use csv::ByteRecord;

use super::Intent;
use super::check::Declared;
use crate::finding::Findings;
use crate::ids;
use crate::name;

/// Columns of the sheet in the order in which examples ship them.
pub(super) const COLUMNS: [&str; 7] = [
    "intent", "name", "pool", "service", "hosts", "batch", "slots",
];
/// Column for remarks, which may be missing.
pub(super) const NOTE: &str = "note";
/// What a date in a name may look like, as findings describe it.
const DATE_FORM: &str = "a date written as 2026-12-31; the cell must have the format text";
/// Largest number of hosts in a row.
const HOSTS_MAX: u32 = 32_000;
/// Largest number of slots in a row, eight on each host.
const SLOTS_MAX: u32 = 8 * HOSTS_MAX;
/// Months as spreadsheets shorten them.
const MONTHS: [&str; 12] = [
    "jan", "feb", "mar", "apr", "may", "jun", "jul", "aug", "sep", "oct", "nov", "dec",
];

/// `Cells` is one row with the names of its columns.
pub(super) struct Cells<'a> {
    line: usize,
    header: &'a [String],
    record: &'a ByteRecord,
    findings: &'a mut Findings,
}

/// Reads the intent of a row, nothing when the row has findings.
pub(super) fn read(cells: &mut Cells<'_>, declared: &mut Declared) -> Option<Intent> {
    let clean = cells.check_text();
    let kind = cells.text("intent").to_lowercase();
    let used: &[&str] = match kind.as_str() {
        "budget" => &["service", "hosts"],
        "move" => &["name", "pool"],
        "pool" => &["name", "service", "hosts"],
        "quota" => &["name", "service", "slots"],
        "wave" => &["name", "pool", "batch"],
        _ => {
            cells.add_unknown(&kind);
            cells.declare(declared);
            return None;
        }
    };
    let unused = cells.check_unused(&kind, used);
    let intent = match kind.as_str() {
        "budget" => read_budget(cells),
        "move" => read_move(cells),
        "pool" => read_pool(cells),
        "quota" => read_quota(cells),
        _ => read_wave(cells),
    };
    let intent = intent.filter(|_| clean && unused);
    if intent.is_none() && kind == "pool" {
        cells.declare(declared);
    }
    intent
}

fn read_budget(cells: &mut Cells<'_>) -> Option<Intent> {
    let (service, hosts) = (cells.name("service"), cells.number("hosts", 1..=HOSTS_MAX));
    Some(Intent::Budget {
        service: service?,
        hosts: hosts?,
    })
}

fn read_move(cells: &mut Cells<'_>) -> Option<Intent> {
    let (host, pool) = (cells.name("name"), cells.name("pool"));
    Some(Intent::Move {
        host: host?,
        pool: pool?,
    })
}

fn read_pool(cells: &mut Cells<'_>) -> Option<Intent> {
    let (name, hosts) = (cells.name("name"), cells.number("hosts", 0..=HOSTS_MAX));
    let service = if cells.text("service").is_empty() {
        None
    } else {
        Some(cells.name("service")?)
    };
    Some(Intent::Pool {
        name: name?,
        service,
        hosts: hosts?,
    })
}

fn read_quota(cells: &mut Cells<'_>) -> Option<Intent> {
    let (caller, service) = (cells.name("name"), cells.name("service"));
    let slots = cells.number("slots", 1..=SLOTS_MAX);
    Some(Intent::Quota {
        caller: caller?,
        service: service?,
        slots: slots?,
    })
}

fn read_wave(cells: &mut Cells<'_>) -> Option<Intent> {
    let (name, pool) = (cells.name("name"), cells.name("pool"));
    let batch = cells.number("batch", 1..=HOSTS_MAX);
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

    fn has(&self, column: &str) -> bool {
        self.header.iter().any(|name| name == column)
    }

    fn text(&self, column: &str) -> String {
        let index = self.header.iter().position(|name| name == column);
        let bytes = index.and_then(|index| self.record.get(index));
        let text = String::from_utf8_lossy(bytes.unwrap_or_default());
        text.trim().to_owned()
    }

    fn add(&mut self, column: &str, value: &str, problem: &str, accepted: impl Into<String>) {
        self.findings
            .add(self.line, column, value, problem, accepted);
    }

    /// Notes the pool and the service of a row with findings, as other rows may name them.
    fn declare(&self, declared: &mut Declared) {
        declared.pools.insert(self.text("name").into());
        let service = ids::Service::from(self.text("service"));
        declared.services.insert(service.clone());
        declared.unsized_services.insert(service);
    }

    fn add_unknown(&mut self, kind: &str) {
        if !self.has("intent") {
            return;
        }
        let accepted = "budget, move, pool, quota or wave";
        let problem = if kind.is_empty() {
            "cell is empty"
        } else {
            "unknown intent"
        };
        self.add("intent", kind, problem, accepted);
    }

    /// Checks that all cells are text and stand under a column.
    fn check_text(&mut self) -> bool {
        let before = self.findings.items.len();
        for (index, bytes) in self.record.iter().enumerate() {
            let column = self.header.get(index).cloned().unwrap_or_default();
            let text = String::from_utf8_lossy(bytes);
            if std::str::from_utf8(bytes).is_err() {
                self.add(&column, &text, "not UTF-8", "text in UTF-8");
            } else if text.contains('\0') {
                self.add(&column, &text, "NUL in the text", "text without NUL");
            } else if column.is_empty() && !text.trim().is_empty() {
                self.add("", text.trim(), "cell without a column", "an empty cell");
            }
        }
        self.findings.items.len() == before
    }

    /// Checks that cells which the kind of row does not use are empty.
    fn check_unused(&mut self, kind: &str, used: &[&str]) -> bool {
        let before = self.findings.items.len();
        let unused = COLUMNS[1..].iter().filter(|column| !used.contains(*column));
        for column in unused {
            let cell = self.text(column);
            if !cell.is_empty() {
                let problem = format!("a {kind} row does not use this cell");
                let accepted = format!("an empty cell; a {kind} row has {}", used.join(", "));
                self.add(column, &cell, &problem, accepted);
            }
        }
        self.findings.items.len() == before
    }

    fn name(&mut self, column: &str) -> Option<ByteString> {
        let cell = self.text(column);
        // A column that is missing has its finding in the header.
        if !self.has(column) {
            return None;
        }
        if is_local_date(&cell) {
            let accepted = format!("{}, or {DATE_FORM}", name::SYNTAX);
            self.add(column, &cell, "looks like a local date", accepted);
            return None;
        }
        if let Err(problem) = name::check(&cell) {
            self.add(column, &cell, problem, name::SYNTAX);
            return None;
        }
        Some(ByteString::from(cell))
    }

    fn number(&mut self, column: &str, range: RangeInclusive<u32>) -> Option<u32> {
        let cell = self.text(column);
        if !self.has(column) {
            return None;
        }
        let digits = !cell.is_empty() && cell.bytes().all(|b| b.is_ascii_digit());
        let number = cell.parse().ok().filter(|number| range.contains(number));
        if digits && number.is_some() {
            return number;
        }
        let problem = if cell.is_empty() {
            "cell is empty"
        } else if is_local_date(&cell) {
            "looks like a local date"
        } else if digits {
            "number is out of range"
        } else {
            "not a whole number"
        };
        let accepted = format!("a whole number from {} to {}", range.start(), range.end());
        self.add(column, &cell, problem, accepted);
        None
    }
}

/// Gets whether a cell is a date in a form that depends on the place, such as 4/12/26 or 4-Dec.
fn is_local_date(cell: &str) -> bool {
    let parts: Vec<&str> = cell.split(['/', '.', '-', ' ']).collect();
    let number = |text: &str| text.parse::<u32>().unwrap_or(u32::MAX);
    let day = |text: &str| text.len() <= 2 && (1..=31).contains(&number(text));
    let year = |text: &str| matches!(text.len(), 2 | 4) && number(text) != u32::MAX;
    let month = |text: &str| MONTHS.contains(&text.to_lowercase().as_str());
    match parts.as_slice() {
        [first, second] => day(first) && month(second),
        [first, second, third] => {
            let ordered =
                (day(first) && (day(second) || month(second))) || (month(first) && day(second));
            ordered && year(third)
        }
        _ => false,
    }
}
