//! Tests of what a shard reports after it missed records of the log, on a paused clock.

mod fixture;

use fixture::{Fixture, drain, paused_system};

// Guards against a worker that drains for ever, as the withdrawal of its drain was among records that the log
// no longer kept.
#[test]
fn verify_drain_withdrawn_in_expired_records_is_reported_as_withdrawn() {
    paused_system().block_on(async {
        let mut fixture = Fixture::start().await;
        fixture.answer_newest(10, &["i-1", "i-2"]).await;
        fixture.expire().await;
        fixture.answer_newest(20, &["i-2"]).await;
        let reported = fixture.reported_drains().await;
        let withdrawn: Vec<_> = reported
            .iter()
            .filter(|(_, drain)| drain.is_none())
            .collect();
        assert_eq!(withdrawn, [&("i-1".into(), None)]);
        assert_eq!(reported.last(), Some(&("i-1".into(), None)));
        assert!(reported.contains(&("i-2".into(), Some(drain()))));
    });
}
