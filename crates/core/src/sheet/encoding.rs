//! Encoding of a sheet: byte order mark, delimiter, quotes and line numbers.

use crate::finding::Findings;

/// Largest sheet accepted, in bytes.
const SHEET_MAX_BYTES: usize = 16 * 1024 * 1024;
/// Byte order mark that spreadsheets put in front of UTF-8 text.
const UTF8_BOM: &[u8] = b"\xef\xbb\xbf";
/// Byte order marks that spreadsheets put in front of UTF-16 text, in either byte order.
const UTF16_BOMS: [&[u8]; 2] = [b"\xff\xfe", b"\xfe\xff"];
/// Accepted format of a sheet, as findings describe it.
const ACCEPTED_FORMAT: &str = "CSV in UTF-8 with ',' or ';' between the cells";

/// Returns the text without its byte order mark; adds a finding and returns `None` when the text is
/// too large or UTF-16.
pub(super) fn strip_bom<'a>(bytes: &'a [u8], findings: &mut Findings) -> Option<&'a [u8]> {
    if bytes.len() > SHEET_MAX_BYTES {
        let accepted = format!("at most {SHEET_MAX_BYTES} bytes");
        let seen = format!("{} bytes", bytes.len());
        findings.add(1, "", &seen, "sheet is too large", accepted);
        return None;
    }
    if UTF16_BOMS.iter().any(|bom| bytes.starts_with(bom)) {
        findings.add(
            1,
            "",
            "UTF-16",
            "text has another encoding",
            ACCEPTED_FORMAT,
        );
        return None;
    }
    Some(bytes.strip_prefix(UTF8_BOM).unwrap_or(bytes))
}

/// Returns the delimiter of the first line that is not blank: the more frequent of `;` and `,`.
pub(super) fn detect_delimiter(bytes: &[u8]) -> u8 {
    let mut lines = bytes.split(|b| matches!(*b, b'\n' | b'\r'));
    let first_line = lines.find(|line| !line.trim_ascii().is_empty());
    let first_line = first_line.unwrap_or_default();
    let count = |delimiter| first_line.split(|b| *b == delimiter).count();
    if count(b';') > count(b',') {
        b';'
    } else {
        b','
    }
}

/// Adds a finding when a quote is not closed: the reader takes the rest of the sheet as one cell.
pub(super) fn check_quotes(bytes: &[u8], last_line: usize, findings: &mut Findings) {
    let quotes = bytes.split(|b| *b == b'"').count() - 1;
    if quotes % 2 == 1 {
        let accepted = "a second '\"' at the end of the cell, and '\"\"' for a quote in it";
        findings.add(last_line, "", "\"", "a quote is not closed", accepted);
    }
}

/// `Counter` maps byte positions to line numbers; positions must be given in ascending order.
pub(super) struct Counter<'a> {
    bytes: &'a [u8],
    position: usize,
    line: usize,
}

impl<'a> Counter<'a> {
    pub(super) fn new(bytes: &'a [u8]) -> Self {
        Self {
            bytes,
            position: 0,
            line: 1,
        }
    }

    /// Returns the line, counted from 1, of the row that starts at or after a position.
    ///
    /// The CSV reader reports the position of a row before the preceding line end and blank lines,
    /// so these are skipped.
    pub(super) fn line_at(&mut self, position: usize) -> usize {
        while let Some(byte) = self.bytes.get(self.position) {
            if self.position >= position && !matches!(byte, b'\n' | b'\r') {
                break;
            }
            self.position += 1;
            let is_crlf = *byte == b'\r' && self.bytes.get(self.position) == Some(&b'\n');
            if matches!(byte, b'\n' | b'\r') && !is_crlf {
                self.line += 1;
            }
        }
        self.line
    }
}
