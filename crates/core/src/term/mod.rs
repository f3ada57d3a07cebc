//! Leadership of a shard, claimed by a record in the shard's partition of the log.
//!
//! A claim is appended on the condition that the partition ends where the candidate has read to, so
//! its offset makes a term that no other claim has. The log refuses later records of older terms, and
//! workers refuse orders with older tokens. Silence of the leader only decides when to try.

use std::time::{Duration, Instant};

use crate::ids;
use crate::journal::Heartbeat;

/// Time between two beats of a leader; a few must be lost before another process claims.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Silence of a leader after which another process claims: three beats and a slow append.
pub const LEADER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without an answer after which a claim is tried again.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// Processor time of a host, in thousandths of a core, on which a leader of a service keeps up at its
/// peak.
const AMPLE_PROCESSOR: u32 = 250;
/// Time that a process without any processor time would leave to others on larger hosts: longer than
/// the jitter, and shorter than a leader's silence.
const SMALL_HOST: Duration = Duration::from_secs(1);
/// Time that a process leaves to others for each leadership that it has already.
const EACH: Duration = Duration::from_millis(300);
/// Longest time, in milliseconds, by which equal processes differ.
const JITTER_MAX_MS: u64 = 250;

/// Gets the time that a process leaves to others before it claims, so that leaders spread over the
/// processes and prefer larger hosts.
///
/// `cpu_millis` is the processor time of its host in thousandths of a core, `led_count` the number of
/// leaderships that it has, and `random` any number.
#[must_use]
pub fn election_timeout(cpu_millis: u32, led_count: u32, random: u64) -> Duration {
    let jitter = Duration::from_millis(random % JITTER_MAX_MS);
    let lacking = AMPLE_PROCESSOR.saturating_sub(cpu_millis);
    jitter + EACH * led_count + SMALL_HOST * lacking / AMPLE_PROCESSOR
}

/// `Event` is what an election learns.
#[derive(Clone, Debug)]
pub enum Event {
    /// The partition was read up to an end, by a read that was sent at a time.
    Read {
        /// Time at which the read was sent.
        sent_at: Instant,
        /// Offset that the next record gets.
        end: ids::Offset,
    },
    /// The partition has a record of a leader that is not a beat.
    LeaderActive,
    /// The partition has a beat.
    Heartbeat {
        /// Offset of the record.
        offset: ids::Offset,
        /// What it says.
        heartbeat: Heartbeat,
    },
    /// The log refused the claim, or may have lost it.
    ClaimRejected,
    /// The log holds a newer term.
    Fenced,
    /// The process is going to end.
    ShutDown,
}

/// `Action` is what an election asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Append a claim if the partition ends at an offset.
    Claim {
        /// Offset at which the partition must end.
        expected_end: ids::Offset,
        /// Value that tells the claim apart.
        nonce: u64,
    },
    /// The process leads from now on.
    Lead {
        /// Term that it leads in.
        term: ids::Term,
        /// Whether a leader came before, whose tasks may still run.
        has_predecessor: bool,
        /// Whether that leader sends nothing more: it said so, or was an earlier life of this process.
        predecessor_resigned: bool,
    },
    /// The process leads no more.
    StepDown,
}

/// `Tenure` is how long the leader that the log names goes on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Tenure {
    /// It leads until it is silent.
    Open,
    /// It has said that it is going to give up.
    Ending,
    /// It gave up, or there was none.
    Over,
}

/// `Election` follows who leads a shard and claims it when nobody does.
#[derive(Debug)]
pub struct Election {
    node: ids::Instance,
    nonce: u64,
    /// Time that this process leaves to others before it claims.
    election_timeout: Duration,
    /// Term of the newest claim.
    term: ids::Term,
    leader: Option<ids::Instance>,
    tenure: Tenure,
    leads: bool,
    /// Time of the leader's latest record, or of the first read; nothing before.
    heard: Option<Instant>,
    claimed: Option<Instant>,
    leaving: bool,
}

impl Election {
    /// Makes an election that knows of no leader.
    #[must_use]
    pub fn new(node: ids::Instance, nonce: u64, election_timeout: Duration) -> Self {
        Self {
            node,
            nonce,
            election_timeout,
            term: 0,
            leader: None,
            tenure: Tenure::Over,
            leads: false,
            heard: None,
            claimed: None,
            leaving: false,
        }
    }

    /// Sets the time that this process leaves to others before it claims.
    pub fn set_election_timeout(&mut self, election_timeout: Duration) {
        self.election_timeout = election_timeout;
    }

    /// Checks if this process leads.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.leads
    }

    /// Gets the process that leads, as far as the log says.
    #[must_use]
    pub fn leader(&self) -> Option<&ids::Instance> {
        self.leader.as_ref().filter(|_| self.tenure != Tenure::Over)
    }

    /// Takes an event in.
    pub fn step(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Read { end, .. } => self.consider(now, end, actions),
            Event::LeaderActive => self.heard = Some(now),
            Event::Heartbeat { offset, heartbeat } => {
                self.observe_heartbeat(now, offset, &heartbeat, actions);
            }
            Event::ClaimRejected => self.claimed = None,
            Event::Fenced => self.give_up(actions),
            Event::ShutDown => {
                self.leaving = true;
                self.give_up(actions);
            }
        }
    }

    fn give_up(&mut self, actions: &mut Vec<Action>) {
        if std::mem::take(&mut self.leads) {
            actions.push(Action::StepDown);
        }
    }

    fn observe_heartbeat(
        &mut self,
        now: Instant,
        offset: ids::Offset,
        beat: &Heartbeat,
        actions: &mut Vec<Action>,
    ) {
        let claims = beat.term == 0;
        let term = if claims { offset + 1 } else { beat.term };
        if term < self.term {
            return;
        }
        let has_predecessor = self.term > 0;
        let before = self.leader.as_ref() == Some(&self.node) && !self.leads;
        let predecessor_resigned = (self.tenure == Tenure::Over || before) && has_predecessor;
        self.heard = Some(now);
        if term > self.term {
            self.give_up(actions);
            self.term = term;
            self.tenure = Tenure::Open;
            self.claimed = None;
            let own = claims && beat.node == self.node && beat.nonce == self.nonce;
            if own && !self.leaving {
                self.leads = true;
                actions.push(Action::Lead {
                    term,
                    has_predecessor,
                    predecessor_resigned,
                });
            }
        }
        self.leader = Some(beat.node.clone());
        self.tenure = match self.tenure {
            _ if beat.has_resigned => Tenure::Over,
            Tenure::Ending => Tenure::Ending,
            _ if beat.is_resigning => Tenure::Ending,
            Tenure::Open | Tenure::Over => Tenure::Open,
        };
    }

    /// Checks if the leadership is going to pass on soon, or nobody leads.
    #[must_use]
    pub fn is_leader_leaving(&self) -> bool {
        self.tenure != Tenure::Open
    }

    /// Gets the silence of the leader after which this process claims.
    fn silence(&self) -> Duration {
        // A process that led before it started again knows that nobody leads now.
        let own = self.leader.as_ref() == Some(&self.node);
        let silence = if self.tenure == Tenure::Over || own {
            Duration::ZERO
        } else {
            LEADER_TIMEOUT
        };
        silence + self.election_timeout
    }

    /// Gets the time after which this process claims if it hears of no leader; none when its claim is
    /// on its way, nothing while it leads or ends.
    #[must_use]
    pub fn time_until_claim(&self, now: Instant) -> Option<Duration> {
        if self.leads || self.leaving {
            return None;
        }
        if self.has_pending_claim() {
            return Some(Duration::ZERO);
        }
        let silent = self
            .heard
            .map_or(Duration::ZERO, |heard| now.saturating_duration_since(heard));
        Some(self.silence().saturating_sub(silent))
    }

    /// Checks if a claim of this process is on its way.
    #[must_use]
    pub fn has_pending_claim(&self) -> bool {
        self.claimed.is_some()
    }

    /// Claims the shard when nobody leads it.
    fn consider(&mut self, now: Instant, end: ids::Offset, actions: &mut Vec<Action>) {
        if self.leads || self.leaving {
            return;
        }
        let waits = |at: Instant| now.saturating_duration_since(at) < CLAIM_TIMEOUT;
        if self.claimed.is_some_and(waits) {
            return;
        }
        let heard = *self.heard.get_or_insert(now);
        if now.saturating_duration_since(heard) < self.silence() {
            return;
        }
        self.claimed = Some(now);
        actions.push(Action::Claim {
            expected_end: end,
            nonce: self.nonce,
        });
    }
}
