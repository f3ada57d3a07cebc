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
const REPORT: Duration = Duration::from_millis(500);
/// Requests that an entry host sends in a step.
const RATE: usize = 3;
/// Milliseconds of work of one request.
const WORK_MS: std::ops::Range<u64> = 100..3000;
/// One request of this many runs long.
const LONG_ONE_IN: u32 = 2000;
/// Seconds of work of a long request.
const LONG_S: std::ops::Range<u64> = 10..60;

/// `Report` is what an entry host says of one draining host.
#[derive(Clone, Debug)]
pub(crate) struct Report {
    pub(crate) instance: ids::Instance,
    pub(crate) host: ids::Host,
    pub(crate) since: ids::Offset,
    pub(crate) in_flight: u32,
}

/// `Entry` is one entry host.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) follower: Follower,
    pub(crate) frozen: Option<Instant>,
    /// Place in the list of entry hosts, which jobs carry.
    place: usize,
    serving: Vec<(ids::Host, ids::Generation)>,
    places: Map<ids::Host, usize>,
    draining: Map<ids::Host, ids::Offset>,
    in_flight: Map<ids::Host, u32>,
    /// Requests that were checked and are not written yet.
    writes: VecDeque<(ids::Host, ids::Generation, Duration)>,
    reported: Instant,
}

impl Entry {
    pub(crate) fn new(place: usize, now: Instant, random: &mut ChaCha8Rng) -> Self {
        Self {
            follower: Follower::new(format!("entry-{place}"), Role::Entry, now, random),
            frozen: None,
            place,
            serving: Vec::new(),
            places: Map::default(),
            draining: Map::default(),
            in_flight: Map::default(),
            writes: VecDeque::new(),
            reported: now,
        }
    }

    /// Takes an answer or a refusal.
    pub(crate) fn answered(&mut self, host: &ids::Host) {
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
        self.follower.keep(now, log, random);
        while let Some(changes) = self.follower.read(log) {
            for change in changes.iter() {
                self.change(change);
            }
        }
        self.send(random);
        if now.saturating_duration_since(self.reported) < REPORT {
            return Vec::new();
        }
        self.reported = now;
        let report = |(host, since): (&ids::Host, &ids::Offset)| Report {
            instance: self.follower.name.clone(),
            host: host.clone(),
            since: *since,
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
        if let Some(place) = self.places.remove(name) {
            self.serving.swap_remove(place);
            if let Some((moved, _)) = self.serving.get(place) {
                self.places.insert(moved.clone(), place);
            }
        }
        if in_service {
            self.places.insert(name.clone(), self.serving.len());
            self.serving.push((name.clone(), host.generation));
        }
    }

    fn send(&mut self, random: &mut ChaCha8Rng) {
        if self.serving.is_empty() {
            return;
        }
        for _ in 0..RATE {
            let (host, generation) =
                self.serving[random.random_range(0..self.serving.len())].clone();
            let mut work = Duration::from_millis(random.random_range(WORK_MS));
            if random.random_range(0..LONG_ONE_IN) == 0 {
                work = Duration::from_secs(random.random_range(LONG_S));
            }
            *self.in_flight.entry(host.clone()).or_default() += 1;
            self.writes.push_back((host, generation, work));
        }
    }

    fn write(&mut self, now: Instant, platform: &mut Platform) {
        while let Some((host, generation, work)) = self.writes.pop_front() {
            let job = Job {
                entry: self.place,
                ends: now + work,
            };
            if !platform.run(&host, generation, job) {
                self.answered(&host);
            }
        }
    }
}
