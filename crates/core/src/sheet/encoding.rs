//! The bytes of a sheet: its form, its delimiter and its lines.

use crate::finding::Findings;

/// Largest sheet accepted, in bytes.
const SHEET_MAX: usize = 16 * 1024 * 1024;
/// Mark that spreadsheets put in front of UTF-8 text.
const UTF8_MARK: &[u8] = b"\xef\xbb\xbf";
/// Marks that spreadsheets put in front of UTF-16 text.
const UTF16_MARKS: [&[u8]; 2] = [b"\xff\xfe", b"\xfe\xff"];
/// What a sheet may look like, as findings describe it.
const SHEET_FORM: &str = "CSV in UTF-8 with ',' or ';' between the cells";

/// Gets the text after its byte order mark, nothing when it can't be a sheet.
pub(super) fn strip<'a>(bytes: &'a [u8], findings: &mut Findings) -> Option<&'a [u8]> {
    if bytes.len() > SHEET_MAX {
        let accepted = format!("at most {SHEET_MAX} bytes");
        let seen = format!("{} bytes", bytes.len());
        findings.add(1, "", &seen, "sheet is too large", accepted);
        return None;
    }
    if UTF16_MARKS.iter().any(|mark| bytes.starts_with(mark)) {
        findings.add(1, "", "UTF-16", "text has another encoding", SHEET_FORM);
        return None;
    }
    Some(bytes.strip_prefix(UTF8_MARK).unwrap_or(bytes))
}

/// Gets the delimiter that the first line uses.
pub(super) fn delimiter(bytes: &[u8]) -> u8 {
    let mut lines = bytes.split(|b| matches!(*b, b'\n' | b'\r'));
    let first = lines.find(|line| !line.trim_ascii().is_empty());
    let first = first.unwrap_or_default();
    let count = |wanted| first.split(|b| *b == wanted).count();
    if count(b';') > count(b',') {
        b';'
    } else {
        b','
    }
}

/// Adds a finding when a quote is not closed, as the rest of the sheet would be one cell.
pub(super) fn check_quotes(bytes: &[u8], last_line: usize, findings: &mut Findings) {
    let quotes = bytes.split(|b| *b == b'"').count() - 1;
    if quotes % 2 == 1 {
        let accepted = "a second '\"' at the end of the cell, and '\"\"' for a quote in it";
        findings.add(last_line, "", "\"", "a quote is not closed", accepted);
    }
}

/// `Lines` tells the line of each row; rows are asked for in their order.
pub(super) struct Lines<'a> {
    bytes: &'a [u8],
    position: usize,
    line: usize,
}

impl<'a> Lines<'a> {
    pub(super) fn new(bytes: &'a [u8]) -> Self {
        Self {
            bytes,
            position: 0,
            line: 1,
        }
    }

    /// Gets the line of the row that starts at or after a position.
    ///
    /// The reader counts the end of the line before, and blank lines, to the row after them.
    pub(super) fn line_at(&mut self, position: usize) -> usize {
        while let Some(byte) = self.bytes.get(self.position) {
            if self.position >= position && !matches!(byte, b'\n' | b'\r') {
                break;
            }
            self.position += 1;
            let pair = *byte == b'\r' && self.bytes.get(self.position) == Some(&b'\n');
            if matches!(byte, b'\n' | b'\r') && !pair {
                self.line += 1;
            }
        }
        self.line
    }
}
