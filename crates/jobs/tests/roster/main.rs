//! Tests of the worker list that the roster's subscribers get to know, on a paused clock.

mod fixture;

use fixture::Step::{Expire, Fail, Read};
use fixture::Write::{Put, PutDraining, PutUnreadable, Remove};
use fixture::{Fixture, Step, Write, paused_system};
use test_case::test_case;

/// Workers that are listed before each case begins.
const LISTED: Step = Read(&[Put("i-1", 1), Put("i-2", 1)]);

/// Applies steps and checks the observers after each.
fn check_steps(steps: &[Step]) {
    paused_system().block_on(async {
        let mut fixture = Fixture::start().await;
        fixture.subscribe().await;
        fixture.run(LISTED).await;
        fixture.check_observers().await;
        for step in steps {
            fixture.run(*step).await;
            fixture.check_observers().await;
        }
    });
}

// Guards against a leader that places no task on workers whose entries lapsed while the log was away.
#[test_case(&[Read(&[Remove("i-1"), Put("i-1", 1)])]; "unchanged")]
#[test_case(&[Read(&[Remove("i-1"), Put("i-1", 1)]), Read(&[Put("i-1", 1)])]; "unchanged with a later heartbeat")]
#[test_case(&[Read(&[Remove("i-1"), Put("i-1", 2)])]; "as a new incarnation")]
#[test_case(&[Read(&[Remove("i-1"), PutDraining("i-1", 1)])]; "while it shuts down")]
#[test_case(&[Read(&[PutUnreadable("i-1"), Put("i-1", 1)])]; "after an entry that cannot be decoded")]
#[test_case(&[Read(&[Remove("i-1"), Remove("i-2"), Put("i-1", 1), Put("i-2", 1)])]; "with all others")]
#[test_case(&[Fail(&[Remove("i-1"), Put("i-1", 1)])]; "after a read that failed")]
#[test_case(&[Read(&[Remove("i-1"), Put("i-1", 1), Remove("i-1"), Put("i-1", 1)])]; "twice")]
fn verify_worker_that_lapses_and_returns_within_one_read_stays_listed(steps: &[Step]) {
    check_steps(steps);
}

// Guards against a task that is placed on a worker that is gone.
#[test_case(&[Read(&[Remove("i-1")])]; "once")]
#[test_case(&[Read(&[Remove("i-1"), Put("i-1", 1), Remove("i-1")])]; "again after its return")]
#[test_case(&[Read(&[Remove("i-1"), Put("i-1", 2), Remove("i-1")])]; "again after its return as a new incarnation")]
#[test_case(&[Read(&[Put("i-3", 1), Remove("i-3")])]; "right after its first report")]
#[test_case(&[Read(&[Put("i-1", 2), Remove("i-1")])]; "right after a changed report")]
#[test_case(&[Read(&[PutUnreadable("i-1")])]; "by an entry that cannot be decoded")]
fn verify_worker_whose_newest_entry_is_a_removal_is_unlisted(steps: &[Step]) {
    check_steps(steps);
}

// Guards against a leader that misses the return of a worker whose removal it has read.
#[test_case(&[Read(&[Remove("i-1")]), Read(&[Put("i-1", 1)])]; "unchanged")]
#[test_case(&[Read(&[Remove("i-1")]), Read(&[Put("i-1", 2)])]; "as a new incarnation")]
#[test_case(&[Read(&[Remove("i-1")]), Read(&[Put("i-1", 1), Remove("i-1"), Put("i-1", 1)])]; "with a second removal between")]
fn verify_worker_that_returns_in_a_later_read_is_listed_again(steps: &[Step]) {
    check_steps(steps);
}

// Guards against a leader that keeps workers, or misses some, when the records that it missed are gone.
#[test_case(&[Expire(&[Remove("i-1")])]; "without a worker")]
#[test_case(&[Expire(&[Remove("i-1")]), Expire(&[Put("i-1", 1)])]; "with a worker that an earlier one lacked")]
#[test_case(&[Expire(&[Remove("i-1"), Put("i-1", 1)])]; "with a worker that was away between")]
#[test_case(&[Expire(&[Remove("i-1"), Put("i-1", 2)])]; "with a new incarnation")]
#[test_case(&[Expire(&[Remove("i-1"), Put("i-3", 1)])]; "with another worker")]
#[test_case(&[Expire(&[PutUnreadable("i-1")])]; "with an entry that cannot be decoded")]
#[test_case(&[Expire(&[Remove("i-1")]), Read(&[Put("i-1", 1)])]; "without a worker that returns in the next read")]
fn verify_newest_entries_replace_what_was_known(steps: &[Step]) {
    check_steps(steps);
}

// Guards against a leader that misses a change which several entries in one read report.
#[test_case(&[Read(&[Put("i-1", 2), Put("i-1", 2)])]; "of its incarnation")]
#[test_case(&[Read(&[PutDraining("i-1", 1), PutDraining("i-1", 1)])]; "of its state")]
#[test_case(&[Read(&[Put("i-3", 1), Put("i-3", 1)])]; "of a new worker")]
#[test_case(&[Read(&[PutDraining("i-1", 1), Put("i-1", 2), Put("i-1", 2)])]; "of both")]
#[test_case(&[Read(&[Put("i-1", 2), Put("i-1", 1)]), Read(&[Put("i-1", 2)])]; "after one that is taken back")]
fn verify_change_that_is_reported_several_times_is_published(steps: &[Step]) {
    check_steps(steps);
}

// Guards against a leader of a later term that is told only what has changed since an earlier one.
#[test_case(&[]; "without a change")]
#[test_case(&[Remove("i-1")]; "after a removal")]
#[test_case(&[Remove("i-1"), Put("i-1", 1)]; "after a lapse")]
#[test_case(&[Put("i-1", 2), Put("i-3", 1)]; "after changes")]
fn verify_subscriber_of_a_later_term_gets_the_workers_that_are_listed(writes: &'static [Write]) {
    paused_system().block_on(async {
        let mut fixture = Fixture::start().await;
        fixture.subscribe().await;
        fixture.run(LISTED).await;
        fixture.unsubscribe_all().await;
        fixture.subscribe().await;
        fixture.run(Read(writes)).await;
        fixture.check_observers().await;
        fixture.run(Read(&[Put("i-1", 3), Remove("i-2")])).await;
        fixture.check_observers().await;
    });
}

// Guards against leaders that hold different workers for listed, depending on when their terms began.
#[test_case(&[]; "of the first entries")]
#[test_case(&[Read(&[Remove("i-1")])]; "of a removal")]
#[test_case(&[Read(&[Remove("i-1"), Put("i-1", 1)])]; "of a removal and a return")]
#[test_case(&[Expire(&[Remove("i-1")])]; "of the newest entries")]
fn verify_late_subscriber_gets_the_workers_that_are_listed(steps: &[Step]) {
    paused_system().block_on(async {
        let mut fixture = Fixture::start().await;
        fixture.subscribe().await;
        fixture.run(LISTED).await;
        for step in steps {
            fixture.run(*step).await;
        }
        fixture.subscribe().await;
        fixture.check_observers().await;
        fixture.run(Read(&[Put("i-1", 2), Remove("i-2")])).await;
        fixture.check_observers().await;
    });
}
