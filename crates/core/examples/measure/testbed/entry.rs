//! Entry host that sends requests to the serving hosts it knows of and reports on drains.

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

/// Time between two reports on the draining hosts.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Requests that an entry host sends in each step.
const REQUESTS_PER_STEP: usize = 3;
/// Time for which a request runs, in milliseconds.
const WORK_MS: std::ops::Range<u64> = 100..3000;
/// Mean number of requests for each long one.
const REQUESTS_PER_LONG_REQUEST: u32 = 2000;
/// Time for which a long request runs, in seconds.
const LONG_WORK_S: std::ops::Range<u64> = 10..60;

/// `Report` is the number of requests that an entry host has in flight on a draining host.
#[derive(Clone, Debug)]
pub(crate) struct Report {
    pub(crate) instance: ids::Instance,
    pub(crate) host: ids::Host,
    pub(crate) drain_offset: ids::Offset,
    pub(crate) in_flight: u32,
}

/// `Entry` is an entry host.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) follower: Follower,
    pub(crate) frozen_until: Option<Instant>,
    /// Index in the list of entry hosts, by which jobs refer to it.
    index: usize,
    serving: Vec<(ids::Host, ids::Generation)>,
    /// Position of each host in `serving`.
    serving_positions: Map<ids::Host, usize>,
    draining: Map<ids::Host, ids::Offset>,
    in_flight: Map<ids::Host, u32>,
    /// Requests whose host is chosen and that are not sent yet, with the time for which they run.
    pending_requests: VecDeque<(ids::Host, ids::Generation, Duration)>,
    last_report_at: Instant,
}

impl Entry {
    pub(crate) fn new(index: usize, now: Instant, rng: &mut ChaCha8Rng) -> Self {
        Self {
            follower: Follower::new(format!("entry-{index}"), Role::Entry, now, rng),
            frozen_until: None,
            index,
            serving: Vec::new(),
            serving_positions: Map::default(),
            draining: Map::default(),
            in_flight: Map::default(),
            pending_requests: VecDeque::new(),
            last_report_at: now,
        }
    }

    /// Handles the end of a request: an answer or a refusal.
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
        rng: &mut ChaCha8Rng,
    ) -> Vec<Report> {
        // Requests that were pending when the host froze are sent before the log is read again.
        self.send_pending(now, platform);
        self.follower.renew(now, log, rng);
        while let Some(changes) = self.follower.next_changes(log) {
            for change in changes.iter() {
                self.apply_change(change);
            }
        }
        self.choose_requests(rng);
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

    fn apply_change(&mut self, change: &Change) {
        let Change::Host(name, host) = change else {
            return;
        };
        match host.stage {
            Stage::Draining { since, .. } => self.draining.insert(name.clone(), since),
            _ => self.draining.remove(name),
        };
        let is_in_service = host.is_serving() && &*host.pool != persimmongate_core::state::SPARE;
        if let Some(position) = self.serving_positions.remove(name) {
            self.serving.swap_remove(position);
            if let Some((moved, _)) = self.serving.get(position) {
                self.serving_positions.insert(moved.clone(), position);
            }
        }
        if is_in_service {
            self.serving_positions
                .insert(name.clone(), self.serving.len());
            self.serving.push((name.clone(), host.generation));
        }
    }

    fn choose_requests(&mut self, rng: &mut ChaCha8Rng) {
        if self.serving.is_empty() {
            return;
        }
        for _ in 0..REQUESTS_PER_STEP {
            let (host, generation) = self.serving[rng.random_range(0..self.serving.len())].clone();
            let mut work = Duration::from_millis(rng.random_range(WORK_MS));
            if rng.random_range(0..REQUESTS_PER_LONG_REQUEST) == 0 {
                work = Duration::from_secs(rng.random_range(LONG_WORK_S));
            }
            *self.in_flight.entry(host.clone()).or_default() += 1;
            self.pending_requests.push_back((host, generation, work));
        }
    }

    fn send_pending(&mut self, now: Instant, platform: &mut Platform) {
        while let Some((host, generation, work)) = self.pending_requests.pop_front() {
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
