//! Two managers that share one replayed state, with a simulated platform that answers at once.

use std::time::{Duration, Instant, SystemTime};

use persimmongate_core::fleet::{Action, Call, Event, Health, Manager, Options, Status};
use persimmongate_core::ids;
use persimmongate_core::map::{Map, Set};
use persimmongate_core::record::{Announcement, Body, Command, Listing, Phase, Record, Role};
use persimmongate_core::sheet::Intent;
use persimmongate_core::state::{Change, Host, Stage, State, Verdict};

const STEP: Duration = Duration::from_millis(100);

/// `Node` is a manager with the events that it has not handled yet.
struct Node {
    manager: Manager,
    is_frozen: bool,
    pending_events: Vec<Event>,
}

/// `Fixture` holds managers `a` and `b`, entry host `e`, and the platform.
pub(crate) struct Fixture {
    pub(crate) state: State,
    pub(crate) now: Instant,
    nodes: Vec<Node>,
    sequence: ids::Sequence,
    pub(crate) platform: Map<ids::Host, Status>,
    /// Hosts that never finish the requests in flight.
    pub(crate) never_idle_hosts: Set<ids::Host>,
    /// Hosts that do not come up after a reboot.
    pub(crate) hosts_dead_after_reboot: Set<ids::Host>,
    /// Whether calls are held back instead of carried out.
    pub(crate) holds_calls: bool,
    pub(crate) held_calls: Vec<(usize, Action)>,
    /// Hosts that were rebooted, with their health before.
    pub(crate) reboots: Vec<(ids::Host, Health)>,
    /// Requests in flight that entry host `e` reports; none while it reports nothing.
    pub(crate) in_flight: Option<u32>,
    /// Whether members append their renewals.
    pub(crate) is_renewing: bool,
    /// Bodies of all records, in the order of the log.
    pub(crate) bodies: Vec<Body>,
}

pub(crate) fn options() -> Options {
    Options {
        poll_interval: STEP,
        audit_interval: Duration::from_secs(5),
        surplus_delay: Duration::from_secs(20),
        reboot_timeout: Duration::from_secs(30),
        drain_timeout: Duration::from_mins(1),
        ..Options::default()
    }
}

fn listing(index: usize) -> Listing {
    Listing {
        host: format!("h{index:02}").into(),
        address: ([127, 0, 0, 1], 2).into(),
        zone: format!("z{}", index % 4).into(),
        rack: format!("r{index}").into(),
        generation: 1,
        slots: 8,
        connections: 64,
    }
}

fn member(role: Role) -> Announcement {
    let address = ([127, 0, 0, 1], 1).into();
    Announcement {
        role,
        peer: address,
        http: address,
        zone: "z".into(),
    }
}

impl Fixture {
    /// Creates a fixture with 10 hosts, 8 of them in pool `finder` and the others spare.
    pub(crate) fn new(budget: u32) -> Self {
        let initial = State::default().changes().into_iter();
        let initial: Vec<Event> = initial.map(Event::Change).collect();
        let node = |name: &'static str| Node {
            manager: Manager::new(name.into(), options()),
            is_frozen: false,
            pending_events: initial.clone(),
        };
        let serving = Status {
            generation: 1,
            health: Health::Serving,
        };
        let listings: Vec<Listing> = (0..10).map(listing).collect();
        let mut fixture = Self {
            state: State::default(),
            now: tokio::time::Instant::now().into_std(),
            nodes: vec![node("a"), node("b")],
            sequence: 0,
            platform: listings
                .iter()
                .map(|listing| (listing.host.clone(), serving))
                .collect(),
            never_idle_hosts: Set::default(),
            hosts_dead_after_reboot: Set::default(),
            holds_calls: false,
            held_calls: Vec::new(),
            reboots: Vec::new(),
            in_flight: Some(0),
            is_renewing: true,
            bodies: Vec::new(),
        };
        for name in ["a", "b"] {
            fixture.append(name, Body::Join(member(Role::Fleet)));
        }
        fixture.append("e", Body::Join(member(Role::Entry)));
        fixture.run(2);
        fixture.append("e", Body::Enroll { hosts: listings });
        fixture.apply_sheet(budget, Vec::new());
        fixture.run(5);
        assert_eq!(fixture.state.serving_hosts(&"finder".into()), 8);
        fixture
    }

    /// Applies the sheet of pool `finder` with further rows.
    pub(crate) fn apply_sheet(&mut self, budget: u32, rows: Vec<Intent>) {
        let mut intents = vec![
            Intent::Pool {
                name: "finder".into(),
                service: Some("finder".into()),
                hosts: 8,
            },
            Intent::Budget {
                service: "finder".into(),
                hosts: budget,
            },
        ];
        intents.extend(rows);
        let base_revision = self.state.revision;
        let operator = "o".into();
        let verdict = self.append(
            "e",
            Body::Sheet {
                base_revision,
                operator,
                intents,
            },
        );
        assert_eq!(verdict, Verdict::Accepted);
    }

    /// Applies a sheet with a wave over pool `finder`.
    pub(crate) fn start_wave(&mut self, budget: u32, name: &'static str) {
        let wave = Intent::Wave {
            name: name.into(),
            pool: "finder".into(),
            batch: 2,
        };
        self.apply_sheet(budget, vec![wave]);
    }

    pub(crate) fn send_command(&mut self, wave: &'static str, command: Command) {
        let (wave, operator) = (wave.into(), "o".into());
        let body = Body::Command {
            wave,
            command,
            operator,
        };
        assert_eq!(self.append("e", body), Verdict::Accepted);
    }

    /// Applies a record to the state and queues its changes for every manager.
    pub(crate) fn append(&mut self, author: &str, body: Body) -> Verdict {
        self.sequence += 1;
        self.bodies.push(body.clone());
        let record = Record {
            author: author.to_owned().into(),
            incarnation: 1,
            sequence: self.sequence,
            body,
        };
        let mut changes: Vec<Change> = Vec::new();
        let offset = self.state.next_offset;
        let at = SystemTime::UNIX_EPOCH;
        let verdict = self.state.apply(offset, at, &record, &mut changes);
        for change in changes {
            for node in &mut self.nodes {
                node.pending_events.push(Event::Change(change.clone()));
            }
        }
        verdict
    }

    pub(crate) fn freeze(&mut self, node: usize, is_frozen: bool) {
        self.nodes[node].is_frozen = is_frozen;
    }

    pub(crate) fn send(&mut self, node: usize, event: Event) {
        self.nodes[node].pending_events.push(event);
    }

    /// Sends a host list that lacks some hosts to all managers.
    pub(crate) fn deliver_host_list_without(&mut self, without: &[&str]) {
        let listings = (0..10).map(listing);
        let listings: Vec<Listing> = listings
            .filter(|listing| !without.contains(&&*listing.host))
            .collect();
        for node in 0..self.nodes.len() {
            self.send(node, Event::HostsListed(listings.clone()));
        }
    }

    /// Advances the time by some seconds.
    pub(crate) fn run(&mut self, seconds: u32) {
        for step in 0..seconds * 10 {
            self.now += STEP;
            if step % 10 == 0 && self.is_renewing {
                for name in ["a", "b", "e"] {
                    let is_frozen = name == "a" && self.nodes[0].is_frozen;
                    if !is_frozen {
                        self.append(name, Body::Renew);
                    }
                }
            }
            self.report();
            for node in 0..self.nodes.len() {
                if !self.nodes[node].is_frozen {
                    self.step(node);
                }
            }
        }
    }

    /// Advances the time until a wave is done or paused, for 300 s at most, and returns its phase.
    pub(crate) fn run_until_wave_stops(&mut self, wave: &str) -> Phase {
        for _ in 0..300 {
            self.run(1);
            if matches!(self.state.waves[wave].phase, Phase::Done | Phase::Paused) {
                break;
            }
        }
        self.state.waves[wave].phase
    }

    fn report(&mut self) {
        let Some(in_flight) = self.in_flight else {
            return;
        };
        let draining = self
            .state
            .hosts
            .iter()
            .filter_map(|(name, host)| match host.stage {
                Stage::Draining { since, .. } => Some((name.clone(), since)),
                _ => None,
            });
        for (host, since) in draining.collect::<Vec<_>>() {
            for node in 0..self.nodes.len() {
                let instance = "e".into();
                let host = host.clone();
                self.send(
                    node,
                    Event::Report {
                        instance,
                        host,
                        drain_offset: since,
                        in_flight,
                    },
                );
            }
        }
    }

    fn step(&mut self, node: usize) {
        let mut events = std::mem::take(&mut self.nodes[node].pending_events);
        events.push(Event::Tick);
        for event in events {
            let mut actions = Vec::new();
            self.nodes[node].manager.step(self.now, event, &mut actions);
            for action in actions {
                self.execute(node, action);
            }
        }
    }

    fn execute(&mut self, node: usize, action: Action) {
        match action {
            Action::Append { token, body } => {
                let author = ["a", "b"][node];
                let verdict = Some(self.append(author, body));
                self.send(node, Event::AppendCompleted { token, verdict });
            }
            call @ Action::Call { .. } if self.holds_calls => self.held_calls.push((node, call)),
            Action::Call {
                token,
                host,
                generation,
                call,
            } => {
                let status = self.call(&host, generation, call);
                self.send(node, Event::CallAnswered { token, status });
            }
        }
    }

    /// Carries out a call. It also reboots serving hosts, so that a test can detect such a reboot.
    pub(crate) fn call(
        &mut self,
        host: &ids::Host,
        generation: ids::Generation,
        call: Call,
    ) -> Option<Status> {
        let (is_never_idle, dies_in_reboot) = (
            self.never_idle_hosts.contains(host),
            self.hosts_dead_after_reboot.contains(host),
        );
        let status = self.platform.get_mut(host)?;
        if call != Call::Query && status.generation != generation {
            return None;
        }
        match (call, status.health) {
            (Call::Drain, Health::Serving) if is_never_idle => status.health = Health::Draining,
            (Call::Drain, Health::Serving) => status.health = Health::Drained,
            (Call::Undrain, Health::Drained | Health::Draining) => status.health = Health::Serving,
            (Call::Reboot, health) => {
                self.reboots.push((host.clone(), health));
                status.health = Health::Serving;
                status.generation += 1;
                if dies_in_reboot {
                    status.health = Health::Dead;
                    status.generation -= 1;
                }
            }
            _ => {}
        }
        Some(*status)
    }

    /// Returns the draining host, of which there is one at most.
    pub(crate) fn draining(&self) -> Option<(ids::Host, Host)> {
        let hosts = self.state.hosts.iter();
        let mut draining = hosts.filter(|(_, host)| matches!(host.stage, Stage::Draining { .. }));
        let found = draining
            .next()
            .map(|(name, host)| (name.clone(), host.clone()));
        assert!(draining.next().is_none());
        found
    }

    pub(crate) fn holder(&self) -> &str {
        self.state.pools["finder"].holder.as_deref().unwrap_or("")
    }

    /// Returns the index of the node that holds pool `finder`.
    pub(crate) fn holder_index(&self) -> usize {
        usize::from(self.holder() == "b")
    }

    pub(crate) fn set_health(&mut self, host: &ids::Host, health: Health) {
        if let Some(status) = self.platform.get_mut(host) {
            status.health = health;
        }
    }

    pub(crate) fn hosts_of(&self, pool: &str) -> Vec<ids::Host> {
        let hosts = self.state.hosts.iter();
        let hosts = hosts.filter(|(_, host)| &*host.pool == pool);
        let mut hosts: Vec<ids::Host> = hosts.map(|(name, _)| name.clone()).collect();
        hosts.sort();
        hosts
    }
}
