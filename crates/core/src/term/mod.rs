//! Leader election for a shard, by claims appended to the shard's partition of the log.
//!
//! A claim is a conditional append: the partition must still end at the offset up to which the candidate
//! has read it. The offset of the claim therefore gives a term that no other claim has. The log rejects
//! later records of older terms, and workers reject commands with older fencing tokens, so time-outs
//! decide only when a process tries to claim and never whether it leads.

use std::time::{Duration, Instant};

use crate::ids;
use crate::journal::Heartbeat;

/// Time between two heartbeats of a leader. Several must be lost before another process claims.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Time without a record of the leader after which another process may claim: three heartbeats and a
/// slow append.
pub const LEADER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which a claim without a result is appended again.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// Processor time of a host, in millicores, with which a leader keeps up at the peak load of a service.
const PEAK_CPU_MILLICORES: u32 = 250;
/// Maximum of the part of the election timeout that depends on the size of the host; it is zero from
/// `PEAK_CPU_MILLICORES`. With half of that processor time it is longer than the jitter and the delay for two led
/// shards, so that larger hosts claim first, as services peak one after another.
const MAX_SMALL_HOST_DELAY: Duration = Duration::from_secs(2);
/// Election timeout that each shard that the process already leads adds.
const DELAY_PER_LED_SHARD: Duration = Duration::from_millis(300);
/// Upper bound of the random part of an election timeout, in milliseconds.
const MAX_JITTER_MS: u64 = 250;

/// Returns the election timeout of a process, which is shorter on larger hosts and for processes that lead
/// fewer shards, so that leaders spread over the processes.
///
/// `cpu_millicores` is the processor time of the host in millicores, `led_count` the number of
/// shards that the process leads, and `random` any number.
#[must_use]
pub fn election_timeout(cpu_millicores: u32, led_count: u32, random: u64) -> Duration {
    let jitter = Duration::from_millis(random % MAX_JITTER_MS);
    let missing_cpu_millicores = PEAK_CPU_MILLICORES.saturating_sub(cpu_millicores);
    jitter
        + DELAY_PER_LED_SHARD * led_count
        + MAX_SMALL_HOST_DELAY * missing_cpu_millicores / PEAK_CPU_MILLICORES
}

/// `Event` is an input of an election.
#[derive(Clone, Debug)]
pub enum Event {
    /// The partition was read up to its end.
    Read {
        /// Time at which the read request was sent.
        sent_at: Instant,
        /// Offset that the next record of the partition gets.
        end: ids::Offset,
    },
    /// A record of a leader other than a heartbeat was read.
    LeaderActive,
    /// A heartbeat or a claim was read.
    Heartbeat {
        /// Offset of the record.
        offset: ids::Offset,
        /// Contents of the record.
        heartbeat: Heartbeat,
    },
    /// The log rejected the claim, or the claim had no effect.
    ClaimRejected,
    /// The log rejected an append because it holds a newer term.
    Fenced,
    /// The process is shutting down.
    ShutDown,
}

/// `Action` is an output of an election.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Append a claim, on the condition that the partition ends at an offset.
    Claim {
        /// Offset at which the partition must end for the log to accept the claim.
        expected_end: ids::Offset,
        /// Value that distinguishes the incarnations of the process.
        nonce: u64,
    },
    /// Start to lead.
    Lead {
        /// Term of the new leader.
        term: ids::Term,
        /// Whether the shard had a leader before, whose tasks may still run.
        has_predecessor: bool,
        /// Whether that leader sends no further requests, as it resigned or was an earlier incarnation of
        /// this process.
        predecessor_resigned: bool,
    },
    /// Stop leading.
    StepDown,
}

/// `Leadership` is the state of the leader that the log names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Leadership {
    /// The leader holds its term until it times out.
    Held,
    /// The leader announced that it is going to resign.
    Resigning,
    /// The leader resigned, or there was none.
    Vacant,
}

/// `Election` tracks the leader of a shard and claims the shard when it has none.
#[derive(Debug)]
pub struct Election {
    node: ids::Instance,
    nonce: u64,
    /// Time that this process waits, beyond the timeout of a leader, before it claims.
    timeout: Duration,
    /// Term of the newest claim.
    term: ids::Term,
    leader: Option<ids::Instance>,
    leadership: Leadership,
    is_leader: bool,
    /// Time at which the latest record of the leader was read, or that of the first read; `None` before.
    leader_active_at: Option<Instant>,
    /// Time of the claim whose result is not known yet.
    claimed_at: Option<Instant>,
    is_shutting_down: bool,
}

impl Election {
    /// Creates an election without a known leader.
    #[must_use]
    pub fn new(node: ids::Instance, nonce: u64, election_timeout: Duration) -> Self {
        Self {
            node,
            nonce,
            timeout: election_timeout,
            term: 0,
            leader: None,
            leadership: Leadership::Vacant,
            is_leader: false,
            leader_active_at: None,
            claimed_at: None,
            is_shutting_down: false,
        }
    }

    /// Sets the time that this process waits, beyond the timeout of a leader, before it claims.
    pub fn set_election_timeout(&mut self, election_timeout: Duration) {
        self.timeout = election_timeout;
    }

    /// Checks if this process is the leader.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.is_leader
    }

    /// Returns the leader that the log names, unless it resigned.
    #[must_use]
    pub fn leader(&self) -> Option<&ids::Instance> {
        self.leader
            .as_ref()
            .filter(|_| self.leadership != Leadership::Vacant)
    }

    /// Handles an event and adds the resulting actions.
    pub fn step(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Read { end, .. } => self.claim_if_vacant(now, end, actions),
            Event::LeaderActive => self.leader_active_at = Some(now),
            Event::Heartbeat { offset, heartbeat } => {
                self.observe_heartbeat(now, offset, &heartbeat, actions);
            }
            Event::ClaimRejected => self.claimed_at = None,
            Event::Fenced => self.step_down(actions),
            Event::ShutDown => {
                self.is_shutting_down = true;
                self.step_down(actions);
            }
        }
    }

    fn step_down(&mut self, actions: &mut Vec<Action>) {
        if std::mem::take(&mut self.is_leader) {
            actions.push(Action::StepDown);
        }
    }

    fn observe_heartbeat(
        &mut self,
        now: Instant,
        offset: ids::Offset,
        heartbeat: &Heartbeat,
        actions: &mut Vec<Action>,
    ) {
        let is_claim = heartbeat.term == 0;
        // No claim could follow a heartbeat with a term above those of all claims.
        if !heartbeat.is_valid_at(offset) {
            return;
        }
        let term = if is_claim { offset + 1 } else { heartbeat.term };
        if term < self.term {
            return;
        }
        let has_predecessor = self.term > 0;
        let is_earlier_incarnation = self.leader.as_ref() == Some(&self.node) && !self.is_leader;
        let predecessor_resigned =
            (self.leadership == Leadership::Vacant || is_earlier_incarnation) && has_predecessor;
        self.leader_active_at = Some(now);
        if term > self.term {
            self.step_down(actions);
            self.term = term;
            self.leadership = Leadership::Held;
            self.claimed_at = None;
            let is_own_claim =
                is_claim && heartbeat.node == self.node && heartbeat.nonce == self.nonce;
            if is_own_claim && !self.is_shutting_down {
                self.is_leader = true;
                actions.push(Action::Lead {
                    term,
                    has_predecessor,
                    predecessor_resigned,
                });
            }
        }
        self.leader = Some(heartbeat.node.clone());
        self.leadership = match self.leadership {
            _ if heartbeat.has_resigned => Leadership::Vacant,
            Leadership::Resigning => Leadership::Resigning,
            _ if heartbeat.is_resigning => Leadership::Resigning,
            Leadership::Held | Leadership::Vacant => Leadership::Held,
        };
    }

    /// Checks if the leader announced that it is going to resign, or if the shard has none.
    #[must_use]
    pub fn is_leader_resigning(&self) -> bool {
        self.leadership != Leadership::Held
    }

    /// Returns the time without a record of the leader after which this process claims.
    fn claim_delay(&self) -> Duration {
        // When the log names an earlier incarnation of this process, nobody leads now.
        let is_earlier_incarnation = self.leader.as_ref() == Some(&self.node);
        let leader_timeout = if self.leadership == Leadership::Vacant || is_earlier_incarnation {
            Duration::ZERO
        } else {
            LEADER_TIMEOUT
        };
        leader_timeout + self.timeout
    }

    /// Returns the time after which this process claims unless a record of a leader is read before.
    ///
    /// It is zero while a claim is in flight, and `None` while the process leads or shuts down.
    #[must_use]
    pub fn time_until_claim(&self, now: Instant) -> Option<Duration> {
        if self.is_leader || self.is_shutting_down {
            return None;
        }
        if self.has_pending_claim() {
            return Some(Duration::ZERO);
        }
        let idle = self.leader_active_at.map_or(Duration::ZERO, |active_at| {
            now.saturating_duration_since(active_at)
        });
        Some(self.claim_delay().saturating_sub(idle))
    }

    /// Checks if a claim of this process is in flight.
    #[must_use]
    pub fn has_pending_claim(&self) -> bool {
        self.claimed_at.is_some()
    }

    /// Claims the shard if it has no leader or the leader timed out.
    fn claim_if_vacant(&mut self, now: Instant, end: ids::Offset, actions: &mut Vec<Action>) {
        if self.is_leader || self.is_shutting_down {
            return;
        }
        let is_pending =
            |claimed_at: Instant| now.saturating_duration_since(claimed_at) < CLAIM_TIMEOUT;
        if self.claimed_at.is_some_and(is_pending) {
            return;
        }
        let active_at = *self.leader_active_at.get_or_insert(now);
        if now.saturating_duration_since(active_at) < self.claim_delay() {
            return;
        }
        self.claimed_at = Some(now);
        actions.push(Action::Claim {
            expected_end: end,
            nonce: self.nonce,
        });
    }
}
