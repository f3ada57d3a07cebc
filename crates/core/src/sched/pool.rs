use super::graph::Graph;
use super::near::Places;
use super::pick::Candidate;
use super::rank::Rank;
use super::worker::{Resources, Worker};
use crate::ids;
use crate::job::Step;
use crate::limit::Amount;
use crate::map::Map;

/// Consecutive jobs without a placed task that a pass looks at from the front of the ranking.
const MAX_FRONT_LOOKS: usize = 16;
/// Further jobs that it looks at, from where the pass before ended. They keep the front from being held by
/// jobs that can't start: each waiting job has its turn.
const MAX_ROTATING_LOOKS: usize = 8;
/// Sizes without room that are remembered for each label.
const MAX_MISFITS: usize = 8;

/// Position of a job in the ranking.
pub(super) type Position = (Rank, ids::Job);

/// `Tally` is what the latest pass of placement made of the waiting jobs of a service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    /// Jobs with idle tasks.
    pub waiting: usize,
    /// Those of which a task was started.
    pub started: usize,
    /// Those whose idle tasks wait for earlier steps.
    pub not_ready: usize,
    /// Those for which no worker with the required label has room.
    pub without_room: usize,
    /// Those whose account may not start more, as its limit is reached or the shard has too small a part of it.
    pub limited: usize,
    /// Those whose idle tasks wait for an answer of the policy service, or were permitted on no worker.
    pub unadvised: usize,
    /// Those that had room and of which no task could be placed for another reason.
    pub unplaced: usize,
    /// Those whose tasks wait for a place near their data, or their group for one on one rack.
    pub awaiting_place: usize,
    /// Those that the pass did not look at, as too many before them could not be placed.
    pub unexamined: usize,
    /// The first of those that were not looked at, in the order of rank.
    pub first_unexamined: Option<ids::Job>,
    /// Workers of the service that may get tasks.
    pub eligible: usize,
    /// Processor time of these workers that no run reserved before the pass, in millicores.
    pub free_millicores: u64,
}

/// `Outcome` is what a pass made of a job.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Outcome {
    /// Its idle tasks wait for earlier steps.
    NotReady,
    /// No worker with the required label has room.
    NoRoom,
    /// Its account may not start more.
    Limited,
    /// The policy service has not permitted a worker.
    Unadvised,
    /// Workers had room, but no task could be placed for another reason.
    Unplaced,
    /// Workers had room, but the tasks wait for a place near their data or on one rack.
    AwaitingPlace,
    /// Tasks were started.
    Started,
}

/// `Shortage` is what is known of the room on the workers with a label. Room only shrinks during a pass, so
/// that it holds until the end of the pass.
#[derive(Debug, Default)]
struct Shortage {
    /// Largest free amount of each resource on any of the workers; `None` if there is none.
    largest: Option<Resources>,
    /// Sizes that no worker has room for.
    misfits: Vec<Resources>,
}

impl Shortage {
    fn excludes(&self, need: Resources) -> bool {
        self.largest.is_none_or(|largest| !largest.covers(need))
            || self.misfits.iter().any(|misfit| need.covers(*misfit))
    }

    fn record(&mut self, need: Resources, largest: Option<Resources>) {
        self.largest = largest;
        self.misfits.retain(|misfit| !misfit.covers(need));
        if self.misfits.len() < MAX_MISFITS {
            self.misfits.push(need);
        }
    }
}

/// `Pool` is the workers of a service that may get tasks, with the state of a pass over its waiting jobs.
#[derive(Debug, Default)]
pub(super) struct Pool {
    pub(super) members: Vec<Candidate>,
    pub(super) tally: Tally,
    /// Known shortages by required label.
    shortages: Map<Option<ids::Label>, Shortage>,
    /// Consecutive jobs from the front that were looked at without a start.
    front_looks: usize,
    /// Consecutive further jobs that were looked at without a start.
    rotating_looks: usize,
    /// Position after which the further jobs begin.
    resume_after: Option<Position>,
    /// Latest position of a further job that was looked at.
    rotated_to: Option<Position>,
    /// Waits for places near the data.
    pub(super) places: Places,
}

impl Pool {
    /// Creates the pool of a pass; `resume_after` is where the pass before ended.
    pub(super) fn new(resume_after: Position) -> Self {
        Self {
            resume_after: Some(resume_after),
            ..Self::default()
        }
    }

    pub(super) fn add(&mut self, member: Candidate) {
        let free = member.free.cpu_millicores;
        self.tally.eligible += 1;
        self.tally.free_millicores = self.tally.free_millicores.saturating_add(free);
        self.members.push(member);
    }

    /// Checks if the pass may look at a job.
    pub(super) fn may_look(&self, position: &Position) -> bool {
        let is_next = || {
            let resume_after = self.resume_after.as_ref();
            resume_after.is_none_or(|resume_after| position > resume_after)
        };
        self.front_looks < MAX_FRONT_LOOKS
            || (self.rotating_looks < MAX_ROTATING_LOOKS && is_next())
    }

    /// Counts a job that the pass does not look at.
    pub(super) fn skip(&mut self, job: &ids::Job) {
        self.tally.unexamined += 1;
        self.tally
            .first_unexamined
            .get_or_insert_with(|| job.clone());
    }

    /// Counts what the pass made of a job. After a start it may look at as many jobs as at first.
    pub(super) fn record(&mut self, outcome: Outcome) {
        let tally = &mut self.tally;
        match outcome {
            Outcome::NotReady => tally.not_ready += 1,
            Outcome::NoRoom => tally.without_room += 1,
            Outcome::Limited => tally.limited += 1,
            Outcome::Unadvised => tally.unadvised += 1,
            Outcome::Unplaced => tally.unplaced += 1,
            Outcome::AwaitingPlace => tally.awaiting_place += 1,
            Outcome::Started => {
                tally.started += 1;
                self.front_looks = 0;
                self.rotating_looks = 0;
            }
        }
    }

    /// Counts a look at a job without a start.
    pub(super) fn record_miss(&mut self, position: &Position) {
        if self.front_looks < MAX_FRONT_LOOKS {
            self.front_looks += 1;
        } else {
            self.rotating_looks += 1;
            self.rotated_to = Some(position.clone());
        }
    }

    /// Returns where the next pass resumes, and what this one made of the jobs.
    pub(super) fn finish(self) -> (Option<Position>, Tally) {
        let has_reached_end = self.rotating_looks < MAX_ROTATING_LOOKS;
        (self.rotated_to.filter(|_| !has_reached_end), self.tally)
    }

    /// Checks if it is known without a look at each worker that none with the required label has room for a
    /// task of a step.
    pub(super) fn is_known_full(&self, step: &Step) -> bool {
        let shortage = self.shortages.get(&step.required_label);
        shortage.is_some_and(|shortage| shortage.excludes(Resources::reserved_by(step)))
    }

    /// Checks if workers with the required label have room for a task of a stage, or for all of a gang.
    pub(super) fn has_room_for(
        &mut self,
        workers: &Map<ids::Worker, Worker>,
        graph: &Graph,
        stage: usize,
    ) -> bool {
        let step = graph.step_of(stage);
        if !step.is_gang {
            return self.has_room(workers, step);
        }
        let need = Amount::from(Resources::reserved_by(step));
        let max = step.max_per_worker.map_or(u64::MAX, u64::from);
        let members = self
            .members
            .iter()
            .filter(|entry| has_label(workers, entry, step));
        let counts = members.map(|entry| Amount::from(entry.free).fit_count(need).min(max));
        counts.fold(0, u64::saturating_add) >= graph.stages[stage].tasks.len() as u64
    }

    /// Checks if a worker with the required label has room for a task of a step.
    pub(super) fn has_room(&mut self, workers: &Map<ids::Worker, Worker>, step: &Step) -> bool {
        let need = Resources::reserved_by(step);
        let has_label = |entry: &&Candidate| has_label(workers, entry, step);
        let mut with_room = self.members.iter().filter(|c| c.free.covers(need));
        if with_room.any(|entry| has_label(&entry)) {
            return true;
        }
        let free = self.members.iter().filter(has_label).map(|c| c.free);
        let largest = free.reduce(Resources::largest);
        let shortage = self.shortages.entry(step.required_label.clone());
        shortage.or_default().record(need, largest);
        false
    }
}

/// Checks if a worker has the label that a step requires.
fn has_label(workers: &Map<ids::Worker, Worker>, entry: &Candidate, step: &Step) -> bool {
    step.required_label.as_ref().is_none_or(|label| {
        let worker = workers.get(&entry.worker);
        worker.is_some_and(|worker| worker.has_label(label))
    })
}
