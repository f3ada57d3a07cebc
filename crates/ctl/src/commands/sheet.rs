//! Commands about the sheet.

use std::path::Path;
use std::time::Duration;

use actix_rt::time::sleep;
use bytes::Bytes;
use persimmongate_core::errors::Error;
use persimmongate_core::finding::Findings;
use persimmongate_core::ids;
use persimmongate_core::report::{self, Plan};
use persimmongate_core::sheet::{self, Row, diff};
use persimmongate_core::state::Sheet;
use serde::Deserialize;
use serde_json::{Value, json};

use super::{failed, unreadable};
use crate::args::Apply;
use crate::client::{Client, Failure, escape};
use crate::print::{self, Answer, Exit};

/// Looks at the sheet in force after an answer was lost.
const RECHECKS: usize = 5;
/// Time between two looks.
const RECHECK_WAIT: Duration = Duration::from_secs(1);

/// `Force` is the sheet in force with its revision.
#[derive(Debug, Deserialize)]
struct Force {
    revision: ids::Revision,
    sheet: Option<Sheet>,
}

/// Checks a sheet without a fleet.
pub(crate) fn check(path: &Path) -> Answer {
    match load(path) {
        Ok((_, rows)) => {
            let text = format!("{}: {} rows, no findings", path.display(), rows.len());
            Answer::new(
                Exit::Done,
                text,
                json!({ "rows": rows.len(), "findings": [] }),
            )
        }
        Err(answer) => answer,
    }
}

/// Shows what a sheet would change.
pub(crate) async fn plan(client: &Client, path: &Path) -> Answer {
    let bytes = match load(path) {
        Ok((bytes, _)) => bytes,
        Err(answer) => return answer,
    };
    let value = match client.post("/v1/plan", bytes).await {
        Ok(value) => value,
        Err(failure) => return failed(failure),
    };
    match Plan::deserialize(&value) {
        Ok(plan) => {
            let exit = if plan.unmet.is_empty() {
                Exit::Done
            } else {
                Exit::Refused
            };
            Answer::new(exit, print::plan(&plan), value)
        }
        Err(error) => unreadable(&error),
    }
}

/// Applies a sheet.
pub(crate) async fn apply(
    client: &Client,
    apply: &Apply,
    operator: Result<ids::Operator, Answer>,
) -> Answer {
    let (bytes, rows) = match load(&apply.sheet) {
        Ok(sheet) => sheet,
        Err(answer) => return answer,
    };
    let operator = match operator {
        Ok(operator) => operator,
        Err(answer) => return answer,
    };
    let mut path = format!("/v1/sheet?operator={}", escape(&operator));
    if let Some(base) = apply.base {
        path = format!("{path}&base={base}");
    }
    if apply.anyway {
        path = format!("{path}&anyway=true");
    }
    match client.post(&path, bytes).await {
        Ok(value) | Err(Failure::Refused(value)) => conclude(value),
        Err(Failure::Lost(problem)) => recheck(client, &rows, &problem).await,
        Err(failure @ Failure::Unreachable(_)) => failed(failure),
    }
}

/// Reads a sheet and all its findings.
fn load(path: &Path) -> Result<(Bytes, Vec<Row>), Answer> {
    let place = path.display();
    let bytes = std::fs::read(path)
        .map_err(|error| Answer::problem(Exit::Usage, &format!("{place}: {error}")))?;
    match sheet::parse_rows(&bytes) {
        Ok(rows) => Ok((bytes.into(), rows)),
        Err(Error::Findings(findings)) => Err(found(path, &findings)),
        Err(error @ Error::Value { .. }) => Err(Answer::problem(Exit::Refused, &error.to_string())),
    }
}

fn found(path: &Path, findings: &Findings) -> Answer {
    let text = print::findings(path, findings);
    Answer::new(Exit::Refused, text, json!({ "findings": findings.items }))
}

fn conclude(value: Value) -> Answer {
    let Ok(answer) = report::Answer::deserialize(&value) else {
        return failed(Failure::Refused(value));
    };
    let exit = match &answer {
        report::Answer::Applied { .. } | report::Answer::Unchanged { .. } => Exit::Done,
        report::Answer::Conflict(_)
        | report::Answer::Rejected { .. }
        | report::Answer::Unmet(_) => Exit::Refused,
        report::Answer::Unsettled => Exit::Unreachable,
    };
    Answer::new(exit, print::application(&answer), value)
}

/// Looks whether a sheet whose answer is lost came into force.
async fn recheck(client: &Client, rows: &[Row], problem: &str) -> Answer {
    let intents: Vec<_> = rows.iter().map(|row| row.intent.clone()).collect();
    for _ in 0..RECHECKS {
        if let Ok(value) = client.get("/v1/sheet").await
            && let Ok(Force {
                revision,
                sheet: Some(sheet),
            }) = Force::deserialize(&value)
            && diff(&sheet.intents, &intents).is_empty()
        {
            let text = format!(
                "in force at revision {revision}; the answer was lost ({problem}), so the state was \
                 read again"
            );
            let value = json!({ "result": "applied", "revision": revision, "differences": [] });
            return Answer::new(Exit::Done, text, value);
        }
        sleep(RECHECK_WAIT).await;
    }
    let text = format!(
        "not known whether the sheet comes into force: {problem}\n\
         It is not in force now. Run the same command again: it changes nothing if it is by then."
    );
    let value = json!({ "result": "unsettled", "error": problem });
    Answer::new(Exit::Unreachable, text, value)
}
