use std::time::Duration;

use super::room::Room;
use crate::ids;

/// Shortest time that a run is expected to take on: its end is reported, and the next start is sent.
const MIN_REMAINING: Duration = Duration::from_millis(50);
/// Progress from which on the rate of a run tells more than its estimate, in percent.
const MIN_PERCENT: u32 = 10;

/// `Progress` is the share of its work that a run had done at an age.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Share that was done, in percent.
    pub percent: u32,
    /// Age of the run at that time.
    pub age: Duration,
}

/// Returns the time that a run is expected to take on.
///
/// `estimate` is its declared run time, `age` the time since its start. A run that has outlasted its estimate
/// without progress is expected to last as long again as it is over it.
#[must_use]
pub fn remaining(estimate: Duration, age: Duration, progress: Option<Progress>) -> Duration {
    let known = progress.filter(|progress| (MIN_PERCENT..100).contains(&progress.percent));
    let remaining = match known {
        Some(progress) => {
            let total = progress.age.saturating_mul(100) / progress.percent;
            total.saturating_sub(age)
        }
        None => estimate.abs_diff(age),
    };
    remaining.max(MIN_REMAINING)
}

/// `Host` is the room of one worker over time.
#[derive(Clone, Debug)]
struct Host {
    worker: ids::Worker,
    /// Room that is free from `free_from` on.
    free: Room,
    free_from: Duration,
    /// Times at which more becomes free, in order.
    releases: Vec<(Duration, Room)>,
}

impl Host {
    /// Returns the time from which on it has room.
    fn earliest(&self, need: Room) -> Option<Duration> {
        if self.free.covers(need) {
            return Some(self.free_from);
        }
        let mut free = self.free;
        for (at, room) in &self.releases {
            free = free.plus(*room);
            if free.covers(need) {
                return Some(self.free_from.max(*at));
            }
        }
        None
    }

    /// Takes room from a time on, until a later time if there is one.
    fn take(&mut self, need: Room, from: Duration, until: Option<Duration>) {
        let released = self.releases.iter().take_while(|(at, _)| *at <= from);
        let released = released.count();
        for (_, room) in self.releases.drain(..released) {
            self.free = self.free.plus(room);
        }
        self.free = self.free.minus(need);
        self.free_from = self.free_from.max(from);
        if let Some(until) = until {
            self.release(until, need);
        }
    }

    fn release(&mut self, at: Duration, room: Room) {
        let position = self.releases.partition_point(|(other, _)| *other <= at);
        self.releases.insert(position, (at, room));
    }
}

/// `Place` is room for a task on a worker of a rack, from a time on.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// Time from now until then.
    pub at: Duration,
    index: usize,
}

/// `Forecast` is when the workers of a rack are expected to have room. Times are counted from now on.
///
/// Whoever waits for the rack takes the room in turn, so that each one counts those before it.
#[derive(Clone, Debug, Default)]
pub struct Forecast {
    hosts: Vec<Host>,
}

impl Forecast {
    /// Adds a sound worker, with its free room, from when on it has it, and the expected ends of its runs.
    pub fn add(
        &mut self,
        worker: ids::Worker,
        free: Room,
        free_from: Duration,
        mut releases: Vec<(Duration, Room)>,
    ) {
        releases.sort_by_key(|(at, _)| *at);
        self.hosts.push(Host {
            worker,
            free,
            free_from,
            releases,
        });
    }

    /// Checks if the rack has no sound worker.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Takes room now for a task that starts on a worker, if that is one of the rack.
    pub fn occupy(&mut self, worker: &ids::Worker, need: Room, run_time: Option<Duration>) {
        let mut hosts = self.hosts.iter_mut();
        if let Some(host) = hosts.find(|host| host.worker == *worker) {
            host.take(need, Duration::ZERO, run_time);
        }
    }

    /// Returns where and when a task finds room first; `None` if it never does.
    pub fn find(&self, need: Room, is_usable: impl Fn(&ids::Worker) -> bool) -> Option<Place> {
        let hosts = self.hosts.iter().enumerate();
        let usable = hosts.filter(|(_, host)| is_usable(&host.worker));
        let places = usable.filter_map(|(index, host)| {
            let at = host.earliest(need)?;
            Some(Place { at, index })
        });
        places.min_by_key(|place| place.at)
    }

    /// Takes the room of a place that was found last, for those who come after the task.
    pub fn take(&mut self, place: Place, need: Room, run_time: Duration) {
        if let Some(host) = self.hosts.get_mut(place.index) {
            host.take(need, place.at, Some(place.at.saturating_add(run_time)));
        }
    }

    /// Returns the time until the last one of a number of tasks finds room, if each takes the room that it finds;
    /// `None` if one never does.
    #[must_use]
    pub fn find_last(
        &self,
        need: Room,
        count: usize,
        run_time: Duration,
        is_usable: impl Fn(&ids::Worker) -> bool,
    ) -> Option<Duration> {
        let mut trial = self.clone();
        let mut last = Duration::ZERO;
        for _ in 0..count {
            let place = trial.find(need, &is_usable)?;
            trial.take(place, need, run_time);
            last = last.max(place.at);
        }
        Some(last)
    }

    /// Returns the time until a group has room for all its tasks at once, and takes that room; `None` if it
    /// never has, or if `is_usable`, which gets the number of the group's tasks on a worker, keeps it from that.
    pub fn queue_group(
        &mut self,
        need: Room,
        size: usize,
        run_time: Duration,
        is_usable: impl Fn(&ids::Worker, u32) -> bool,
    ) -> Option<Duration> {
        let before = self.hosts.clone();
        let mut counts = vec![0_u32; self.hosts.len()];
        let mut start = Duration::ZERO;
        for _ in 0..size {
            let hosts = self.hosts.iter().enumerate();
            let usable = hosts.filter(|(index, host)| is_usable(&host.worker, counts[*index]));
            let times = usable.filter_map(|(index, host)| Some((host.earliest(need)?, index)));
            let Some((at, index)) = times.min() else {
                self.hosts = before;
                return None;
            };
            self.hosts[index].take(need, at, None);
            counts[index] += 1;
            start = start.max(at);
        }
        let end = start.saturating_add(run_time);
        for (host, count) in self.hosts.iter_mut().zip(counts) {
            for _ in 0..count {
                host.release(end, need);
            }
        }
        Some(start)
    }
}
