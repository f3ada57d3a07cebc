//! Kinds of faults and their random schedule.

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::SECOND;

/// Mean number of steps between two faults.
const MEAN_FAULT_INTERVAL_STEPS: u32 = 400;
/// Upper limit on the duration of a fault, itself excluded, in steps.
const FAULT_DURATION_LIMIT_STEPS: u64 = 20 * SECOND;

/// `Fault` is one kind of failure.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Fault {
    /// Appends take effect but their answers are lost.
    AppendLost,
    /// Appends take effect twice.
    AppendTwice,
    /// Calls to the platform take effect but their answers are lost.
    CallLost,
    /// All callers of an entry host close their connections.
    Cancel,
    /// A worker returns the answers of other requests.
    Crossed,
    /// An entry host can't reach the fleet instances and the log.
    CutEntry,
    /// A fleet instance can't reach the log and the platform.
    CutFleet,
    /// A worker breaks off the exchange of every request that it has run.
    Failing,
    /// Callers send a multiple of the usual demand.
    Flood,
    /// An entry host makes no progress.
    FreezeEntry,
    /// A fleet instance makes no progress.
    FreezeFleet,
    /// An entry host is replaced.
    KillEntry,
    /// A fleet instance is replaced.
    KillFleet,
    /// Requests to workers and calls to the platform arrive up to seconds late.
    LateWrite,
    /// The host list is not refreshed.
    ListStale,
    /// The log can't be reached.
    LogDown,
    /// Two operators apply a sheet at the same time.
    Operators,
    /// All hosts of a rack fail.
    Rack,
    /// A worker takes a multiple of the usual time.
    Slow,
    /// All hosts of an availability zone fail.
    Zone,
}

impl Fault {
    /// Every fault.
    pub(crate) const ALL: [Self; 20] = [
        Self::AppendLost,
        Self::AppendTwice,
        Self::CallLost,
        Self::Cancel,
        Self::Crossed,
        Self::CutEntry,
        Self::CutFleet,
        Self::Failing,
        Self::Flood,
        Self::FreezeEntry,
        Self::FreezeFleet,
        Self::KillEntry,
        Self::KillFleet,
        Self::LateWrite,
        Self::ListStale,
        Self::LogDown,
        Self::Operators,
        Self::Rack,
        Self::Slow,
        Self::Zone,
    ];
}

/// `Injection` is one scheduled fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Injection {
    /// Step at which the fault starts.
    pub(crate) start_step: u64,
    /// Kind of the fault.
    pub(crate) fault: Fault,
    /// Duration of the fault, in steps.
    pub(crate) duration_steps: u64,
    /// Number that selects the process or host, modulo their count.
    pub(crate) target: usize,
}

/// `Plan` holds everything that determines a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Plan {
    /// Seed of the random numbers.
    pub(crate) seed: u64,
    /// Steps with load and faults.
    pub(crate) steps: u64,
    /// Faults in the order of their start.
    pub(crate) injections: Vec<Injection>,
}

impl Plan {
    /// Makes a plan with random faults.
    pub(crate) fn draw(seed: u64, steps: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut injections = Vec::new();
        for start_step in 0..steps {
            if rng.random_range(0..MEAN_FAULT_INTERVAL_STEPS) == 0 {
                injections.push(Injection::draw(start_step, &mut rng));
            }
        }
        Self {
            seed,
            steps,
            injections,
        }
    }
}

impl Injection {
    fn draw<R: Rng>(start_step: u64, rng: &mut R) -> Self {
        Self {
            start_step,
            fault: Fault::ALL[rng.random_range(0..Fault::ALL.len())],
            duration_steps: rng.random_range(1..FAULT_DURATION_LIMIT_STEPS),
            target: rng.random_range(0..1000),
        }
    }
}
