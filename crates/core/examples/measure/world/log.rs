//! The platform's log, held in memory.

use std::time::SystemTime;

use persimmongate_core::ids;
use persimmongate_core::record::Record;

/// `Log` assigns offsets to appended records.
#[derive(Debug, Default)]
pub(crate) struct Log {
    records: Vec<(SystemTime, Record)>,
    /// Whether the log is unreachable.
    pub(crate) is_down: bool,
    /// Whether appends take effect but their answers are lost.
    pub(crate) loses_answers: bool,
    /// Whether appends take effect twice.
    pub(crate) duplicates_appends: bool,
}

impl Log {
    /// Appends records; returns whether the answer reaches the sender.
    pub(crate) fn append(&mut self, now: SystemTime, records: &[Record]) -> bool {
        if self.is_down {
            return false;
        }
        let copies = if self.duplicates_appends { 2 } else { 1 };
        for _ in 0..copies {
            let entries = records.iter().map(|record| (now, record.clone()));
            self.records.extend(entries);
        }
        !self.loses_answers
    }

    /// Gets the records from an offset on, or `None` while the log is unreachable.
    pub(crate) fn read(&self, from: ids::Offset) -> Option<&[(SystemTime, Record)]> {
        if self.is_down {
            return None;
        }
        self.records.get(usize::try_from(from).ok()?..)
    }

    /// Gets all records, also while the log is unreachable for the processes.
    pub(crate) fn records(&self) -> &[(SystemTime, Record)] {
        &self.records
    }

    /// Gets the offset of the next record to be appended.
    pub(crate) fn end_offset(&self) -> ids::Offset {
        self.records.len() as ids::Offset
    }
}
