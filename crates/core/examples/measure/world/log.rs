//! The platform's log as a list in memory.

use std::time::SystemTime;

use persimmongate_core::ids;
use persimmongate_core::record::Record;

/// `Log` takes appends and gives them offsets.
#[derive(Debug, Default)]
pub(crate) struct Log {
    records: Vec<(SystemTime, Record)>,
    /// Whether it can't be reached.
    pub(crate) down: bool,
    /// Whether appends take effect and their answers are lost.
    pub(crate) loses_answers: bool,
    /// Whether appends take effect twice.
    pub(crate) doubles: bool,
}

impl Log {
    /// Appends records and gets whether the answer came.
    pub(crate) fn append(&mut self, now: SystemTime, records: &[Record]) -> bool {
        if self.down {
            return false;
        }
        let copies = if self.doubles { 2 } else { 1 };
        for _ in 0..copies {
            let items = records.iter().map(|record| (now, record.clone()));
            self.records.extend(items);
        }
        !self.loses_answers
    }

    /// Gets the records from an offset, or nothing when the log can't be reached.
    pub(crate) fn read(&self, from: ids::Offset) -> Option<&[(SystemTime, Record)]> {
        if self.down {
            return None;
        }
        self.records.get(usize::try_from(from).ok()?..)
    }

    /// Gets all records, also while the log can't be reached by others.
    pub(crate) fn all(&self) -> &[(SystemTime, Record)] {
        &self.records
    }

    /// Gets the offset that the next record gets.
    pub(crate) fn end(&self) -> ids::Offset {
        self.records.len() as ids::Offset
    }
}
