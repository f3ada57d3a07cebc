//! Size and formats of the progress of jobs with many occurrences.

use std::collections::{BTreeMap, BTreeSet};

use persimmongate_core::ids;
use persimmongate_core::job::{Job, MAX_TASKS, Outcome, Progress, Schedule, Task};
use persimmongate_core::journal::{Limits, Record};
use persimmongate_wire::journal::{decode, encode, encode_key};
use proptest::prelude::*;
use serde::Serialize;
use serde_bytes::ByteBuf;
use test_case::test_case;

/// Progress as versions before the ranges of finished occurrences recorded it.
#[derive(Serialize)]
struct Earlier {
    started: bool,
    outcome: Option<Outcome>,
    ended: u64,
    done: BTreeMap<(u32, u32), ByteBuf>,
    failed: BTreeMap<(u32, u32, u32), Vec<ids::Run>>,
}

/// Returns a job with steps of `count` tasks each.
fn job(steps: usize, count: u32, occurrences: u32) -> Job {
    let mut job = super::job();
    job.steps = vec![job.steps[0].clone(); steps];
    for step in &mut job.steps {
        step.count = count;
    }
    job.schedule = Some(Schedule {
        first_due_ms: 0,
        interval_ms: 1,
        occurrences,
    });
    job
}

fn task(occurrence: u32, step: u32, index: u32) -> Task {
    Task {
        job: super::job().id,
        occurrence,
        step,
        index,
    }
}

/// Records that all tasks of an occurrence are done, each after a failed run and a crash.
fn finish(progress: &mut Progress, job: &Job, occurrence: u32) {
    for (step, spec) in (0..).zip(&job.steps) {
        for index in 0..spec.count {
            let task = task(occurrence, step, index);
            progress.record_failure(&task, 1_001);
            progress.record_crash(&task, 1_002, false);
            assert!(progress.record_done(&task));
        }
    }
    progress.finish_if_done(job, occurrence);
}

fn size(progress: &Progress) -> usize {
    let record = Record::Progress(super::job().id, progress.clone());
    let (key, value) = (encode_key(&record.key()), encode(&record).unwrap().unwrap());
    let decoded = decode(&key, Some(&value));
    assert!(decoded == Ok(record), "the record changes by its encoding");
    1 + key.len() + value.len()
}

// Guards against a record that grows with what is done: failures and crashes of done tasks among it.
#[test_case(1_000; "thousand occurrences")]
#[test_case(100_000; "hundred thousand occurrences")]
fn verify_size_does_not_depend_on_what_is_done(occurrences: u32) {
    let job = job(4, 1, occurrences);
    let mut progress = Progress::default();
    // The first occurrence takes longer than all others.
    for occurrence in 1..occurrences {
        finish(&mut progress, &job, occurrence);
    }
    assert!(size(&progress) < 100, "{}", size(&progress));
    assert!(!progress.is_complete(&job));
    finish(&mut progress, &job, 0);
    assert!(progress.is_complete(&job));
    assert_eq!(progress.first_unfinished(), occurrences);
}

// Each second occurrence is unfinished, with one of its tasks done: the most ranges beside the most tasks.
#[test]
fn verify_progress_of_the_most_open_tasks_fits_a_record() {
    let job = job(2, 1, MAX_TASKS);
    let mut progress = Progress::default();
    for occurrence in (0..MAX_TASKS).step_by(2) {
        finish(&mut progress, &job, occurrence);
        progress.record_done(&task(occurrence + 1, 0, 0));
    }
    assert!(size(&progress) <= Limits::default().record_bytes);
}

#[test]
fn verify_earlier_format_is_read_and_becomes_small() {
    let job = job(1, 3, 2_000);
    let done = (0..1_000).map(|occurrence| ((occurrence, 0), ByteBuf::from(vec![0b111])));
    let earlier = Earlier {
        started: true,
        outcome: None,
        ended: 0,
        done: done
            .chain([((1_500, 0), ByteBuf::from(vec![0b010]))])
            .collect(),
        failed: BTreeMap::from([((3, 0, 1), vec![1_001]), ((1_500, 0, 0), vec![1_002])]),
    };
    let mut value = Vec::new();
    ciborium::into_writer(&earlier, &mut value).unwrap();
    let Ok(Record::Progress(_, mut progress)) = decode("p/job", Some(&value.into())) else {
        panic!("the earlier format is not read");
    };
    progress.compact(&job);
    assert_eq!(progress.first_unfinished(), 1_000);
    assert!(progress.is_done(&task(999, 0, 2)));
    assert!(!progress.is_done(&task(1_000, 0, 0)));
    assert!(progress.is_done(&task(1_500, 0, 1)));
    assert!(!progress.is_done(&task(1_500, 0, 0)));
    assert_eq!(progress.failure_count(&task(1_500, 0, 0)), 1);
    assert!(size(&progress) < 100);
}

// The leader of a shard with very many workers could record nothing any more.
#[test]
fn verify_reduced_heartbeat_fits_a_record() {
    let mut heartbeat = super::heartbeat();
    let workers = (0..30_000).map(|number| (format!("worker-{number}").into(), number));
    heartbeat.loads[0].short_running_workers = workers.collect();
    let record = Record::Heartbeat(heartbeat);
    let limit = Limits::default().record_bytes;
    assert!(encode(&record).unwrap().unwrap().len() > limit);
    let reduced = record.reduced(0).unwrap();
    assert!(encode(&reduced).unwrap().unwrap().len() < limit);
    assert_eq!(reduced.reduced(0), None);
}

#[test_case(None, Outcome::Failed, 7; "job that had not ended")]
#[test_case(Some(Outcome::Completed), Outcome::Completed, 3; "job that had completed")]
fn verify_reduced_progress_is_the_end_of_the_job(
    outcome: Option<Outcome>,
    expected: Outcome,
    ended_at_ms: u64,
) {
    let mut progress = Progress::default();
    progress.has_started = true;
    progress.record_done(&task(0, 0, 5));
    progress.outcome = outcome;
    progress.ended_at_ms = 3;
    let Some(Record::Progress(_, reduced)) = Record::Progress("job".into(), progress).reduced(7)
    else {
        panic!("no record takes its place");
    };
    assert_eq!(reduced.outcome, Some(expected));
    assert_eq!(reduced.ended_at_ms, ended_at_ms);
    assert!(reduced.has_started);
    assert!(!reduced.is_done(&task(0, 0, 5)));
}

// A run that is reported again by a worker, to the next leader, after its task was done.
#[test]
fn verify_late_report_of_a_failed_run_does_not_count_for_a_done_task() {
    let mut progress = Progress::default();
    progress.record_failure(&task(0, 0, 0), 1_001);
    progress.record_done(&task(0, 0, 0));
    assert!(!progress.record_failure(&task(0, 0, 0), 1_001));
    assert_eq!(progress.failure_count(&task(0, 0, 0)), 0);
}

#[test]
fn verify_crashes_of_one_task_are_bounded() {
    let mut progress = Progress::default();
    for run in 0..10_000 {
        assert!(progress.record_crash(&task(0, 0, 0), run, false));
    }
    assert!(progress.crash_count(&task(0, 0, 0)) >= 4);
    assert!(size(&progress) < 200);
}

#[test_case(&[0x80]; "number without an end")]
#[test_case(&[0]; "range without a length")]
#[test_case(&[0, 0]; "empty range")]
#[test_case(&[0, 1, 0, 1]; "adjacent ranges")]
#[test_case(&[0xff, 0xff, 0xff, 0xff, 0x0f, 1]; "range beyond the numbers")]
#[test_case(&[0xff, 0xff, 0xff, 0xff, 0x1f, 1]; "number out of range")]
#[test_case(&[0x80, 0x80, 0x80, 0x80, 0x80, 0x01, 1]; "number of too many bytes")]
fn verify_malformed_ranges_are_refused(finished: &[u8]) {
    #[derive(Serialize)]
    struct Odd {
        started: bool,
        outcome: Option<Outcome>,
        ended: u64,
        finished: ByteBuf,
        done: BTreeMap<(u32, u32), ByteBuf>,
        failed: BTreeMap<(u32, u32, u32), Vec<ids::Run>>,
    }
    let odd = Odd {
        started: true,
        outcome: None,
        ended: 0,
        finished: ByteBuf::from(finished),
        done: BTreeMap::new(),
        failed: BTreeMap::new(),
    };
    let mut value = Vec::new();
    ciborium::into_writer(&odd, &mut value).unwrap();
    assert!(decode("p/job", Some(&value.into())).is_err());
}

proptest! {
    #[test]
    fn verify_finished_occurrences_are_those_that_were_done(
        occurrences in prop::collection::vec(0_u32..300, 0..200)
    ) {
        let job = job(1, 1, 300);
        let mut progress = Progress::default();
        let mut expected = BTreeSet::new();
        for occurrence in occurrences {
            if expected.insert(occurrence) {
                finish(&mut progress, &job, occurrence);
            }
        }
        size(&progress);
        for occurrence in 0..300 {
            prop_assert_eq!(progress.is_finished(occurrence), expected.contains(&occurrence));
            prop_assert_eq!(progress.is_done(&task(occurrence, 0, 0)), expected.contains(&occurrence));
        }
        let first = (0..=300).find(|number| !expected.contains(number));
        prop_assert_eq!(Some(progress.first_unfinished()), first);
        prop_assert_eq!(progress.is_complete(&job), expected.len() == 300);
    }
}
