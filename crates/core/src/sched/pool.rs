use super::pick::Candidate;
use crate::ids;

/// `Tally` is what the latest pass of placement made of the waiting jobs of a service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    /// Jobs with idle tasks.
    pub waiting: usize,
    /// Those of which a task was started.
    pub started: usize,
    /// Those of which no task could be placed.
    pub unplaced: usize,
    /// Those that the pass did not look at, as too many before them could not be placed.
    pub unexamined: usize,
    /// The first of those that were not looked at, in the order of rank.
    pub first_unexamined: Option<ids::Job>,
    /// Workers of the service that may get tasks.
    pub eligible: usize,
    /// Processor time of these workers that no run reserved before the pass, in millicores.
    pub free_millicores: u64,
}

/// `Pool` is the workers of a service that may get tasks.
#[derive(Debug, Default)]
pub(super) struct Pool {
    pub(super) members: Vec<Candidate>,
    /// Consecutive jobs of which no task could be placed.
    pub(super) unplaced: usize,
    pub(super) tally: Tally,
}

impl Pool {
    pub(super) fn add(&mut self, member: Candidate) {
        let free = member.free.cpu_millicores;
        self.tally.eligible += 1;
        self.tally.free_millicores = self.tally.free_millicores.saturating_add(free);
        self.members.push(member);
    }

    /// Counts a job that the pass does not look at.
    pub(super) fn skip(&mut self, job: &ids::Job) {
        self.tally.unexamined += 1;
        self.tally
            .first_unexamined
            .get_or_insert_with(|| job.clone());
    }
}
