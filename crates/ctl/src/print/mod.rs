//! Text for the terminal.

mod status;

use std::fmt::Write as _;
use std::io::{ErrorKind, Write as _};
use std::path::Path;
use std::process::ExitCode;

use persimmongate_core::finding::Findings;
use persimmongate_core::report::{self, Conflict, Diagnostic, Explanation, Plan};
use serde_json::{Value, json};

pub(crate) use status::format_status;

/// `Exit` is how a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Exit {
    /// Did what was asked.
    Done,
    /// Was refused, or the sheet has findings.
    Refused,
    /// Arguments, settings or a file are wrong.
    Usage,
    /// Fleet or platform can't be reached, or the result is not known.
    Unreachable,
}

/// `Output` is what a command tells, as text and as JSON.
#[derive(Debug)]
pub(crate) struct Output {
    exit: Exit,
    pub(crate) text: String,
    value: Value,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Done => 0,
            Exit::Refused => 1,
            Exit::Usage => 2,
            Exit::Unreachable => 3,
        })
    }
}

impl Output {
    pub(crate) fn new(exit: Exit, text: String, value: Value) -> Self {
        Self { exit, text, value }
    }

    /// Makes the answer for a problem that is only text.
    pub(crate) fn error(exit: Exit, text: &str) -> Self {
        Self::new(exit, text.to_owned(), json!({ "error": text }))
    }
}

/// Prints an answer: JSON always to the output, text of problems to the error output.
pub(crate) fn print(output: &Output, json: bool) -> ExitCode {
    let text = if json {
        format!("{:#}", output.value)
    } else {
        output.text.trim_end().to_owned()
    };
    let printed = if json || output.exit == Exit::Done {
        writeln!(std::io::stdout(), "{text}")
    } else {
        writeln!(std::io::stderr(), "{text}")
    };
    // A reader that closed the pipe has what it wanted.
    match printed {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Exit::Usage.into(),
        _ => output.exit.into(),
    }
}

/// Makes the text of the findings of a sheet.
pub(crate) fn format_findings(path: &Path, findings: &Findings) -> String {
    let count = match findings.items.len() {
        1 => "1 finding".to_owned(),
        count => format!("{count} findings"),
    };
    format!("{}: {count}, nothing applied\n{findings}", path.display())
}

/// Makes the text of a plan.
pub(crate) fn format_plan(plan: &Plan) -> String {
    let mut text = match &plan.operator {
        Some(operator) => format!("base {}, applied by {operator}\n", plan.base_revision),
        None => "base 0, no sheet is in force\n".to_owned(),
    };
    if plan.differences.is_empty() {
        text.push_str("no change: the same sheet is in force\n");
    } else {
        list(&mut text, "changes", plan.differences.iter());
    }
    let shifts = plan.resizes.iter().map(|shift| {
        let (sign, count) = if shift.current < shift.target {
            ('+', shift.target - shift.current)
        } else {
            ('-', shift.current - shift.target)
        };
        format!(
            "pool {}: {} -> {} ({sign}{count})",
            shift.pool, shift.current, shift.target
        )
    });
    list(&mut text, "hosts", shifts);
    list(&mut text, "notes", plan.notes.iter().map(remark));
    list(
        &mut text,
        "can't be met today",
        plan.unmet.iter().map(remark),
    );
    text
}

/// Makes the text of what became of a sheet.
pub(crate) fn format_answer(answer: &report::Answer) -> String {
    match answer {
        report::Answer::Applied {
            revision,
            differences,
        } => {
            let mut text = format!("applied, revision {revision}\n");
            list(&mut text, "changes", differences.iter());
            text
        }
        report::Answer::Conflict(conflict) => conflict_text(conflict),
        report::Answer::Rejected { reason } => format!("refused: {reason}"),
        report::Answer::Unchanged { revision, operator } => {
            format!("no change: the same sheet is in force, revision {revision} by {operator}")
        }
        report::Answer::Unmet(unmet) => format!(
            "refused: rows can't be met today, nothing applied; --anyway applies them\n{}",
            format_plan(unmet)
        ),
        report::Answer::Unsettled => "not known whether the sheet comes into force".to_owned(),
    }
}

fn conflict_text(conflict: &Conflict) -> String {
    let Conflict {
        revision,
        operator,
        at,
        differences,
    } = conflict;
    let mut text = format!(
        "conflict: {operator} applied another sheet, revision {revision}, at {at}; nothing applied\n"
    );
    list(&mut text, "your sheet would change", differences.iter());
    let hint = format!("To replace it, run apply again with --base {revision}.\n");
    text.push_str(&hint);
    text
}

/// Makes the text of an explanation.
pub(crate) fn format_explanation(explanation: &Explanation) -> String {
    let mut text = format!("{}\n", explanation.subject);
    list(&mut text, "now", explanation.current_state.iter());
    list(&mut text, "next", explanation.next_steps.iter());
    text
}

fn remark(remark: &Diagnostic) -> String {
    match remark.line {
        0 => format!("{}: {}", remark.subject, remark.message),
        line => format!("line {line}, {}: {}", remark.subject, remark.message),
    }
}

/// Adds a title and an indented line for each item, nothing without items.
fn list(text: &mut String, title: &str, items: impl Iterator<Item = impl std::fmt::Display>) {
    let mut items = items.peekable();
    if items.peek().is_none() {
        return;
    }
    // Writing to a string does not fail.
    let _ = writeln!(text, "{title}:");
    for item in items {
        let _ = writeln!(text, "  {item}");
    }
}
