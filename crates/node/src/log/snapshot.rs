//! Snapshots of the state in a stream of their own, and the search for one when the log no longer
//! keeps the next record.

use std::collections::VecDeque;
use std::time::Duration;

use actix::{ActorFutureExt, Context, ContextFutureSpawner, WrapFuture};
use bytes::{Bytes, BytesMut};
use opentelemetry::KeyValue;
use persimmongate_core::ids;
use persimmongate_core::record::Body;
use persimmongate_core::state::{SPARE, State};
use persimmongate_wire::log::{
    Batch, Entry, Page, Part, STATE_MAX_BYTES, Stream, decode_part, decode_state, encode_batch,
    encode_part, encode_state,
};
use slog::{info, warn};

use super::client::Client;
use super::follower::Follower;
use crate::errors::Result;

/// Number of records after which the next snapshot is due.
const SNAPSHOT_INTERVAL_RECORDS: u64 = 4096;
/// Log time after which the next snapshot is due.
const SNAPSHOT_INTERVAL: Duration = Duration::from_mins(10);
/// Maximum bytes of state in one part.
const MAX_PART_BYTES: usize = 1024 * 1024;
/// Maximum number of parts accepted; together they hold more than the largest state.
const MAX_PARTS: u32 = 64;

/// Maximum number of complete snapshots kept during a search.
const MAX_COMPLETE: usize = 3;

/// `Search` collects the newest snapshot of the stream while the replay can't continue.
#[derive(Debug, Default)]
pub(super) struct Search {
    /// Offset of the oldest record that the main stream keeps.
    earliest_offset: ids::Offset,
    /// Offset of the next part to read.
    next_offset: ids::Offset,
    /// Author, incarnation and next offset of the snapshot being collected.
    source: Option<(ids::Instance, ids::Incarnation, ids::Offset)>,
    data: BytesMut,
    /// Parts collected of that snapshot.
    part_count: u32,
    /// Next offsets and encoded states of the latest complete snapshots, the newest last.
    complete: VecDeque<(ids::Offset, Bytes)>,
}

impl Search {
    /// Adds a part.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is not a part.
    fn add_part(&mut self, entry: &Entry) -> Result<()> {
        self.next_offset = entry.offset + 1;
        let part = decode_part(&entry.record)?;
        let next_offset = part.next_offset;
        let source = (part.author, part.incarnation, part.next_offset);
        if part.index == 0 {
            self.data.clear();
            self.part_count = 0;
            self.source = Some(source);
        } else if self.source != Some(source) || part.index < self.part_count {
            // A part of another snapshot, or a copy from a retried append.
            return Ok(());
        }
        let size = self.data.len().saturating_add(part.data.len());
        if part.index != self.part_count || part.count > MAX_PARTS || size > STATE_MAX_BYTES {
            self.source = None;
            self.data.clear();
            return Ok(());
        }
        self.part_count += 1;
        self.data.extend_from_slice(&part.data);
        if self.part_count == part.count {
            self.source = None;
            if self.complete.len() == MAX_COMPLETE {
                self.complete.pop_front();
            }
            self.complete
                .push_back((next_offset, self.data.split().freeze()));
        }
        Ok(())
    }

    /// Checks that the state of a snapshot continues a replay at an offset, and is the one announced.
    fn check(&self, state: &State, announced: ids::Offset, replayed: ids::Offset) -> bool {
        // The snapshot must cover every record before the oldest one that the log keeps, or the replay
        // would have a gap.
        state.next_offset == announced
            && state.next_offset > replayed
            && state.next_offset >= self.earliest_offset
    }
}

impl<C: Copy + Send + Unpin + 'static> Follower<C> {
    /// Returns the stream and the offset to read from.
    pub(super) fn read_position(&self) -> (Stream, ids::Offset) {
        match &self.snapshot_search {
            Some(search) => (Stream::Snapshots, search.next_offset),
            None => (Stream::Main, self.state.next_offset),
        }
    }

    /// Starts a search for a snapshot if the log no longer keeps the next record; returns whether
    /// it did.
    pub(super) fn detect_gap(&mut self, page: &Page) -> bool {
        if page.earliest_offset <= self.state.next_offset {
            return false;
        }
        info!(self.logger, "log no longer keeps the next record, searching for a snapshot";
            "next" => self.state.next_offset, "earliest" => page.earliest_offset);
        self.snapshot_search = Some(Search {
            earliest_offset: page.earliest_offset,
            ..Search::default()
        });
        true
    }

    /// Collects snapshots from a page; at the end of the stream, the newest replaces the state.
    pub(super) fn search_page(&mut self, page: &Page) {
        let Some(search) = self.snapshot_search.as_mut() else {
            return;
        };
        for entry in &page.entries {
            if let Err(error) = search.add_part(entry) {
                self.counters
                    .skipped
                    .add(1, &[KeyValue::new("list", "snapshots")]);
                warn!(self.logger, "part of a snapshot skipped"; "offset" => entry.offset,
                    "error" => %error);
            }
        }
        if search.next_offset < page.end_offset {
            search.next_offset = search.next_offset.max(page.earliest_offset);
            return;
        }
        // A snapshot that can't be used hides no older one.
        while let Some((announced, bytes)) = search.complete.pop_back() {
            match decode_state(&bytes) {
                Ok(state) if search.check(&state, announced, self.state.next_offset) => {
                    info!(self.logger, "state replaced by a snapshot"; "next" => state.next_offset);
                    self.replace_state(state);
                    return;
                }
                Ok(state) => {
                    info!(self.logger, "snapshot is of no use"; "announced" => announced,
                        "next" => state.next_offset);
                }
                Err(error) => {
                    self.counters
                        .skipped
                        .add(1, &[KeyValue::new("list", "snapshots")]);
                    warn!(self.logger, "snapshot is malformed"; "error" => %error);
                }
            }
        }
    }

    /// Replaces the state by a newer one and publishes the differences to subscribers.
    pub(super) fn replace_state(&mut self, state: State) {
        let changes = state.changes_since(&self.state);
        self.state = state;
        self.snapshot_search = None;
        if self.is_ready {
            self.publish(changes, false);
        }
    }

    /// Appends a snapshot when one is due; only the holder of the spare pool does.
    pub(super) fn snapshot_if_due(&mut self, ctx: &mut Context<Self>) {
        let spare_pool_holder = self
            .state
            .pools
            .get(SPARE)
            .and_then(|pool| pool.holder.as_ref());
        if spare_pool_holder != Some(&self.options.instance)
            || self.pending_snapshot_offset.is_some()
        {
            return;
        }
        let new_records = self
            .state
            .next_offset
            .saturating_sub(self.state.snapshot_offset);
        let age = self
            .state
            .log_time
            .duration_since(self.last_snapshot_time)
            .unwrap_or_default();
        if new_records
            < self
                .options
                .snapshot_records
                .unwrap_or(SNAPSHOT_INTERVAL_RECORDS)
            && age < SNAPSHOT_INTERVAL
        {
            return;
        }
        self.last_snapshot_time = self.state.log_time;
        let Ok(bytes) = encode_state(&self.state) else {
            warn!(self.logger, "state is too large for a snapshot");
            return;
        };
        let next_offset = self.state.next_offset;
        self.pending_snapshot_offset = Some(next_offset);
        let parts = self.split_into_parts(&bytes);
        let client = self.client.clone();
        async move { append_parts(client, parts).await }
            .into_actor(self)
            .map(move |result, act, _| {
                act.pending_snapshot_offset = None;
                match result {
                    Ok(()) => act.outbox.push(Body::Snapshot { next_offset }, None),
                    // Tried again at a later page while a snapshot is due.
                    Err(_) => act.counters.failures.add(1, &[]),
                }
            })
            .spawn(ctx);
    }

    /// Splits an encoded state into parts.
    fn split_into_parts(&self, bytes: &Bytes) -> Vec<Part> {
        let count = u32::try_from(bytes.len().div_ceil(MAX_PART_BYTES)).unwrap_or(u32::MAX);
        let make_part = |(index, data): (u32, &[u8])| Part {
            author: self.options.instance.clone(),
            incarnation: self.incarnation,
            next_offset: self.state.next_offset,
            index,
            count,
            data: bytes.slice_ref(data),
        };
        (0..)
            .zip(bytes.chunks(MAX_PART_BYTES))
            .map(make_part)
            .collect()
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
