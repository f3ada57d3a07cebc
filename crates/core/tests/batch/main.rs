//! Tests of the appends of callers' records.

use std::time::{Duration, Instant};

use persimmongate_core::batch::{Action, Batcher, Entry, Event, Verdict};

const DEADLINE: Duration = Duration::from_millis(1_350);

/// `Appends` is the numbers of appends with their records.
type Appends = Vec<(u64, Vec<u64>)>;

/// `Fixture` is a batcher whose records are the numbers of their requests.
struct Fixture {
    now: Instant,
    batcher: Batcher<u64>,
    actions: Vec<Action<u64>>,
    abandoned: Vec<u64>,
}

impl Fixture {
    fn new(append_bytes: usize) -> Self {
        Self {
            now: tokio::time::Instant::now().into_std(),
            batcher: Batcher::new(append_bytes),
            actions: Vec::new(),
            abandoned: Vec::new(),
        }
    }

    fn step(&mut self, event: Event<u64>) {
        self.batcher.step(self.now, event, &mut self.actions);
    }

    fn submit(&mut self, request: u64) {
        let deadline = self.now + DEADLINE;
        self.step(Event::Submitted(Entry {
            request,
            record: request,
            size: 10,
            deadline,
        }));
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
        self.step(Event::Due);
    }

    /// Takes the appends and the answers since the latest call.
    fn take(&mut self) -> (Appends, Vec<(u64, Verdict)>) {
        let (mut appends, mut answers) = (Vec::new(), Vec::new());
        for action in self.actions.drain(..) {
            match action {
                Action::Append(number, records) => appends.push((number, records)),
                Action::Answer(request, verdict) => answers.push((request, verdict)),
                Action::Abandon(number) => self.abandoned.push(number),
                Action::Wake(_) => {}
            }
        }
        (appends, answers)
    }
}

#[test]
fn verify_burst_on_a_slow_log_takes_two_appends() {
    let mut fixture = Fixture::new(1_000);
    for request in 0..50 {
        fixture.submit(request);
    }
    let (appends, _) = fixture.take();
    assert_eq!(appends, [(0, vec![0])]);
    fixture.now += Duration::from_millis(60);
    fixture.step(Event::Answered(0, Verdict::Stored(7)));
    let (appends, answers) = fixture.take();
    assert_eq!(answers, [(0, Verdict::Stored(7))]);
    assert_eq!(appends, [(1, (1..50).collect())]);
    assert!(fixture.batcher.is_slow(fixture.now));
    fixture.step(Event::Answered(1, Verdict::Stored(20)));
    let (_, answers) = fixture.take();
    assert_eq!(answers[2], (3, Verdict::Stored(22)));
    assert!(!fixture.batcher.is_slow(fixture.now));
}

#[test]
fn verify_append_stays_below_the_largest_call() {
    let mut fixture = Fixture::new(25);
    for request in 0..4 {
        fixture.submit(request);
    }
    fixture.step(Event::Answered(0, Verdict::Stored(0)));
    let (appends, _) = fixture.take();
    assert_eq!(appends, [(0, vec![0]), (1, vec![1, 2])]);
}

#[test]
fn verify_record_that_was_never_sent_has_no_effect_at_its_deadline() {
    let mut fixture = Fixture::new(1_000);
    fixture.submit(0);
    fixture.submit(1);
    fixture.now += DEADLINE;
    fixture.step(Event::Due);
    let (appends, answers) = fixture.take();
    assert_eq!(appends, [(0, vec![0])]);
    assert_eq!(answers, [(1, Verdict::Ineffective), (0, Verdict::Unknown)]);
    // It must not be delivered after the answer, and a late result concerns nobody.
    assert_eq!(fixture.abandoned, [0]);
    fixture.step(Event::Answered(0, Verdict::Stored(0)));
    assert_eq!(fixture.take(), (vec![], vec![]));
}

#[test]
fn verify_record_without_an_answer_is_appended_again_and_stays_unknown() {
    let mut fixture = Fixture::new(1_000);
    fixture.submit(0);
    fixture.step(Event::Answered(0, Verdict::Unknown));
    fixture.pass(Duration::from_millis(100));
    assert_eq!(fixture.take().0, [(0, vec![0])]);
    fixture.pass(Duration::from_millis(50));
    assert_eq!(fixture.take().0, [(1, vec![0])]);
    fixture.step(Event::Answered(1, Verdict::Ineffective));
    fixture.pass(DEADLINE);
    assert_eq!(fixture.take().1, [(0, Verdict::Unknown)]);
}

#[test]
fn verify_refused_record_does_not_take_others_along() {
    let mut fixture = Fixture::new(1_000);
    for request in 0..3 {
        fixture.submit(request);
    }
    fixture.step(Event::Answered(0, Verdict::Stored(0)));
    fixture.step(Event::Answered(1, Verdict::Refused(400)));
    fixture.step(Event::Answered(2, Verdict::Refused(400)));
    fixture.step(Event::Answered(3, Verdict::Stored(4)));
    let (appends, answers) = fixture.take();
    let appended: Vec<Vec<u64>> = appends.into_iter().map(|(_, records)| records).collect();
    assert_eq!(appended, [vec![0], vec![1, 2], vec![1], vec![2]]);
    assert_eq!(
        answers[1..],
        [(1, Verdict::Refused(400)), (2, Verdict::Stored(4))]
    );
}

#[test]
fn verify_lost_append_does_not_hold_up_the_next_one() {
    let mut fixture = Fixture::new(1_000);
    fixture.submit(0);
    fixture.pass(Duration::from_millis(900));
    fixture.submit(1);
    assert_eq!(fixture.take().0, [(0, vec![0])]);
    fixture.pass(Duration::from_millis(100));
    assert_eq!(fixture.take().0, [(1, vec![1])]);
}
