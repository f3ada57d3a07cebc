//! Waits for places near the data, or on one rack for a group.

use std::time::{Duration, Instant};

use super::event::Action;
use super::graph::{Graph, Placement};
use super::pick::{Candidate, Pick};
use super::pool::Pool;
use super::scheduler::Scheduler;
use super::worker::{Resources, Worker};
use crate::ids;
use crate::job::{Step, Task};
use crate::locality::{self, Forecast, Ledger, Tally};
use crate::map::{Map, Set};

/// `Near` is the waits for places near the data, between passes.
#[derive(Debug, Default)]
pub(super) struct Near {
    ledgers: Map<ids::Service, Ledger>,
    /// Counts of this term.
    pub(super) tally: Tally,
    /// Time of the next pass that was asked for because a wait ends.
    wake_at: Option<Instant>,
}

/// `Places` is the waits of a service during a pass.
#[derive(Debug, Default)]
pub(super) struct Places {
    /// `None` if the settings name no slowdown.
    pass: Option<Pass>,
    ledger: Ledger,
    /// Forecasts of the racks that were asked for in the pass.
    forecasts: Map<ids::Label, Forecast>,
    /// Job and stage that was looked at last, and when the last of its idle tasks has a place near its data.
    latest_step: Option<(ids::Job, usize, Option<Duration>)>,
    /// Whether a task was held back since the latest question.
    has_held: bool,
}

/// `Pass` is what is the same for all waits of a service in a pass.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pass {
    pub(super) now: Instant,
    pub(super) slowdown: u32,
    /// Whether the pass before left jobs without room.
    pub(super) is_room_short: bool,
}

impl Near {
    /// Keeps the waits of a service until the next pass.
    pub(super) fn close(&mut self, service: &ids::Service, places: &mut Places) {
        let ledger = std::mem::take(&mut places.ledger);
        self.ledgers.insert(service.clone(), ledger);
    }

    /// Checks if a pass is due because a wait ends.
    pub(super) fn is_due(&mut self, now: Instant) -> bool {
        let is_due = self.wake_at.is_some_and(|at| at <= now);
        if is_due {
            self.wake_at = None;
        }
        is_due
    }
}

impl Places {
    /// Takes the room of tasks that start in this pass from the forecasts.
    pub(super) fn occupy(&mut self, step: &Step, picks: &[Pick]) {
        let need = Resources::reserved_by(step).into();
        let run_time = (!step.is_long_running).then(|| step.run_time());
        for forecast in self.forecasts.values_mut() {
            for pick in picks {
                forecast.occupy(&pick.worker, need, run_time);
            }
        }
    }

    /// Returns whether a task was held back since the latest question.
    pub(super) fn take_held(&mut self) -> bool {
        std::mem::take(&mut self.has_held)
    }
}

impl Scheduler {
    /// Gives each pool of a pass the waits of its service.
    pub(super) fn open_places(&mut self, now: Instant, pools: &mut Map<ids::Service, Pool>) {
        let slowdown = self.options.remote_slowdown;
        if slowdown <= locality::UNIT {
            return;
        }
        for (service, pool) in pools {
            let tally = self.tallies.get(service);
            let is_room_short = tally.is_some_and(|t| t.without_room + t.unexamined > 0);
            pool.places.pass = Some(Pass {
                now,
                slowdown,
                is_room_short,
            });
            pool.places.ledger = self.near.ledgers.remove(service).unwrap_or_default();
            let racks: Set<&ids::Label> = pool.places.ledger.racks().collect();
            for entry in pool.members.iter_mut().filter(|_| !racks.is_empty()) {
                let worker = self.workers.get(&entry.worker);
                let rack = worker.and_then(Worker::rack);
                entry.is_wanted = rack.is_some_and(|rack| racks.contains(rack));
            }
        }
    }

    /// Decides if a task that could only start away from its data waits for a place near it.
    pub(super) fn awaits_place(
        &self,
        graph: &Graph,
        (stage, index): (usize, usize),
        step: &Step,
        members: &[Candidate],
        counts: &Map<ids::Worker, u32>,
        places: &mut Places,
    ) -> bool {
        let Some((pass, rack)) = places.pass.zip(step.data_rack.as_ref()) else {
            return false;
        };
        let own = &graph.stages[stage];
        let position = u32::try_from(index).unwrap_or(u32::MAX);
        let task = graph.task(own.occurrence, own.step, position);
        if step.is_long_running || places.ledger.has_ended(&task) {
            return false;
        }
        let forecast = places.forecasts.entry(rack.clone());
        let forecast =
            forecast.or_insert_with(|| self.forecast(pass.now, graph, rack, members, step));
        let avoided = &own.tasks[index].avoided_workers;
        let need = Resources::reserved_by(step).into();
        let is_usable = |id: &ids::Worker| {
            let count = counts.get(id).copied().unwrap_or(0);
            step.max_per_worker.is_none_or(|max| count < max)
                && self.is_suited(graph, stage, step, id)
        };
        let place = forecast.find(need, |id| !avoided.contains(id) && is_usable(id));
        let key = (graph.job.id.clone(), stage);
        let known = places.latest_step.take();
        let last = match known.filter(|(job, known, _)| (job, known) == (&key.0, &key.1)) {
            Some((.., last)) => last,
            None => self.last_place(graph, (stage, index), step, rack, forecast, is_usable),
        };
        places.latest_step = Some((key.0, key.1, last));
        // A step ends with its last task: if that one must run elsewhere, the others win nothing by a wait.
        let demand = place.map(|_| {
            let expected = last.unwrap_or(Duration::MAX);
            self.demand(&pass, graph, stage, step, expected)
        });
        let is_held = places
            .ledger
            .holds(pass.now, &task, demand.map(|demand| (rack, demand)));
        if let Some(place) = place.filter(|_| is_held) {
            forecast.take(place, need, step.run_time());
        }
        places.has_held |= is_held;
        is_held
    }

    /// Decides if a group that could only start away from its data, or spread over racks, waits.
    pub(super) fn group_awaits_place(
        &self,
        graph: &Graph,
        stage: usize,
        step: &Step,
        pool: &mut Pool,
    ) -> bool {
        let Pool {
            members, places, ..
        } = pool;
        let Some(pass) = places.pass.filter(|_| !step.is_long_running) else {
            return false;
        };
        let own = &graph.stages[stage];
        let task = graph.task(own.occurrence, own.step, 0);
        if places.ledger.has_ended(&task) {
            return false;
        }
        let workers = members
            .iter()
            .filter_map(|entry| self.workers.get(&entry.worker));
        let racks: Set<ids::Label> = match &step.data_rack {
            Some(rack) => std::iter::once(rack.clone()).collect(),
            None => workers.filter_map(Worker::rack).cloned().collect(),
        };
        let need = Resources::reserved_by(step).into();
        let is_usable = |id: &ids::Worker, count: u32| {
            step.max_per_worker.is_none_or(|max| count < max)
                && self.is_suited(graph, stage, step, id)
        };
        let mut best: Option<(Duration, ids::Label, Forecast)> = None;
        for rack in racks {
            let forecast = places.forecasts.entry(rack.clone());
            let forecast =
                forecast.or_insert_with(|| self.forecast(pass.now, graph, &rack, members, step));
            let mut trial = forecast.clone();
            let at = trial.queue_group(need, own.tasks.len(), step.run_time(), is_usable);
            let is_first = |at: Duration| {
                best.as_ref()
                    .is_none_or(|(known, label, _)| (at, &rack) < (*known, label))
            };
            if let Some(at) = at.filter(|at| is_first(*at)) {
                best = Some((at, rack, trial));
            }
        }
        let demand = best.as_ref().map(|(at, rack, _)| {
            let demand = self.demand(&pass, graph, stage, step, *at);
            (rack, demand)
        });
        let is_held = places.ledger.holds(pass.now, &task, demand);
        if let Some((_, rack, forecast)) = best.filter(|_| is_held) {
            places.forecasts.insert(rack, forecast);
        }
        places.has_held |= is_held;
        is_held
    }

    /// Records the tasks of a stage that start, and whether they do away from their data.
    pub(super) fn record_places(
        &self,
        now: Instant,
        job: &ids::Job,
        stage: usize,
        picks: &[Pick],
        places: &mut Places,
    ) {
        let Some(graph) = self.jobs.get(job).filter(|_| !picks.is_empty()) else {
            return;
        };
        let own = &graph.stages[stage];
        let task = |index: usize| {
            let index = u32::try_from(index).unwrap_or(u32::MAX);
            graph.task(own.occurrence, own.step, index)
        };
        if graph.step_of(stage).is_gang {
            let away = picks.iter().filter(|pick| pick.is_away).count();
            places.ledger.record_start(now, &task(0), away);
        } else {
            for pick in picks {
                let away = usize::from(pick.is_away);
                places.ledger.record_start(now, &task(pick.index), away);
            }
        }
    }

    /// Ends the waits of tasks that no longer wait to start, and asks for a pass when the next wait ends.
    pub(super) fn end_place_waits(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let jobs = &self.jobs;
        let is_idle = |task: &Task| {
            let graph = jobs.get(&task.job).filter(|graph| !graph.is_over());
            let state = graph.and_then(|graph| {
                let (stage, index) = graph.find(task)?;
                Some(&graph.stages[stage].tasks[index].placement)
            });
            state == Some(&Placement::Idle)
        };
        let mut next_end: Option<Instant> = None;
        for ledger in self.near.ledgers.values_mut() {
            ledger.retain(now, is_idle);
            let (tally, endings) = ledger.take_report();
            self.near.tally.add(tally);
            let endings = endings.into_iter().map(Box::new);
            actions.extend(endings.map(Action::LogPlaceWait));
            next_end = next_end.into_iter().chain(ledger.next_end()).min();
        }
        self.near.ledgers.retain(|_, ledger| !ledger.is_empty());
        let is_sooner = |at: &Instant| {
            let wake_at = self.near.wake_at.filter(|wake_at| *wake_at > now);
            wake_at.is_none_or(|wake_at| *at < wake_at)
        };
        if let Some(at) = next_end.filter(is_sooner) {
            self.near.wake_at = Some(at);
            let delay = at.saturating_duration_since(now);
            actions.push(Action::SchedulePlacement(delay));
        }
    }
}
