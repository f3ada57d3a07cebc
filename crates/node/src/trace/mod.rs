//! Recording of a daemon's decisions to a file.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::time::Instant;

use persimmongate_core::trace::{Action, Event, Header, Source, Step, VERSION};
use persimmongate_wire::trace::{TRACE_MAX_BYTES, encode_header, encode_step};
use slog::{Logger, warn};

use crate::errors::{Result, io_error};

/// `Recorder` writes a trace until the file has its full length.
#[derive(Debug)]
pub struct Recorder {
    started_at: Instant,
    file: Option<File>,
    /// Bytes that the file may still take.
    left: usize,
}

impl Recorder {
    /// Makes the file anew, or logs why there is no trace; the daemon runs on without one.
    #[must_use]
    pub fn create_or_warn(
        path: &Path,
        started_at: Instant,
        source: Source,
        logger: &Logger,
    ) -> Option<Self> {
        match Self::create(path, started_at, source) {
            Ok(recorder) => Some(recorder),
            Err(problem) => {
                warn!(logger, "no trace is recorded"; "error" => %problem);
                None
            }
        }
    }

    /// Makes the file anew and writes the header of a trace that starts now.
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
        let fail = |error| io_error(format!("trace {}", path.display()), error);
        let mut file = File::create(path).map_err(fail)?;
        file.write_all(&header).map_err(fail)?;
        Ok(Self {
            started_at,
            file: Some(file),
            left: TRACE_MAX_BYTES.saturating_sub(header.len()),
        })
    }

    /// Gets the time at which the trace starts.
    #[must_use]
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Writes one step; the first that does not fit, or fails, ends the trace.
    pub fn record(&mut self, now: Instant, event: Event, actions: Vec<Action>) {
        let Some(file) = &mut self.file else {
            return;
        };
        let step = Step::new(self.started_at, now, event, actions);
        let written = match encode_step(&step) {
            Ok(bytes) if bytes.len() <= self.left => {
                self.left -= bytes.len();
                file.write_all(&bytes).is_ok()
            }
            _ => false,
        };
        if !written {
            self.file = None;
        }
    }
}
