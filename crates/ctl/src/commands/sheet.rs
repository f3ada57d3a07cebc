//! Commands that check, plan or apply a sheet.

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

use super::{failure_output, unreadable_output};
use crate::args::Apply;
use crate::client::{Client, Failure, escape};
use crate::print::{self, Exit, Output};

/// Number of reads of the sheet in force after an answer was lost.
const RECHECK_COUNT: usize = 5;
/// Time between two reads of the sheet in force.
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);

/// `Current` is the sheet in force with its revision.
#[derive(Debug, Deserialize)]
struct Current {
    revision: ids::Revision,
    sheet: Option<Sheet>,
}

/// Checks a sheet without contacting a fleet.
pub(crate) fn check(path: &Path) -> Output {
    match load_sheet(path) {
        Ok((_, rows)) => {
            let text = format!("{}: {} rows, no findings", path.display(), rows.len());
            Output::new(
                Exit::Done,
                text,
                json!({ "rows": rows.len(), "findings": [] }),
            )
        }
        Err(output) => output,
    }
}

/// Shows what a sheet would change.
pub(crate) async fn plan(client: &Client, path: &Path) -> Output {
    let bytes = match load_sheet(path) {
        Ok((bytes, _)) => bytes,
        Err(output) => return output,
    };
    let value = match client.post("/v1/plan", bytes).await {
        Ok(value) => value,
        Err(failure) => return failure_output(failure),
    };
    match Plan::deserialize(&value) {
        Ok(plan) => {
            let exit = if plan.unmet.is_empty() {
                Exit::Done
            } else {
                Exit::Refused
            };
            Output::new(exit, print::format_plan(&plan), value)
        }
        Err(error) => unreadable_output(&error),
    }
}

/// Applies a sheet.
pub(crate) async fn apply(
    client: &Client,
    apply: &Apply,
    operator: Result<ids::Operator, Output>,
) -> Output {
    let (bytes, rows) = match load_sheet(&apply.sheet) {
        Ok(sheet) => sheet,
        Err(output) => return output,
    };
    let operator = match operator {
        Ok(operator) => operator,
        Err(output) => return output,
    };
    let mut path = format!("/v1/sheet?operator={}", escape(&operator));
    if let Some(base) = apply.base_revision {
        path = format!("{path}&base={base}");
    }
    if apply.allows_unmet {
        path = format!("{path}&anyway=true");
    }
    match client.post(&path, bytes).await {
        Ok(value) | Err(Failure::Refused(value)) => answer_output(value),
        Err(Failure::AnswerLost(problem)) => recheck(client, &rows, &problem).await,
        Err(failure @ Failure::Unreachable(_)) => failure_output(failure),
    }
}

/// Reads a sheet from a file, or returns the output with all its findings.
fn load_sheet(path: &Path) -> Result<(Bytes, Vec<Row>), Output> {
    let file = path.display();
    let bytes = std::fs::read(path)
        .map_err(|error| Output::error(Exit::Usage, &format!("{file}: {error}")))?;
    match sheet::parse_rows(&bytes) {
        Ok(rows) => Ok((bytes.into(), rows)),
        Err(Error::Findings(findings)) => Err(findings_output(path, &findings)),
        Err(error @ Error::Value { .. }) => Err(Output::error(Exit::Refused, &error.to_string())),
    }
}

fn findings_output(path: &Path, findings: &Findings) -> Output {
    let text = print::format_findings(path, findings);
    Output::new(Exit::Refused, text, json!({ "findings": findings.items }))
}

fn answer_output(value: Value) -> Output {
    let Ok(answer) = report::Answer::deserialize(&value) else {
        return failure_output(Failure::Refused(value));
    };
    let exit = match &answer {
        report::Answer::Applied { .. } | report::Answer::Unchanged { .. } => Exit::Done,
        report::Answer::Conflict(_)
        | report::Answer::Rejected { .. }
        | report::Answer::Unmet(_) => Exit::Refused,
        report::Answer::Undecided => Exit::Unreachable,
    };
    Output::new(exit, print::format_answer(&answer), value)
}

/// Reads the sheet in force, to learn whether a sheet whose answer was lost came into force.
async fn recheck(client: &Client, rows: &[Row], problem: &str) -> Output {
    let intents: Vec<_> = rows.iter().map(|row| row.intent.clone()).collect();
    for _ in 0..RECHECK_COUNT {
        if let Ok(value) = client.get("/v1/sheet").await
            && let Ok(Current {
                revision,
                sheet: Some(sheet),
            }) = Current::deserialize(&value)
            && diff(&sheet.intents, &intents).is_empty()
        {
            let text = format!(
                "the sheet is in force at revision {revision}, confirmed by a second call; the answer \
                 to the first was lost ({problem})"
            );
            let value = json!({ "result": "applied", "revision": revision, "differences": [] });
            return Output::new(Exit::Done, text, value);
        }
        sleep(RECHECK_INTERVAL).await;
    }
    let text = format!(
        "not known whether the sheet comes into force: {problem}\n\
         It is not in force now. Run the same command again; it changes nothing if the sheet is in \
         force by then."
    );
    let value = json!({ "result": "unsettled", "error": problem });
    Output::new(Exit::Unreachable, text, value)
}
