//! A request whose earlier attempt may have run is never reported as not run.

use bytes::Bytes;
use persimmongate_core::gate::{Action, Event, Exchange, Gate, Options};
use persimmongate_core::outcome::{Doubt, Outcome};
use persimmongate_core::request::{Repeatability, Request, Urgency};
use persimmongate_core::state::{Change, Host, Pool, Stage};
use test_case::test_case;
use tokio::time::{Duration, Instant};

fn serving() -> Host {
    Host {
        address: ([127, 0, 0, 1], 1).into(),
        zone: "z".into(),
        rack: "r".into(),
        pool: "finder".into(),
        stage: Stage::Serving,
        generation: 1,
        revision: 1,
        maintained_offset: 0,
        slots: 8,
        connections: 64,
    }
}

#[test_case(Some(Exchange::Unavailable); "the next worker refuses")]
#[test_case(Some(Exchange::Unsent); "the next worker can't be reached")]
#[test_case(None; "the deadline passes in the queue")]
fn verify_broken_try_stays_in_doubt(last: Option<Exchange>) {
    let start = Instant::now().into_std();
    let after_deadline = start + Duration::from_secs(2);
    let options = Options {
        max_attempts: 2,
        ..Options::default()
    };
    let mut gate = Gate::new(options, 1);
    let mut actions = Vec::new();
    let pool = Pool {
        service: Some("finder".into()),
        ..Pool::default()
    };
    let request = Request {
        id: 1,
        service: "finder".into(),
        caller: "c".into(),
        urgency: Urgency::Normal,
        repeatability: Repeatability::Idempotent,
        deadline: start + Duration::from_secs(1),
        path: Bytes::new(),
        body: Bytes::new(),
    };
    let mut step = |now, event| {
        actions.clear();
        gate.step(now, event, &mut actions);
        actions.clone()
    };
    let done = |exchange| Event::ExchangeEnded {
        request: 1,
        host: "h".into(),
        exchange,
    };
    step(start, Event::Change(Change::Pool("finder".into(), pool)));
    step(start, Event::Change(Change::Host("h".into(), serving())));
    step(start, Event::Arrive(request));
    step(start, done(Exchange::Broken));
    let final_actions = match last {
        Some(exchange) => {
            // After the backoff the only worker gets the request again.
            let retry_time = start + Duration::from_millis(500);
            step(retry_time, Event::Tick);
            let mut final_actions = step(retry_time, done(exchange));
            // A request that a worker at capacity refused waits in the queue until its deadline.
            final_actions.extend(step(after_deadline, Event::Tick));
            final_actions
        }
        None => step(after_deadline, Event::Tick),
    };
    let expected = Action::Finish {
        request: 1,
        outcome: Outcome::Unknown(Doubt::Broken),
    };
    assert!(final_actions.contains(&expected), "{final_actions:?}");
}
