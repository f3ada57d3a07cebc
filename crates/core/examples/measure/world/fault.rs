//! Faults and when they come.

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::SECOND;

/// Mean steps between two faults.
const FAULT_PERIOD: u32 = 400;
/// Longest fault, in steps.
const FAULT_STEPS_MAX: u64 = 20 * SECOND;

/// `Fault` is one kind of failure.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Fault {
    /// Appends take effect and their answers are lost.
    AppendLost,
    /// Appends take effect twice.
    AppendTwice,
    /// Calls to the platform take effect and their answers are lost.
    CallLost,
    /// Many callers go away.
    Cancel,
    /// A worker gives answers of other requests.
    Crossed,
    /// An entry host can't reach the fleet and the log.
    CutEntry,
    /// A fleet instance can't reach the log and the platform.
    CutFleet,
    /// A worker fails what it starts.
    Failing,
    /// Much more demand than the pools hold.
    Flood,
    /// An entry host stands still.
    FreezeEntry,
    /// A fleet instance stands still.
    FreezeFleet,
    /// An entry host is replaced.
    KillEntry,
    /// A fleet instance is replaced.
    KillFleet,
    /// Bytes to workers and to the platform take seconds.
    LateWrite,
    /// The host list is not refreshed.
    ListStale,
    /// The log can't be reached.
    LogDown,
    /// Two operators apply at once.
    Operators,
    /// All hosts of a rack fail.
    Rack,
    /// A worker is slow.
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

/// `Injection` is a fault at a time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Injection {
    /// Step at which it begins.
    pub(crate) at: u64,
    /// What fails.
    pub(crate) fault: Fault,
    /// Steps for which it lasts.
    pub(crate) steps: u64,
    /// Number that chooses among the things that may fail.
    pub(crate) target: usize,
}

/// `Plan` is all that a run depends on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Plan {
    /// Seed of the random numbers.
    pub(crate) seed: u64,
    /// Steps under load and faults.
    pub(crate) steps: u64,
    /// Faults in the order of their time.
    pub(crate) injections: Vec<Injection>,
}

impl Plan {
    /// Makes a plan with faults drawn from a seed.
    pub(crate) fn draw(seed: u64, steps: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut injections = Vec::new();
        for at in 0..steps {
            if rng.random_range(0..FAULT_PERIOD) == 0 {
                injections.push(Injection::draw(at, &mut rng));
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
    fn draw<R: Rng>(at: u64, rng: &mut R) -> Self {
        Self {
            at,
            fault: Fault::ALL[rng.random_range(0..Fault::ALL.len())],
            steps: rng.random_range(1..FAULT_STEPS_MAX),
            target: rng.random_range(0..1000),
        }
    }
}
