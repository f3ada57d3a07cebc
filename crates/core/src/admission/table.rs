use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::{Action, Activity, Event, Limits, Phase, Reason};
use crate::ids;
use crate::map::Map;

/// Time without a shortage after which a crowd has ended: callers that retry come back earlier.
const CALM: Duration = Duration::from_secs(10);

/// `Room` is what a connection has for a large body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Room {
    /// It asked for none.
    None,
    /// It waits for this many bytes.
    Asked(usize),
    /// It has this many bytes.
    Granted(usize),
    /// It was told to give this many bytes back.
    Revoked(usize),
}

/// `Entry` is the state of an open connection.
#[derive(Clone, Copy, Debug)]
struct Entry {
    room: Room,
    /// Whether the connection was told to close.
    is_closing: bool,
}

/// `Crowd` is the times of a shortage of connections or of room.
#[derive(Clone, Copy, Debug)]
struct Crowd {
    began_at: Instant,
    seen_at: Instant,
}

/// `Table` is the open connections of a listener, and the room that their bodies have.
#[derive(Debug)]
pub struct Table {
    limits: Limits,
    connections: Map<ids::Connection, Entry>,
    /// Connections that wait for room, in the order in which they asked.
    waiting: VecDeque<ids::Connection>,
    /// Number of connections that were not told to close.
    open_count: usize,
    /// Bytes that were granted and not given back.
    granted_bytes: usize,
    /// Bytes of `granted_bytes` that were revoked.
    revoked_bytes: usize,
    crowd: Option<Crowd>,
}

impl Table {
    /// Creates a table without connections.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            connections: Map::default(),
            waiting: VecDeque::new(),
            open_count: 0,
            granted_bytes: 0,
            revoked_bytes: 0,
            crowd: None,
        }
    }

    /// Returns the limits.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the number of connections that are open.
    #[must_use]
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether no connection is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Returns the room that connections have for large bodies, in bytes.
    #[must_use]
    pub fn granted_bytes(&self) -> usize {
        self.granted_bytes
    }

    /// Returns the number of connections that wait for room.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Handles an event. The function `activity` returns what an open connection does.
    pub fn step(
        &mut self,
        now: Instant,
        event: Event,
        activity: impl Fn(ids::Connection) -> Option<Activity>,
        actions: &mut Vec<Action>,
    ) {
        match event {
            Event::Opened(connection) => self.open(now, connection, &activity, actions),
            Event::Closed(connection) => {
                self.give_back(connection);
                if let Some(entry) = self.connections.remove(&connection)
                    && !entry.is_closing
                {
                    self.open_count -= 1;
                }
            }
            Event::Asked(connection, bytes) => self.ask(connection, bytes, actions),
            Event::Returned(connection) => self.give_back(connection),
            Event::Checked => self.check(now, &activity, actions),
        }
        self.grant(now, &activity, actions);
    }

    fn open(
        &mut self,
        now: Instant,
        connection: ids::Connection,
        activity: &impl Fn(ids::Connection) -> Option<Activity>,
        actions: &mut Vec<Action>,
    ) {
        let entry = Entry {
            room: Room::None,
            is_closing: false,
        };
        self.connections.insert(connection, entry);
        self.open_count += 1;
        if self.open_count > self.limits.connections {
            let victim = self.most_idle(connection, activity).unwrap_or(connection);
            self.close(victim, Reason::TooMany, actions);
            self.note_crowd(now, Reason::TooMany, actions);
        }
    }

    /// Returns the connection without a request in progress that made no progress for the longest time. Those that were
    /// never served come first.
    fn most_idle(
        &self,
        except: ids::Connection,
        activity: &impl Fn(ids::Connection) -> Option<Activity>,
    ) -> Option<ids::Connection> {
        let candidates = self.connections.iter();
        let candidates = candidates.filter(|(id, entry)| **id != except && !entry.is_closing);
        let candidates = candidates.filter_map(|(id, _)| {
            let activity = activity(*id)?;
            let is_request = matches!(activity.phase, Phase::Request | Phase::Unread);
            (!is_request).then_some((activity.is_served, activity.progress_at, *id))
        });
        candidates.min().map(|(_, _, id)| id)
    }

    fn close(&mut self, connection: ids::Connection, reason: Reason, actions: &mut Vec<Action>) {
        if let Some(entry) = self.connections.get_mut(&connection)
            && !entry.is_closing
        {
            entry.is_closing = true;
            self.open_count -= 1;
            actions.push(Action::Close(connection, reason));
        }
    }

    fn ask(&mut self, connection: ids::Connection, bytes: usize, actions: &mut Vec<Action>) {
        self.give_back(connection);
        let Some(entry) = self.connections.get_mut(&connection) else {
            return;
        };
        if bytes > self.limits.total_body_bytes {
            actions.push(Action::Revoke(connection, Reason::BodyTooLong));
            return;
        }
        entry.room = Room::Asked(bytes);
        self.waiting.push_back(connection);
    }

    fn give_back(&mut self, connection: ids::Connection) {
        let Some(entry) = self.connections.get_mut(&connection) else {
            return;
        };
        match std::mem::replace(&mut entry.room, Room::None) {
            Room::None => {}
            Room::Asked(_) => self.waiting.retain(|waiting| *waiting != connection),
            Room::Granted(bytes) => self.granted_bytes -= bytes,
            Room::Revoked(bytes) => {
                self.granted_bytes -= bytes;
                self.revoked_bytes -= bytes;
            }
        }
    }

    /// Grants room in the order of the requests, and revokes that of bodies without progress for the next one.
    fn grant(
        &mut self,
        now: Instant,
        activity: &impl Fn(ids::Connection) -> Option<Activity>,
        actions: &mut Vec<Action>,
    ) {
        while let Some(next) = self.waiting.front().copied() {
            let Some(entry) = self.connections.get_mut(&next) else {
                self.waiting.pop_front();
                continue;
            };
            let Room::Asked(bytes) = entry.room else {
                self.waiting.pop_front();
                continue;
            };
            if self.granted_bytes + bytes <= self.limits.total_body_bytes {
                entry.room = Room::Granted(bytes);
                self.granted_bytes += bytes;
                self.waiting.pop_front();
                actions.push(Action::Grant(next));
                continue;
            }
            self.note_crowd(now, Reason::Crowded, actions);
            self.revoke(now, bytes, activity, actions);
            return;
        }
    }

    /// Revokes the room of bodies without progress, as far as needed for so many bytes.
    fn revoke(
        &mut self,
        now: Instant,
        bytes: usize,
        activity: &impl Fn(ids::Connection) -> Option<Activity>,
        actions: &mut Vec<Action>,
    ) {
        let is_short = |table: &Self| {
            table.granted_bytes - table.revoked_bytes + bytes > table.limits.total_body_bytes
        };
        if !is_short(self) {
            return;
        }
        let stalled = self.connections.iter().filter_map(|(id, entry)| {
            let Room::Granted(bytes) = entry.room else {
                return None;
            };
            let activity = activity(*id)?;
            let idle_time = now.saturating_duration_since(activity.progress_at);
            let is_stalled = activity.phase == Phase::Body && idle_time >= self.limits.stall;
            is_stalled.then_some((activity.progress_at, *id, bytes))
        });
        let mut stalled: Vec<(Instant, ids::Connection, usize)> = stalled.collect();
        stalled.sort_unstable();
        for (_, id, bytes) in stalled {
            if !is_short(self) {
                return;
            }
            if let Some(entry) = self.connections.get_mut(&id) {
                entry.room = Room::Revoked(bytes);
                self.revoked_bytes += bytes;
                actions.push(Action::Revoke(id, Reason::Crowded));
            }
        }
    }

    /// Closes the connections that exceed a time limit.
    fn check(
        &mut self,
        now: Instant,
        activity: &impl Fn(ids::Connection) -> Option<Activity>,
        actions: &mut Vec<Action>,
    ) {
        let late = self.connections.iter().filter_map(|(id, entry)| {
            let reason = self.exceeded(now, &activity(*id)?)?;
            (!entry.is_closing).then_some((*id, reason))
        });
        let late: Vec<(ids::Connection, Reason)> = late.collect();
        for (id, reason) in late {
            self.close(id, reason, actions);
        }
        if let Some(crowd) = self.crowd
            && now.saturating_duration_since(crowd.seen_at) >= CALM
        {
            self.crowd = None;
            let duration = crowd.seen_at.saturating_duration_since(crowd.began_at);
            actions.push(Action::End(duration));
        }
    }

    /// Returns the time limit that a connection exceeds.
    fn exceeded(&self, now: Instant, activity: &Activity) -> Option<Reason> {
        let is_over =
            |since: Instant, limit: Duration| now.saturating_duration_since(since) > limit;
        let limits = &self.limits;
        if activity
            .blocked_since
            .is_some_and(|since| is_over(since, limits.answer_timeout))
        {
            return Some(Reason::UnreadAnswer);
        }
        let (limit, reason) = match activity.phase {
            Phase::Idle if activity.is_served => (limits.idle_timeout, Reason::Idle),
            Phase::Idle => (limits.head_timeout, Reason::Idle),
            Phase::Head => (limits.head_timeout, Reason::SlowHead),
            Phase::Drain => (limits.body_timeout, Reason::SlowBody),
            // The receiver of a body watches its time, as it answers the caller.
            Phase::Body | Phase::Request | Phase::Unread | Phase::Waiting => return None,
        };
        is_over(activity.since, limit).then_some(reason)
    }

    fn note_crowd(&mut self, now: Instant, reason: Reason, actions: &mut Vec<Action>) {
        if self.crowd.is_none() {
            actions.push(Action::Begin(reason));
        }
        let began_at = self.crowd.map_or(now, |crowd| crowd.began_at);
        let seen_at = now;
        self.crowd = Some(Crowd { began_at, seen_at });
    }
}
