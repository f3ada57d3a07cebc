//! Waves of maintenance: which host goes when.

use std::time::Instant;

use super::event::{Action, Operation};
use super::host::{Host, State};
use super::planner::Planner;
use crate::ids;
use crate::map::Set;

/// `Cost` is what it costs to take a host away, by how full its pool is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Cost {
    /// It is in the spare pool, or was freed already.
    None,
    /// It runs nothing.
    Idle(u64),
    /// It runs tasks that end.
    Light(u64),
    /// It runs lasting tasks, which must move.
    Lasting(u64),
}

impl Planner {
    /// Tells operators how far the waves are.
    pub(super) fn tell(&mut self, actions: &mut Vec<Action>) {
        let known = !self.hosts.is_empty();
        for tour in &mut self.tours {
            let open =
                |host: &&ids::Host| !tour.done.contains(*host) && self.hosts.contains_key(*host);
            let complete = known && !tour.wave.hosts.iter().any(|host| open(&host));
            if tour.told.is_none() || (tour.told == Some(false) && complete) {
                tour.told = Some(complete);
                actions.push(Action::ReportWave(tour.wave.number, complete));
            }
        }
    }

    /// Starts to free the next hosts of the waves: those that nobody misses as soon as the cap lets
    /// them, the others as late as the wave's time allows.
    pub(super) fn plan_waves(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut plans: Vec<(ids::Host, Operation)> = Vec::new();
        for tour in &self.tours {
            let number = tour.wave.number;
            let busy = self
                .tasks
                .values()
                .filter(|t| t.kind == Operation::Maintain(number))
                .count();
            let down = tour
                .wave
                .hosts
                .iter()
                .filter(|host| self.down.contains_key(*host))
                .count();
            let mut open: Vec<(Cost, &Host)> = tour
                .wave
                .hosts
                .iter()
                .filter(|host| !tour.done.contains(*host) && !self.tasks.contains_key(*host))
                .filter_map(|host| self.hosts.get(host))
                .filter(|host| host.state == State::Up)
                .map(|host| (self.cost(host), host))
                .collect();
            open.sort_by_key(|(cost, host)| (*cost, host.name.clone()));
            let pace = tour.pace(now, open.len() + busy);
            for (under, (cost, host)) in (busy + down..).zip(open) {
                let most = if cost == Cost::None {
                    tour.wave.max_down
                } else {
                    pace
                };
                if under >= most {
                    break;
                }
                plans.push((host.name.clone(), Operation::Maintain(number)));
            }
        }
        for (host, kind) in plans {
            self.begin(now, &host, kind, actions);
        }
    }

    /// Gets what it costs to take a host away now.
    fn cost(&self, host: &Host) -> Cost {
        let freed = |worker| self.drains.contains_key(worker);
        if self.is_spare(&host.service) || host.worker.as_ref().is_some_and(freed) {
            return Cost::None;
        }
        let light = self.loads.get(&host.service).and_then(|load| {
            let own = |(worker, _): &&(ids::Worker, u64)| host.worker.as_ref() == Some(worker);
            load.least_loaded.iter().find(own)
        });
        match light {
            Some((_, 0)) => Cost::Idle(self.press(&host.service)),
            Some(_) => Cost::Light(self.press(&host.service)),
            None => Cost::Lasting(self.press(&host.service)),
        }
    }

    /// Checks if one more host of a wave may go down.
    pub(super) fn has_slot(&self, number: ids::WaveNumber, host: &ids::Host) -> bool {
        let Some(tour) = self.tours.iter().find(|tour| tour.wave.number == number) else {
            return false;
        };
        let sent = |host: &ids::Host| self.tasks.get(host).is_some_and(|task| task.sent);
        let others: Set<&ids::Host> = tour
            .wave
            .hosts
            .iter()
            .filter(|other| *other != host)
            .filter(|other| sent(other) || self.down.contains_key(*other))
            .collect();
        others.len() < tour.wave.max_down
    }
    /// Notes that a host has begun its maintenance.
    pub(super) fn finish_upkeep(
        &mut self,
        now: Instant,
        host: &ids::Host,
        number: ids::WaveNumber,
        actions: &mut Vec<Action>,
    ) {
        self.down.insert(host.clone(), now);
        if let Some(entry) = self.hosts.get_mut(host) {
            entry.state = State::Maintenance;
        }
        if let Some(tour) = self.tours.iter_mut().find(|t| t.wave.number == number) {
            tour.done.insert(host.clone());
            actions.push(Action::RecordMaintained(
                number,
                tour.done.iter().cloned().collect(),
            ));
        }
    }
}
