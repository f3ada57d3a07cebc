//! Load pattern: the services peak by turns, one after another, and in a turn a service needs most of the hosts.

use std::time::Duration;

use persimmongate_core::journal::Load;
use persimmongate_core::upkeep::{Event, Operation};
use test_case::test_case;

use crate::fixture::{Fixture, HOST_CPU_MILLICORES};

/// Services in the order of their turns.
const ORDER: [&str; 4] = ["one", "two", "three", "four"];
/// Hosts of each service at the start of a test.
const POOL_HOSTS: usize = 12;
/// Hosts that a service needs in its turn.
const PEAK_HOSTS: u64 = 20;
/// Step of a test's time.
const STEP: Duration = Duration::from_millis(200);

/// `Rotation` is a planner whose services have their turns.
struct Rotation {
    fixture: Fixture,
    turn: Duration,
}

impl Rotation {
    fn new(turn: Duration) -> Self {
        Self::with_hosts(turn, POOL_HOSTS)
    }

    fn with_hosts(turn: Duration, hosts: usize) -> Self {
        Self {
            fixture: Fixture::with_pools(&ORDER, hosts),
            turn,
        }
    }

    /// Plays a turn of each service given.
    fn play(&mut self, services: &[&str]) {
        for service in services {
            self.play_for(self.turn, service);
        }
    }

    fn play_for(&mut self, time: Duration, service: &str) {
        let end = self.fixture.now + time;
        while self.fixture.now < end {
            self.fixture.loads = self.loads(&[service]);
            self.fixture.run_for(STEP);
        }
    }

    /// Returns the loads of the services, of which some have their turn.
    fn loads(&self, at_peak: &[&str]) -> Vec<Load> {
        let load = |service: &&str| {
            let hosts = self.fixture.hosts_of(service);
            let needed = if at_peak.contains(service) {
                PEAK_HOSTS
            } else {
                1
            };
            let busy = usize::try_from(needed).unwrap().min(hosts.len());
            let workers = hosts.iter().zip(0..).map(|(host, position)| {
                let used = if position < busy {
                    HOST_CPU_MILLICORES
                } else {
                    0
                };
                (format!("w-{host}").into(), used)
            });
            let mut workers: Vec<_> = workers.collect();
            workers.sort_by_key(|(_, used)| *used);
            let used = HOST_CPU_MILLICORES * u64::try_from(busy).unwrap();
            Load {
                service: (*service).into(),
                used,
                arrival_rate: HOST_CPU_MILLICORES * needed,
                capacity: HOST_CPU_MILLICORES * u64::try_from(hosts.len()).unwrap(),
                short_running_workers: workers,
                ..Load::default()
            }
        };
        ORDER.iter().map(load).collect()
    }

    /// Returns the number of hosts that serve a service now.
    fn serving(&self, service: &str) -> u64 {
        u64::try_from(self.fixture.hosts_of(service).len()).unwrap()
    }
}

#[test_case(Duration::from_secs(4))]
#[test_case(Duration::from_secs(8))]
#[test_case(Duration::from_secs(20))]
fn verify_hosts_of_a_known_turn_are_there_when_it_starts(turn: Duration) {
    let mut rotation = Rotation::new(turn);
    rotation.play(&ORDER);
    for service in ORDER {
        assert!(
            rotation.serving(service) >= PEAK_HOSTS,
            "{service}: {}",
            rotation.serving(service)
        );
        rotation.play(&[service]);
    }
}

// Which service follows is not known yet, so those that had no turn share the hosts of one.
#[test]
fn verify_services_without_a_turn_share_the_hosts_of_one() {
    let mut rotation = Rotation::new(Duration::from_secs(8));
    rotation.play(&ORDER[..2]);
    for service in &ORDER[2..] {
        assert!(rotation.serving(service) >= PEAK_HOSTS / 2, "{service}");
    }
}

#[test]
fn verify_phase_that_shifts_is_followed() {
    let mut rotation = Rotation::new(Duration::from_secs(8));
    rotation.play(&ORDER);
    rotation.play_for(Duration::from_secs(9), "one");
    rotation.play(&["two", "three"]);
    assert!(rotation.serving("four") >= PEAK_HOSTS);
}

#[test]
fn verify_hosts_leave_when_a_turn_does_not_come() {
    let mut rotation = Rotation::new(Duration::from_secs(8));
    rotation.play(&ORDER);
    assert!(rotation.serving("one") >= PEAK_HOSTS);
    rotation.play_for(Duration::from_secs(10), "none");
    for service in ORDER {
        assert!(rotation.serving(service) < POOL_HOSTS as u64, "{service}");
    }
}

#[test]
fn verify_two_turns_at_once_are_served() {
    let mut rotation = Rotation::new(Duration::from_secs(8));
    rotation.play(&ORDER[..2]);
    for _ in 0..40 {
        rotation.fixture.loads = rotation.loads(&["three", "four"]);
        rotation.fixture.run_for(STEP);
    }
    for service in &ORDER[2..] {
        assert!(rotation.serving(service) >= PEAK_HOSTS, "{service}");
    }
}

// One service alone has no turns; a service that is idle gets no hosts for them.
#[test]
fn verify_flood_without_a_period_keeps_no_hosts_ready_elsewhere() {
    let mut rotation = Rotation::new(Duration::from_secs(20));
    rotation.play(&["one"]);
    assert!(rotation.serving("one") >= PEAK_HOSTS);
    for service in &ORDER[1..] {
        assert!(
            rotation.serving(service) < POOL_HOSTS as u64 / 2,
            "{service}"
        );
    }
}

// A pool of hundreds of hosts met its turn with the three hosts of a pool of ten.
#[test]
fn verify_reserve_grows_with_the_fleet() {
    let mut fixture = Fixture::with_pools(&ORDER, 100);
    let idle = |service: &&str| {
        let workers = (0..100).map(|n| (format!("w-{service}-{n}").into(), 0));
        Load {
            service: (*service).into(),
            short_running_workers: workers.collect(),
            ..Load::default()
        }
    };
    fixture.loads = ORDER.iter().map(idle).collect();
    fixture.run(8);
    for service in ORDER {
        assert_eq!(fixture.pool_size(service), 500 / 16, "{service}");
    }
}

// Tasks of long-running steps are spread over many hosts and leave most of their room free, and the reserve came on top.
#[test]
fn verify_room_beside_long_running_tasks_is_part_of_the_reserve() {
    let mut rotation = Rotation::with_hosts(Duration::from_secs(8), 100);
    let with_long_running = |load: Load| {
        let workers = load.short_running_workers.into_iter();
        Load {
            long_running: 5 * HOST_CPU_MILLICORES,
            min_hosts: 24,
            short_running_workers: workers.skip(24).collect(),
            ..load
        }
    };
    let play = |rotation: &mut Rotation, service: &str| {
        let end = rotation.fixture.now + Duration::from_secs(8);
        while rotation.fixture.now < end {
            let loads = rotation.loads(&[service]).into_iter();
            rotation.fixture.loads = loads.map(with_long_running).collect();
            rotation.fixture.run_for(STEP);
        }
    };
    // The first seconds of a turn that is not foreseen have nothing but the reserve.
    play(&mut rotation, "none");
    assert_eq!(rotation.serving(ORDER[3]), 24 + 500 / 16);
    for service in &ORDER[..3] {
        play(&mut rotation, service);
    }
    play(&mut rotation, "none");
    assert_eq!(rotation.serving(ORDER[0]), 5 + 500 / 16);
}

// Few large jobs a second make a second's arrivals vary by a factor of four; hosts came and went with each.
#[test]
fn verify_uneven_arrivals_move_no_hosts_within_a_turn() {
    let mut rotation = Rotation::new(Duration::from_secs(8));
    rotation.play(&ORDER);
    rotation.play_for(Duration::from_secs(2), ORDER[0]);
    rotation.fixture.commands.clear();
    for percent in [40, 160, 50, 120, 50, 140, 90, 100] {
        let mut loads = rotation.loads(&ORDER[..1]);
        let load = loads.iter_mut().find(|load| load.service == *ORDER[0]);
        let load = load.unwrap();
        load.arrival_rate = load.arrival_rate * percent / 100;
        load.used = load.used * 3 / 4;
        rotation.fixture.loads = loads;
        rotation.fixture.run_for(2 * STEP);
    }
    let commands = rotation.fixture.commands.iter();
    let of_turn = commands.filter(|sent| sent.operation == Operation::Move(ORDER[0].into()));
    assert_eq!(of_turn.count(), 0);
    assert!(rotation.serving(ORDER[0]) >= PEAK_HOSTS);
}

// After an outage its work and what arrives are done at once, with many more hosts than a turn needs.
#[test]
fn verify_work_of_an_outage_does_not_raise_the_next_turns() {
    let mut rotation = Rotation::new(Duration::from_secs(8));
    rotation.play(&ORDER[..3]);
    let end = rotation.fixture.now + Duration::from_secs(8);
    while rotation.fixture.now < end {
        let mut loads = rotation.loads(&ORDER[3..]);
        let load = loads.iter_mut().find(|load| load.service == *ORDER[3]);
        load.unwrap().used = HOST_CPU_MILLICORES * PEAK_HOSTS * 9 / 5;
        rotation.fixture.loads = loads;
        rotation.fixture.run_for(STEP);
    }
    rotation.play(&ORDER[..3]);
    assert!(rotation.serving(ORDER[3]) >= PEAK_HOSTS);
    assert!(rotation.serving(ORDER[3]) <= PEAK_HOSTS * 13 / 10);
}

// The hosts of the first turn went to the spare pool as the second one began, and came two moves later.
#[test]
fn verify_hosts_of_an_ended_turn_stay_for_the_next_one() {
    let mut rotation = Rotation::new(Duration::from_secs(8));
    rotation.play(&ORDER[..1]);
    let hosts = rotation.serving(ORDER[0]);
    rotation.play_for(Duration::from_secs(2), "none");
    assert_eq!(rotation.serving(ORDER[0]), hosts);
    rotation.fixture.commands.clear();
    rotation.play_for(Duration::from_secs(3), ORDER[1]);
    let commands = rotation.fixture.commands.iter();
    let to_next = commands.filter(|sent| sent.operation == Operation::Move(ORDER[1].into()));
    assert!(rotation.serving(ORDER[1]) >= PEAK_HOSTS);
    assert!(to_next.count() as u64 >= PEAK_HOSTS - POOL_HOSTS as u64);
}

#[test]
fn verify_leader_of_a_new_term_foresees_the_next_turn() {
    let mut rotation = Rotation::new(Duration::from_secs(8));
    rotation.play(&ORDER);
    rotation.play_for(Duration::from_secs(3), ORDER[0]);
    rotation.fixture.succeed();
    rotation.play_for(Duration::from_secs(5), ORDER[0]);
    assert!(rotation.serving(ORDER[1]) >= PEAK_HOSTS);
}

// The leaders of a pool and of the fleet were held up for three seconds within a turn. Hosts left as they went on, and the
// rest of the turn counted as another one.
#[test]
fn verify_turn_goes_on_after_its_loads_were_held_up() {
    let mut rotation = Rotation::new(Duration::from_secs(8));
    rotation.play(&ORDER[..1]);
    rotation.play_for(Duration::from_secs(4), ORDER[1]);
    let hosts = rotation.serving(ORDER[1]);
    // Nothing is started, and the host list goes on.
    for _ in 0..15 {
        rotation.fixture.now += STEP;
        rotation
            .fixture
            .step(Event::TermConfirmed(rotation.fixture.now));
        let listing = rotation.fixture.listing();
        rotation.fixture.step(Event::Hosts(listing));
    }
    rotation.play_for(STEP * 3, "none");
    assert_eq!(rotation.serving(ORDER[1]), hosts);
    rotation.play_for(STEP * 2, ORDER[1]);
    // The third turn is foreseen eight seconds after the start of the second one.
    rotation.play(&ORDER[2..]);
    assert!(rotation.serving(ORDER[0]) >= PEAK_HOSTS);
}

// The work that waits when a turn begins would need the whole fleet to end within its target.
#[test]
fn verify_waiting_work_requires_no_more_hosts_than_its_turn() {
    let mut rotation = Rotation::new(Duration::from_secs(8));
    rotation.play(&ORDER[..1]);
    let mut loads = rotation.loads(&["two"]);
    let waiting = loads.iter_mut().find(|load| load.service == *"two");
    waiting.unwrap().backlog = 60 * HOST_CPU_MILLICORES;
    rotation.fixture.commands.clear();
    rotation.fixture.loads = loads;
    rotation.fixture.run_for(STEP);
    let to_two = rotation.fixture.commands.iter();
    let to_two = to_two.filter(|command| command.operation == Operation::Move("two".into()));
    let hosts = rotation.serving("two") + u64::try_from(to_two.count()).unwrap();
    assert!(hosts <= PEAK_HOSTS * 3 / 2, "{hosts}");
}
