//! An entry host: it sends requests to hosts that it believes to serve and reports on drains.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use persimmongate_core::ids;
use persimmongate_core::map::Map;
use persimmongate_core::record::Role;
use persimmongate_core::state::{Change, Stage};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::log::{Follower, Log};
use super::platform::{Job, Platform};

/// Time between two reports on draining hosts.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Requests that an entry host sends in a step.
const REQUESTS_PER_STEP: usize = 3;
/// Milliseconds of work of one request.
const WORK_MS: std::ops::Range<u64> = 100..3000;
/// One request of this many runs long.
const REQUESTS_PER_LONG_ONE: u32 = 2000;
/// Seconds of work of a long request.
const LONG_WORK_S: std::ops::Range<u64> = 10..60;

/// `Report` is what an entry host says of one draining host.
#[derive(Clone, Debug)]
pub(crate) struct Report {
    pub(crate) instance: ids::Instance,
    pub(crate) host: ids::Host,
    pub(crate) drain_offset: ids::Offset,
    pub(crate) in_flight: u32,
}

/// `Entry` is one entry host.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) follower: Follower,
    pub(crate) frozen_until: Option<Instant>,
    /// Place in the list of entry hosts, which jobs carry.
    index: usize,
    serving: Vec<(ids::Host, ids::Generation)>,
    serving_positions: Map<ids::Host, usize>,
    draining: Map<ids::Host, ids::Offset>,
    in_flight: Map<ids::Host, u32>,
    /// Requests that were checked and are not written yet.
    pending_writes: VecDeque<(ids::Host, ids::Generation, Duration)>,
    last_report_at: Instant,
}

impl Entry {
    pub(crate) fn new(index: usize, now: Instant, random: &mut ChaCha8Rng) -> Self {
        Self {
            follower: Follower::new(format!("entry-{index}"), Role::Entry, now, random),
            frozen_until: None,
            index,
            serving: Vec::new(),
            serving_positions: Map::default(),
            draining: Map::default(),
            in_flight: Map::default(),
            pending_writes: VecDeque::new(),
            last_report_at: now,
        }
    }

    /// Takes an answer or a refusal.
    pub(crate) fn complete_request(&mut self, host: &ids::Host) {
        if let Some(count) = self.in_flight.get_mut(host) {
            *count = count.saturating_sub(1);
        }
    }

    pub(crate) fn step(
        &mut self,
        now: Instant,
        log: Option<&Log>,
        platform: &mut Platform,
        random: &mut ChaCha8Rng,
    ) -> Vec<Report> {
        // What was checked before a freeze is written first after it.
        self.write(now, platform);
        self.follower.renew(now, log, random);
        while let Some(changes) = self.follower.next_changes(log) {
            for change in changes.iter() {
                self.change(change);
            }
        }
        self.send(random);
        if now.saturating_duration_since(self.last_report_at) < REPORT_INTERVAL {
            return Vec::new();
        }
        self.last_report_at = now;
        let report = |(host, drain_offset): (&ids::Host, &ids::Offset)| Report {
            instance: self.follower.name.clone(),
            host: host.clone(),
            drain_offset: *drain_offset,
            in_flight: self.in_flight.get(host).copied().unwrap_or(0),
        };
        self.draining.iter().map(report).collect()
    }

    fn change(&mut self, change: &Change) {
        let Change::Host(name, host) = change else {
            return;
        };
        match host.stage {
            Stage::Draining { since, .. } => self.draining.insert(name.clone(), since),
            _ => self.draining.remove(name),
        };
        let in_service = host.is_serving() && &*host.pool != persimmongate_core::state::SPARE;
        if let Some(position) = self.serving_positions.remove(name) {
            self.serving.swap_remove(position);
            if let Some((moved, _)) = self.serving.get(position) {
                self.serving_positions.insert(moved.clone(), position);
            }
        }
        if in_service {
            self.serving_positions
                .insert(name.clone(), self.serving.len());
            self.serving.push((name.clone(), host.generation));
        }
    }

    fn send(&mut self, random: &mut ChaCha8Rng) {
        if self.serving.is_empty() {
            return;
        }
        for _ in 0..REQUESTS_PER_STEP {
            let (host, generation) =
                self.serving[random.random_range(0..self.serving.len())].clone();
            let mut work = Duration::from_millis(random.random_range(WORK_MS));
            if random.random_range(0..REQUESTS_PER_LONG_ONE) == 0 {
                work = Duration::from_secs(random.random_range(LONG_WORK_S));
            }
            *self.in_flight.entry(host.clone()).or_default() += 1;
            self.pending_writes.push_back((host, generation, work));
        }
    }

    fn write(&mut self, now: Instant, platform: &mut Platform) {
        while let Some((host, generation, work)) = self.pending_writes.pop_front() {
            let job = Job {
                entry: self.index,
                ends_at: now + work,
            };
            if !platform.start_job(&host, generation, job) {
                self.complete_request(&host);
            }
        }
    }
}
