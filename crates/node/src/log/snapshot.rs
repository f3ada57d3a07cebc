//! Snapshots of the fold in the log, and the search for one when older records are gone.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use persimmongate_core::ids;
use persimmongate_core::record::{self, Body, Record};
use persimmongate_core::state::{SPARE, State};
use persimmongate_wire::log::{Item, Page, decode_record, decode_state, encode_state};
use slog::{info, warn};

use super::follower::Follower;

/// Records after which the fold is written to the log again.
const RECORDS: u64 = 4096;
/// Time by the log after which the fold is written to the log again.
const PERIOD: Duration = Duration::from_mins(10);
/// Bytes of one part.
const PART_BYTES: usize = 1024 * 1024;
/// Parts accepted, at most; together they exceed the longest state.
const PARTS_MAX: u32 = 64;

/// `Search` collects the parts of a snapshot while the fold can't go on.
#[derive(Debug, Default)]
pub(super) struct Search {
    /// Offset of the next record to look at.
    next: ids::Offset,
    /// Author, run and covered offset of the snapshot that is collected.
    source: Option<(ids::Instance, ids::Incarnation, ids::Offset)>,
    data: BytesMut,
    parts: u32,
}

impl Search {
    /// Makes a search that starts at the oldest record kept.
    pub(super) fn new(earliest: ids::Offset) -> Self {
        Self {
            next: earliest,
            ..Self::default()
        }
    }

    pub(super) fn next(&self) -> ids::Offset {
        self.next
    }

    /// Looks at a record; returns the bytes of a snapshot that is complete.
    fn look(&mut self, item: &Item) -> Option<Bytes> {
        self.next = item.offset + 1;
        let Ok(Record {
            author,
            incarnation,
            body: Body::Snapshot(snapshot),
            ..
        }) = decode_record(&item.record)
        else {
            return None;
        };
        let source = (author, incarnation, snapshot.next);
        if snapshot.part == 0 {
            self.data.clear();
            self.parts = 0;
            self.source = Some(source);
        } else if self.source != Some(source) || snapshot.part < self.parts {
            // A part of another snapshot, or a repeated append of one that is here.
            return None;
        }
        if snapshot.part != self.parts || snapshot.parts > PARTS_MAX {
            self.source = None;
            return None;
        }
        self.parts += 1;
        self.data.extend_from_slice(&snapshot.data);
        (self.parts == snapshot.parts).then(|| self.data.split().freeze())
    }
}

impl<C: Copy + Send + Unpin + 'static> Follower<C> {
    /// Gets the offset to read from.
    pub(super) fn wanted(&self) -> ids::Offset {
        self.search.as_ref().map_or(self.state.next, Search::next)
    }

    /// Starts a search when the log no longer keeps the next record to fold.
    pub(super) fn check_gap(&mut self, page: &Page) {
        if self.search.is_none() && page.earliest > self.state.next {
            info!(self.logger, "log starts later, looks for a snapshot";
                "next" => self.state.next, "earliest" => page.earliest);
            self.search = Some(Search::new(page.earliest));
        }
    }

    /// Looks for a snapshot in a page; the fold goes on from what it covers.
    pub(super) fn search_page(&mut self, page: &Page) {
        let Some(mut search) = self.search.take() else {
            return;
        };
        for item in &page.items {
            let Some(bytes) = search.look(item) else {
                continue;
            };
            match decode_state(&bytes) {
                // What it covers must reach up to the oldest record kept.
                Ok(state) if state.next > self.state.next && state.next >= page.earliest => {
                    info!(self.logger, "takes over a snapshot"; "next" => state.next);
                    self.replace(state);
                    return;
                }
                Ok(_) => {}
                Err(problem) => warn!(self.logger, "snapshot is refused"; "error" => %problem),
            }
        }
        self.search = Some(search);
    }

    /// Replaces the fold by a newer one and tells subscribers.
    pub(super) fn replace(&mut self, state: State) {
        let changes = state.changes_since(&self.state);
        self.state = state;
        self.search = None;
        if self.ready {
            self.publish(changes, false);
        }
    }

    /// Appends the fold when the latest snapshot is old; the spare pool's holder does it.
    pub(super) fn snapshot_if_due(&mut self) {
        let spare = self
            .state
            .pools
            .get(SPARE)
            .and_then(|pool| pool.holder.as_ref());
        if spare != Some(&self.options.instance) || self.outbox.is_snapshotting() {
            return;
        }
        let records = self.state.next.saturating_sub(self.state.snapshot);
        let age = self
            .state
            .at
            .duration_since(self.snapshot_at)
            .unwrap_or_default();
        if records < self.options.snapshot_records.unwrap_or(RECORDS) && age < PERIOD {
            return;
        }
        self.snapshot_at = self.state.at;
        let Ok(bytes) = encode_state(&self.state) else {
            warn!(self.logger, "fold is too long for a snapshot");
            return;
        };
        for body in parts(self.state.next, &bytes) {
            self.outbox.push(body, None);
        }
    }
}

/// Cuts an encoded fold into records.
fn parts(next: ids::Offset, bytes: &Bytes) -> Vec<Body> {
    let count = u32::try_from(bytes.len().div_ceil(PART_BYTES)).unwrap_or(u32::MAX);
    let part = |(part, data): (u32, &[u8])| {
        let data = bytes.slice_ref(data);
        Body::Snapshot(record::Snapshot {
            next,
            part,
            parts: count,
            data,
        })
    };
    (0..).zip(bytes.chunks(PART_BYTES)).map(part).collect()
}
