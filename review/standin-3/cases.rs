//! The cases: what is sent and disrupted, and the rule that is checked.

use std::collections::HashMap;
use std::fmt;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::fleet::{Event, What};
use crate::world::World;

/// `Verdict` is whether a rule was broken, with what was seen.
pub struct Verdict {
    pub is_broken: bool,
    seen: String,
}

impl fmt::Display for Verdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.is_broken { "BROKEN" } else { "held" };
        write!(formatter, "{verdict}: {}", self.seen)
    }
}

pub fn run(case: &str, has_trouble: bool) -> Result<(Verdict, String), String> {
    let (verdict, world) = match case {
        "many-ends" => many_ends(has_trouble)?,
        "crashes" => crashes(has_trouble)?,
        _ => return Err(format!("there is no case {case}")),
    };
    let trouble = if has_trouble { "with" } else { "without" };
    let record = world.record(&format!("case {case} {trouble} the disruption\n{verdict}"));
    Ok((verdict, record))
}

fn config(version: u64, routes: &[&str]) -> String {
    let route = |name: &&str| {
        format!(
            "{{\"Name\":\"r-{name}\",\"Hostname\":\"queue.example\",\"PathPrefix\":\"/{name}/\",\
             \"RouteType\":\"non_idempotent\",\"TimeoutMs\":3000,\"TargetLatencyMs\":2500,\"Priority\":0,\
             \"Backend\":\"finder\",\"Attempts\":2,\"Stretch\":2.2}}"
        )
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{{\"Name\":\"finder\",\"RejectsOverload\":false}}],\
         \"Limits\":{{}}}}",
        routes.join(",")
    )
}

/// Returns the ways in which tasks ran twice: two runs at the same time, or a start after an end `done` that is taken
/// note of then or later, while no lease lapsed between the two.
fn twice(events: &[Event]) -> Vec<String> {
    let mut noted: HashMap<(&str, u64, &str), bool> = HashMap::new();
    for event in events {
        if event.what == What::Noted("done") {
            noted.insert((&event.task, event.run, &event.worker), true);
        }
    }
    let mut running: HashMap<&str, (u64, &str)> = HashMap::new();
    let mut done: HashMap<&str, (Duration, u64, &str)> = HashMap::new();
    let mut found = Vec::new();
    for event in events {
        let (task, at) = (event.task.as_str(), event.at);
        match event.what {
            What::Started => {
                if let Some((run, worker)) = running.get(task) {
                    found.push(format!(
                        "{task}: run {} started on {} at {at:?} while run {run} was at work on {worker}",
                        event.run, event.worker
                    ));
                }
                if let Some((ended_at, run, worker)) = done.get(task) {
                    found.push(format!(
                        "{task}: run {} started on {} at {at:?}, after run {run} had ended done on {worker} at {ended_at:?}",
                        event.run, event.worker
                    ));
                }
                running.insert(task, (event.run, &event.worker));
            }
            What::Ended(how) => {
                if running.get(task) == Some(&(event.run, event.worker.as_str())) {
                    running.remove(task);
                }
                if how == "done" && noted.contains_key(&(task, event.run, event.worker.as_str())) {
                    done.insert(task, (at, event.run, &event.worker));
                }
            }
            What::Noted(_) => {}
        }
    }
    found
}

fn count(events: &[Event], what: What) -> usize {
    events.iter().filter(|event| event.what == what).count()
}

/// More tasks end on each worker while the store is down than a worker lists in one answer.
fn many_ends(has_trouble: bool) -> Result<(Verdict, World), String> {
    const JOBS: usize = 16;
    const TASKS: usize = 120;
    /// Time for which the store is down, as `platform_down` with `busy` has it in the site files.
    const OUTAGE: Duration = Duration::from_millis(4_200);
    let world = World::start(2, 3, &config(7, &["search"]))?;
    let mut paths = Vec::new();
    for job in 0..JOBS {
        let path = format!("/search/{:016x}", 0x5c0e_7a21_d94b_0000_u64 + job as u64);
        let body = format!(
            "{{\"Spec\":\"work 8000 1500\",\"Steps\":[{{\"Count\":{TASKS},\"Cpu\":60,\"MemMb\":64,\"EstimateMs\":8800}}]}}"
        );
        let (status, _) = world.call("POST", &path, &body);
        if status != 200 {
            return Err(format!("a job was answered with {status}"));
        }
        paths.push(path);
        thread::sleep(Duration::from_millis(60));
    }
    // The store goes down as the first tasks end.
    let until = world.now() + Duration::from_secs(20);
    while count(&world.journal.events.lock().unwrap(), What::Ended("done")) < 10 {
        if world.now() > until {
            return Err("no task ended".to_owned());
        }
        thread::sleep(Duration::from_millis(5));
    }
    if has_trouble {
        world.note("disruption: the store answers each call with 503");
        world.log.is_busy.store(true, Ordering::SeqCst);
        thread::sleep(OUTAGE);
        world.log.is_busy.store(false, Ordering::SeqCst);
        world.note("the store serves again");
    }
    let until = world.now() + Duration::from_secs(40);
    let mut states = Vec::new();
    while world.now() < until {
        thread::sleep(Duration::from_secs(1));
        states = paths.iter().map(|path| world.state(path)).collect();
        if states.iter().all(|state| state == "completed") {
            break;
        }
    }
    // Late ends are taken note of.
    thread::sleep(Duration::from_secs(2));
    let events = world.journal.events.lock().unwrap().clone();
    let found = twice(&events);
    for line in &found {
        world.note(&format!("TWICE: {line}"));
    }
    let completed = states.iter().filter(|state| *state == "completed").count();
    let seen = format!(
        "{} of {} tasks ran twice; {} starts, {} ends done; {completed} of {JOBS} jobs are completed",
        found.len(),
        JOBS * TASKS,
        count(&events, What::Started),
        count(&events, What::Ended("done"))
    );
    let verdict = Verdict {
        is_broken: !found.is_empty(),
        seen,
    };
    Ok((verdict, world))
}

/// Workers crash one after another under one long task. None of its runs ends failed.
fn crashes(has_trouble: bool) -> Result<(Verdict, World), String> {
    const CRASHES: usize = 3;
    /// Time that the task has worked when its worker crashes.
    const WORKED: Duration = Duration::from_secs(8);
    /// Time for which a crashed worker is down.
    const DOWN: Duration = Duration::from_millis(4_500);
    let world = World::start(8, 3, &config(7, &["search"]))?;
    let path = "/search/5c0e7a21d94b36f8";
    let body = "{\"Spec\":\"work 20000 0\",\"Steps\":[{\"Count\":1,\"Cpu\":2000,\"MemMb\":1024,\"EstimateMs\":20000}]}";
    let (status, _) = world.call("POST", path, body);
    if status != 200 {
        return Err(format!("the job was answered with {status}"));
    }
    let mut restarts = Vec::new();
    for _ in 0..if has_trouble { CRASHES } else { 0 } {
        let until = world.now() + Duration::from_secs(20);
        let worker = loop {
            let busy = world.workers.iter().find(|worker| !worker.tasks().is_empty());
            if let Some(worker) = busy {
                break worker.clone();
            }
            if world.now() > until {
                return Err("the task did not start".to_owned());
            }
            thread::sleep(Duration::from_millis(20));
        };
        thread::sleep(WORKED);
        world.note(&format!("disruption: {} crashes", worker.id));
        worker.crash();
        restarts.push(thread::spawn(move || {
            thread::sleep(DOWN);
            worker.restart();
        }));
        thread::sleep(Duration::from_secs(1));
    }
    let until = world.now() + Duration::from_secs(60);
    let mut state = String::new();
    while world.now() < until && !["completed", "failed"].contains(&state.as_str()) {
        thread::sleep(Duration::from_millis(500));
        state = world.state(path);
    }
    for restart in restarts {
        restart.join().map_err(|_| "a worker did not start again")?;
    }
    // The state is asked for once more at each gateway, after the crashed workers are back.
    thread::sleep(Duration::from_secs(3));
    let states: Vec<String> = (0..3).map(|gateway| world.state_at(gateway, path)).collect();
    let is_failed = states.iter().all(|state| state == "failed");
    let events = world.journal.events.lock().unwrap().clone();
    let failures = count(&events, What::Ended("failed"));
    let seen = format!(
        "the job is shown as {states:?}; {} starts, {} ends failed, {} runs lost with their workers",
        count(&events, What::Started),
        failures,
        count(&events, What::Ended("crash"))
    );
    let verdict = Verdict {
        is_broken: is_failed && failures < 2,
        seen,
    };
    Ok((verdict, world))
}
