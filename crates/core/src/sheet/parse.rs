//! Reading of a sheet, with all findings reported together.

use bytestring::ByteString;

use super::Intent;
use crate::errors::Result;
use crate::finding::Findings;
use crate::map::Set;

/// Columns of the sheet in the order in which spreadsheets ship them.
const COLUMNS: [&str; 7] = [
    "intent", "name", "pool", "service", "hosts", "batch", "slots",
];
/// Largest sheet accepted, in bytes.
const SHEET_MAX: usize = 16 * 1024 * 1024;
/// Longest name accepted, in bytes.
const NAME_MAX: usize = 64;
/// Mark that spreadsheets put in front of UTF-8 text.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";
/// What a name may look like, as findings describe it.
const NAME_FORM: &str = "a name of letters, digits, '-', '_' and '.', at most 64 characters";

/// Parses a whole sheet.
///
/// # Errors
///
/// Returns every finding of the sheet, with line and column, when there is at least one.
pub fn parse(bytes: &[u8]) -> Result<Vec<Intent>> {
    let bytes = bytes.strip_prefix(BYTE_ORDER_MARK).unwrap_or(bytes);
    let mut findings = Findings::default();
    if bytes.len() > SHEET_MAX {
        findings.add(
            1,
            "",
            "",
            "sheet is too large",
            format!("at most {SHEET_MAX} bytes"),
        );
        return Ok(findings.finish(Vec::new())?);
    }
    let mut reader = csv::ReaderBuilder::new()
        .delimiter(delimiter(bytes))
        .flexible(true)
        .has_headers(false)
        .trim(csv::Trim::All)
        .from_reader(bytes);
    let mut header: Option<Vec<String>> = None;
    let mut intents = Vec::new();
    let mut seen = Set::default();
    for record in reader.byte_records() {
        let record = match record {
            Ok(record) => record,
            Err(error) => {
                findings.add(1, "", "", error.to_string(), "a CSV sheet");
                break;
            }
        };
        let line = record.position().map_or(1, |position| {
            usize::try_from(position.line()).unwrap_or(usize::MAX)
        });
        if record.iter().all(<[u8]>::is_empty) {
            continue;
        }
        let Some(header) = &header else {
            header = Some(read_header(line, &record, &mut findings));
            continue;
        };
        let mut row = Row {
            line,
            header,
            record: &record,
            findings: &mut findings,
        };
        if let Some(intent) = row.intent() {
            if seen.insert(subject(&intent)) {
                intents.push(intent);
            } else {
                findings.add(
                    line,
                    "name",
                    "",
                    "stands twice in the sheet",
                    "one row for each",
                );
            }
        }
    }
    if header.is_none() {
        findings.add(
            1,
            "",
            "",
            "sheet is empty",
            format!("a header row: {}", COLUMNS.join(",")),
        );
    }
    check_references(&intents, &mut findings);
    Ok(findings.finish(intents)?)
}

/// Gets the delimiter that the first line uses.
fn delimiter(bytes: &[u8]) -> u8 {
    let first = bytes
        .split(|b| *b == b'\n')
        .find(|line| !line.trim_ascii().is_empty());
    let first = first.unwrap_or_default();
    let count = |wanted| first.split(|b| *b == wanted).count();
    if count(b';') > count(b',') {
        b';'
    } else {
        b','
    }
}

fn read_header(line: usize, record: &csv::ByteRecord, findings: &mut Findings) -> Vec<String> {
    let names: Vec<String> = record
        .iter()
        .map(|name| String::from_utf8_lossy(name).to_lowercase())
        .collect();
    for name in &names {
        if !COLUMNS.contains(&name.as_str()) && !name.is_empty() && name != "note" {
            findings.add(line, name, name, "unknown column", COLUMNS.join(", "));
        }
    }
    for column in COLUMNS {
        if !names.iter().any(|name| name == column) {
            findings.add(line, column, "", "column is missing", COLUMNS.join(", "));
        }
    }
    names
}

/// Gets what an intent is about; a sheet says one thing of each.
fn subject(intent: &Intent) -> (u8, ByteString, ByteString) {
    let none = ByteString::new();
    match intent {
        Intent::Budget { service, .. } => (0, service.clone(), none),
        Intent::Move { host, .. } => (1, host.clone(), none),
        Intent::Pool { name, .. } => (2, name.clone(), none),
        Intent::Quota {
            caller, service, ..
        } => (3, caller.clone(), service.clone()),
        Intent::Wave { name, .. } => (4, name.clone(), none),
    }
}

/// Checks that rows name only pools and services that the sheet defines.
fn check_references(intents: &[Intent], findings: &mut Findings) {
    let mut pools = Set::default();
    let mut services = Set::default();
    pools.insert(ByteString::from_static(crate::state::SPARE));
    for intent in intents {
        if let Intent::Pool { name, service, .. } = intent {
            pools.insert(name.clone());
            services.extend(service.clone());
        }
    }
    for intent in intents {
        match intent {
            Intent::Move { pool, .. } | Intent::Wave { pool, .. } if !pools.contains(pool) => {
                findings.add(
                    0,
                    "pool",
                    pool,
                    "no row defines this pool",
                    "a pool of this sheet",
                );
            }
            Intent::Budget { service, .. } | Intent::Quota { service, .. }
                if !services.contains(service) =>
            {
                let accepted = "a service of this sheet";
                findings.add(0, "service", service, "no pool runs this service", accepted);
            }
            _ => {}
        }
    }
}

/// `Row` reads the cells of one row.
struct Row<'a> {
    line: usize,
    header: &'a [String],
    record: &'a csv::ByteRecord,
    findings: &'a mut Findings,
}

impl Row<'_> {
    fn intent(&mut self) -> Option<Intent> {
        let kind = self.cell("intent").to_lowercase();
        match kind.as_str() {
            "budget" => {
                let (service, hosts) = (self.name("service"), self.number("hosts"));
                Some(Intent::Budget {
                    service: service?,
                    hosts: hosts?,
                })
            }
            "move" => {
                let (host, pool) = (self.name("name"), self.name("pool"));
                Some(Intent::Move {
                    host: host?,
                    pool: pool?,
                })
            }
            "pool" => {
                let (name, hosts) = (self.name("name"), self.number("hosts"));
                let service = if self.cell("service").is_empty() {
                    None
                } else {
                    Some(self.name("service")?)
                };
                Some(Intent::Pool {
                    name: name?,
                    service,
                    hosts: hosts?,
                })
            }
            "quota" => {
                let (caller, service) = (self.name("name"), self.name("service"));
                let slots = self.number("slots");
                Some(Intent::Quota {
                    caller: caller?,
                    service: service?,
                    slots: slots?,
                })
            }
            "wave" => {
                let (name, pool) = (self.name("name"), self.name("pool"));
                let batch = self.number("batch");
                Some(Intent::Wave {
                    name: name?,
                    pool: pool?,
                    batch: batch?,
                })
            }
            _ => {
                let accepted = "budget, move, pool, quota or wave";
                self.findings
                    .add(self.line, "intent", &kind, "unknown intent", accepted);
                None
            }
        }
    }

    fn cell(&self, column: &str) -> String {
        let index = self.header.iter().position(|name| name == column);
        let bytes = index
            .and_then(|index| self.record.get(index))
            .unwrap_or_default();
        String::from_utf8_lossy(bytes).into_owned()
    }

    fn name(&mut self, column: &str) -> Option<ByteString> {
        let cell = self.cell(column);
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if cell.is_empty() || cell.len() > NAME_MAX || !cell.chars().all(allowed) {
            self.findings
                .add(self.line, column, &cell, "not a name", NAME_FORM);
            return None;
        }
        Some(ByteString::from(cell))
    }

    fn number(&mut self, column: &str) -> Option<u32> {
        let cell = self.cell(column);
        let number = cell.parse().ok();
        if number.is_none() {
            self.findings.add(
                self.line,
                column,
                &cell,
                "not a number",
                "a whole number, 0 or more",
            );
        }
        number
    }
}
