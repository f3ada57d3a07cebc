//! Parser of a sheet, which reports all findings together.

use csv::ByteRecord;
use serde::Serialize;

use super::check::{Declared, check_rows};
use super::encoding::{Counter, check_quotes, detect_delimiter, strip_bom};
use super::row::{COLUMNS, Cells, NOTE_COLUMN};
use super::{Intent, row};
use crate::errors::Result;
use crate::finding::Findings;

/// Largest number of rows accepted: enough for a move of each host and the rows of all pools and
/// teams.
const ROWS_MAX: usize = 40_000;

/// `Row` is one checked row with its line number.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Line on which the row starts, counted from 1.
    pub line: usize,
    /// What the row asks for.
    pub intent: Intent,
}

/// Parses a sheet into intents.
///
/// # Errors
///
/// Returns every finding of the sheet, with line and column, when there is at least one.
pub fn parse_intents(bytes: &[u8]) -> Result<Vec<Intent>> {
    let rows = parse_rows(bytes)?;
    Ok(rows.into_iter().map(|row| row.intent).collect())
}

/// Parses a sheet into rows, each with its line number.
///
/// # Errors
///
/// Returns every finding of the sheet, with line and column, when there is at least one.
pub fn parse_rows(bytes: &[u8]) -> Result<Vec<Row>> {
    let mut findings = Findings::default();
    let mut rows = Vec::new();
    if let Some(bytes) = strip_bom(bytes, &mut findings) {
        rows = read_rows(bytes, &mut findings);
    }
    Ok(findings.finish(rows)?)
}

fn read_rows(bytes: &[u8], findings: &mut Findings) -> Vec<Row> {
    let mut reader = csv::ReaderBuilder::new()
        .delimiter(detect_delimiter(bytes))
        .flexible(true)
        .has_headers(false)
        .from_reader(bytes);
    let mut line_counter = Counter::new(bytes);
    let mut header: Option<Vec<String>> = None;
    let mut declared = Declared::default();
    let mut rows = Vec::new();
    let (mut record, mut line, mut row_count) = (ByteRecord::new(), 1, 0);
    while reader.read_byte_record(&mut record).is_ok_and(|more| more) {
        let position = record.position().map_or(0, csv::Position::byte);
        line = line_counter.line_at(usize::try_from(position).unwrap_or(usize::MAX));
        if record.iter().all(|cell| cell.trim_ascii().is_empty()) {
            continue;
        }
        let Some(header) = &header else {
            header = Some(read_header(line, &record, findings));
            continue;
        };
        row_count += 1;
        if row_count > ROWS_MAX {
            let accepted = format!("at most {ROWS_MAX} rows");
            findings.add(line, "", "", "sheet has too many rows", accepted);
            break;
        }
        let mut cells = Cells::new(line, header, &record, findings);
        if let Some(intent) = row::read_intent(&mut cells, &mut declared) {
            rows.push(Row { line, intent });
        }
    }
    check_quotes(bytes, line, findings);
    if header.is_none() {
        let accepted = format!("a header row: {}", COLUMNS.join(","));
        findings.add(1, "", "", "sheet is empty", accepted);
    }
    check_rows(&rows, declared, findings);
    rows
}

/// Reads the names of the columns, which may stand in any order and letter case.
fn read_header(line: usize, record: &ByteRecord, findings: &mut Findings) -> Vec<String> {
    let names = record.iter().map(String::from_utf8_lossy);
    let names: Vec<String> = names.map(|name| name.trim().to_lowercase()).collect();
    let accepted = || format!("{}, {NOTE_COLUMN}", COLUMNS.join(", "));
    for (index, name) in names.iter().enumerate() {
        if name.is_empty() {
            continue;
        }
        if !COLUMNS.contains(&name.as_str()) && name != NOTE_COLUMN {
            findings.add(line, name, name, "unknown column", accepted());
        } else if names[..index].contains(name) {
            findings.add(line, name, name, "column occurs twice", "each column once");
        }
    }
    for column in COLUMNS {
        if !names.iter().any(|name| name == column) {
            findings.add(line, column, "", "column is missing", accepted());
        }
    }
    names
}
