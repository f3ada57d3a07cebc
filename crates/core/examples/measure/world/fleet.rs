//! Fleet instances.

use std::collections::VecDeque;
use std::time::Instant;

use persimmongate_core::fleet::{Action, Call, Event, Manager, Options};
use persimmongate_core::ids;
use persimmongate_core::invariant::{self, Breach, Check};
use persimmongate_core::record::Role;
use rand::RngExt;

use super::SECOND;
use super::follower::{Follower, Notice};
use super::message::{Message, Place};
use super::run::World;

/// Steps between two comparisons of the fold with what it should be.
const TICK_STEPS: u64 = 10;
/// Steps that a late call may take.
const LATE_STEPS_MAX: u64 = 6 * SECOND;
/// Steps between two reads of the host list.
const LIST_STEPS: u64 = SECOND;

/// `Fleet` is one run of a fleet instance.
pub(crate) struct Fleet {
    pub(crate) place: Place,
    pub(crate) manager: Manager,
    watch: invariant::Fleet,
    pub(crate) follower: Follower,
    pub(crate) frozen_until: u64,
    pub(crate) cut_until: u64,
    pub(crate) inbox: VecDeque<Event>,
}

impl Fleet {
    pub(crate) fn new(place: Place) -> Self {
        let name = place.instance("fleet");
        Self {
            place,
            manager: Manager::new(name.clone(), Options::default()),
            watch: invariant::Fleet::default(),
            follower: Follower::new(name, Role::Fleet, place.run << 32),
            frozen_until: 0,
            cut_until: 0,
            inbox: VecDeque::new(),
        }
    }

    fn notice(&mut self, notices: Vec<Notice>) {
        for notice in notices {
            let event = match notice {
                Notice::Caught => Event::CaughtUp,
                Notice::Change(change) => Event::Change(change),
                Notice::Settled(token, verdict) => Event::AppendCompleted { token, verdict },
                Notice::Claimed(..) => continue,
            };
            self.inbox.push_back(event);
        }
    }

    fn handle(&mut self, now: Instant, breaches: &mut Vec<Breach>) -> Vec<Action> {
        let mut all = Vec::new();
        while let Some(event) = self.inbox.pop_front() {
            let mut actions = Vec::new();
            self.manager.step(now, event.clone(), &mut actions);
            let view = self.manager.view();
            self.watch.observe(view, &event, &actions, breaches);
            all.extend(actions);
        }
        all
    }
}

impl World {
    /// Brings a fleet instance one step further unless it is frozen.
    pub(crate) fn advance_fleet(&mut self, index: usize) {
        let (step, now, wall) = (self.step, self.now(), self.wall());
        let peer = self.peer_state(usize::MAX, index);
        let fleet = &mut self.fleets[index];
        if step < fleet.frozen_until {
            return;
        }
        let cut = step < fleet.cut_until;
        if let Some(state) = peer.filter(|_| !cut) {
            let notices = fleet.follower.restore(&state);
            fleet.notice(notices);
        }
        let log = (!cut).then_some(&self.log);
        let notices = fleet.follower.read(log, &mut self.breaches);
        fleet.notice(notices);
        if step.is_multiple_of(TICK_STEPS) {
            fleet.inbox.push_back(Event::Tick);
        }
        if step.is_multiple_of(LIST_STEPS) && !cut {
            let listed = self.platform.listed.clone();
            fleet.inbox.push_back(Event::HostsListed(listed));
        }
        let place = fleet.place;
        for action in fleet.handle(now, &mut self.breaches) {
            match action {
                Action::Append { token, body } => fleet.follower.push(body, Some(token)),
                Action::Call {
                    token,
                    host,
                    generation,
                    call,
                } => {
                    let message = Message::Call {
                        fleet: place,
                        token,
                        host,
                        generation,
                        call,
                    };
                    let late = if step < self.until.late_writes {
                        self.rng.random_range(0..LATE_STEPS_MAX)
                    } else {
                        0
                    };
                    self.network.send(step + 1 + late, message);
                }
            }
        }
        let log = (!cut && !self.closing).then_some(&mut self.log);
        fleet.follower.flush(step, wall, log);
    }

    /// Brings a call to the platform, also when its sender was frozen or replaced since.
    pub(crate) fn call(
        &mut self,
        (fleet, token): (Place, u64),
        host: &ids::Host,
        generation: ids::Generation,
        call: Call,
    ) {
        if self.step < self.fleets[fleet.index].cut_until {
            return;
        }
        let Some((status, cut)) = self.platform.call(self.step, host, generation, call) else {
            return;
        };
        if call == Call::Reboot {
            self.stops += 1;
        }
        if cut > 0 {
            let detail = format!("the stop of {host} cut {cut} requests");
            self.breaches.push(Check::Stop.breach(detail));
        }
        if self.step >= self.until.lost_calls {
            let status = Some(status);
            let event = Event::CallAnswered { token, status };
            self.network
                .send(self.step + 1, Message::Fleet(fleet, event));
        }
    }

    /// Replaces a fleet instance.
    pub(crate) fn kill_fleet(&mut self, index: usize) {
        let run = self.fleets[index].place.run + 1;
        self.fleets[index] = Fleet::new(Place { index, run });
    }
}
