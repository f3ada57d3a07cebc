//! Recording of a state machine's events and actions to a file, for replay.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::time::Instant;

use persimmongate_core::trace::{Action, Event, Header, Source, Step, VERSION};
use persimmongate_wire::trace::{TRACE_MAX_BYTES, encode_header, encode_step};
use slog::{Logger, warn};

use crate::errors::{Result, io_error};

/// `Recorder` writes a trace until the file reaches its maximum length.
#[derive(Debug)]
pub struct Recorder {
    started_at: Instant,
    file: Option<File>,
    /// Bytes left until the maximum length.
    remaining_bytes: usize,
}

impl Recorder {
    /// Creates the trace as [`Recorder::create`] does; on an error, logs a warning and returns
    /// `None`, as the daemon can run without a trace.
    #[must_use]
    pub fn create_or_warn(
        path: &Path,
        started_at: Instant,
        source: Source,
        logger: &Logger,
    ) -> Option<Self> {
        match Self::create(path, started_at, source) {
            Ok(recorder) => Some(recorder),
            Err(error) => {
                warn!(logger, "trace file can't be created, recording no trace";
                    "error" => %error);
                None
            }
        }
    }

    /// Creates or truncates the file and writes the header of a trace whose times are relative to
    /// `started_at`.
    ///
    /// # Errors
    ///
    /// Returns an error when the file can't be written.
    pub fn create(path: &Path, started_at: Instant, source: Source) -> Result<Self> {
        let header = Header {
            version: VERSION,
            source,
        };
        let header = encode_header(&header)?;
        let to_error = |error| io_error(format!("trace {}", path.display()), error);
        let mut file = File::create(path).map_err(to_error)?;
        file.write_all(&header).map_err(to_error)?;
        Ok(Self {
            started_at,
            file: Some(file),
            remaining_bytes: TRACE_MAX_BYTES.saturating_sub(header.len()),
        })
    }

    /// Returns the time to which the times in the trace are relative.
    #[must_use]
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Writes one step; the first that does not fit or can't be written ends the trace.
    pub fn record(&mut self, now: Instant, event: Event, actions: Vec<Action>) {
        let Some(file) = &mut self.file else {
            return;
        };
        let step = Step::new(self.started_at, now, event, actions);
        let is_written = match encode_step(&step) {
            Ok(bytes) if bytes.len() <= self.remaining_bytes => {
                self.remaining_bytes -= bytes.len();
                file.write_all(&bytes).is_ok()
            }
            _ => false,
        };
        if !is_written {
            self.file = None;
        }
    }
}
