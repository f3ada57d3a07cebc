//! Snapshots of the fold in a stream of their own, and the search for one when records are gone.

use std::time::Duration;

use actix::{ActorFutureExt, Context, ContextFutureSpawner, WrapFuture};
use bytes::{Bytes, BytesMut};
use persimmongate_core::ids;
use persimmongate_core::record::Body;
use persimmongate_core::state::{SPARE, State};
use persimmongate_wire::log::{
    Batch, Entry, Page, Part, Stream, decode_part, decode_state, encode_batch, encode_part,
    encode_state,
};
use slog::{info, warn};

use super::client::Client;
use super::follower::Follower;
use crate::errors::Result;

/// Records after which the fold is written to the log again.
const RECORDS: u64 = 4096;
/// Time by the log after which the fold is written to the log again.
const PERIOD: Duration = Duration::from_mins(10);
/// Bytes of one part.
const PART_BYTES: usize = 1024 * 1024;
/// Parts accepted, at most; together they exceed the longest state.
const PARTS_MAX: u32 = 64;

/// `Search` reads the stream of snapshots while the fold can't go on.
#[derive(Debug, Default)]
pub(super) struct Search {
    /// Oldest record that the main stream keeps.
    earliest: ids::Offset,
    /// Offset of the next part to look at.
    next: ids::Offset,
    /// Author, run and covered offset of the snapshot that is collected.
    source: Option<(ids::Instance, ids::Incarnation, ids::Offset)>,
    data: BytesMut,
    parts: u32,
    /// Newest complete snapshot so far.
    found: Option<Bytes>,
}

impl Search {
    /// Looks at a part; a complete snapshot replaces the one found before.
    fn look(&mut self, item: &Entry) {
        self.next = item.offset + 1;
        let Ok(part) = decode_part(&item.record) else {
            return;
        };
        let source = (part.author, part.incarnation, part.next_offset);
        if part.index == 0 {
            self.data.clear();
            self.parts = 0;
            self.source = Some(source);
        } else if self.source != Some(source) || part.index < self.parts {
            // A part of another snapshot, or a repeated append of one that is here.
            return;
        }
        if part.index != self.parts || part.count > PARTS_MAX {
            self.source = None;
            return;
        }
        self.parts += 1;
        self.data.extend_from_slice(&part.data);
        if self.parts == part.count {
            self.found = Some(self.data.split().freeze());
        }
    }
}

impl<C: Copy + Send + Unpin + 'static> Follower<C> {
    /// Gets the stream and the offset to read from.
    pub(super) fn wanted(&self) -> (Stream, ids::Offset) {
        match &self.search {
            Some(search) => (Stream::Snapshots, search.next),
            None => (Stream::Main, self.state.next_offset),
        }
    }

    /// Starts a search when the log no longer keeps the next record to fold.
    pub(super) fn find_gap(&mut self, page: &Page) -> bool {
        if page.earliest_offset <= self.state.next_offset {
            return false;
        }
        info!(self.logger, "log starts later, looks for a snapshot";
            "next" => self.state.next_offset, "earliest" => page.earliest_offset);
        self.search = Some(Search {
            earliest: page.earliest_offset,
            ..Search::default()
        });
        true
    }

    /// Looks for snapshots in a page; at the end of the stream the fold goes on from the newest.
    pub(super) fn search_page(&mut self, page: &Page) {
        let Some(search) = self.search.as_mut() else {
            return;
        };
        for item in &page.entries {
            search.look(item);
        }
        if search.next < page.end_offset {
            search.next = search.next.max(page.earliest_offset);
            return;
        }
        let Some(bytes) = search.found.take() else {
            return;
        };
        match decode_state(&bytes) {
            // What it covers must reach up to the oldest record kept.
            Ok(state)
                if state.next_offset > self.state.next_offset
                    && state.next_offset >= search.earliest =>
            {
                info!(self.logger, "takes over a snapshot"; "next" => state.next_offset);
                self.replace(state);
            }
            Ok(_) => {}
            Err(problem) => warn!(self.logger, "snapshot is refused"; "error" => %problem),
        }
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
    pub(super) fn snapshot_if_due(&mut self, ctx: &mut Context<Self>) {
        let spare = self
            .state
            .pools
            .get(SPARE)
            .and_then(|pool| pool.holder.as_ref());
        if spare != Some(&self.options.instance) || self.snapshotting.is_some() {
            return;
        }
        let records = self
            .state
            .next_offset
            .saturating_sub(self.state.snapshot_offset);
        let age = self
            .state
            .log_time
            .duration_since(self.snapshot_at)
            .unwrap_or_default();
        if records < self.options.snapshot_records.unwrap_or(RECORDS) && age < PERIOD {
            return;
        }
        self.snapshot_at = self.state.log_time;
        let Ok(bytes) = encode_state(&self.state) else {
            warn!(self.logger, "fold is too long for a snapshot");
            return;
        };
        let next = self.state.next_offset;
        self.snapshotting = Some(next);
        let parts = self.parts(&bytes);
        let client = self.client.clone();
        async move { append_parts(client, parts).await }
            .into_actor(self)
            .map(move |result, act, _| {
                act.snapshotting = None;
                match result {
                    Ok(()) => act.outbox.push(Body::Snapshot { next_offset: next }, None),
                    // The next record that is read tries again.
                    Err(_) => act.counters.failures.add(1, &[]),
                }
            })
            .spawn(ctx);
    }

    /// Cuts an encoded fold into parts.
    fn parts(&self, bytes: &Bytes) -> Vec<Part> {
        let count = u32::try_from(bytes.len().div_ceil(PART_BYTES)).unwrap_or(u32::MAX);
        let part = |(index, data): (u32, &[u8])| Part {
            author: self.options.instance.clone(),
            incarnation: self.incarnation,
            next_offset: self.state.next_offset,
            index,
            count,
            data: bytes.slice_ref(data),
        };
        (0..).zip(bytes.chunks(PART_BYTES)).map(part).collect()
    }
}

async fn append_parts(client: Client, parts: Vec<Part>) -> Result<()> {
    for part in parts {
        let batch = Batch {
            records: vec![encode_part(&part)?],
        };
        client
            .append(Stream::Snapshots, encode_batch(&batch)?)
            .await?;
    }
    Ok(())
}
