//! Output of results as text or JSON.

mod status;

use std::fmt::Write as _;
use std::io::{ErrorKind, Write as _};
use std::path::Path;
use std::process::ExitCode;

use persimmongate_core::finding::Findings;
use persimmongate_core::report::{self, Conflict, Diagnostic, Explanation, Plan};
use serde_json::{Value, json};

pub(crate) use status::format_status;

/// `Exit` is the result of a command, which determines the exit code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Exit {
    /// The command succeeded.
    Done,
    /// The fleet refused the call, the sheet has findings, or rows can't be met.
    Refused,
    /// Arguments or settings are invalid, a file can't be read, or the output can't be written.
    Usage,
    /// The fleet or the platform can't be reached, or the result is unknown.
    Unreachable,
}

/// `Output` is the result of a command as text and as JSON.
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

    /// Creates the output for an error described by a text.
    pub(crate) fn error(exit: Exit, text: &str) -> Self {
        Self::new(exit, text.to_owned(), json!({ "error": text }))
    }
}

/// Prints an output: JSON always to standard output, the text of errors to standard error.
pub(crate) fn print(output: &Output, prints_json: bool) -> ExitCode {
    let text = if prints_json {
        format!("{:#}", output.value)
    } else {
        output.text.trim_end().to_owned()
    };
    let write_result = if prints_json || output.exit == Exit::Done {
        writeln!(std::io::stdout(), "{text}")
    } else {
        writeln!(std::io::stderr(), "{text}")
    };
    // A reader that closes the pipe early, such as `head`, is not an error.
    match write_result {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Exit::Usage.into(),
        _ => output.exit.into(),
    }
}

/// Formats the findings of a sheet.
pub(crate) fn format_findings(path: &Path, findings: &Findings) -> String {
    let count = match findings.items.len() {
        1 => "1 finding".to_owned(),
        count => format!("{count} findings"),
    };
    format!("{}: {count}, nothing applied\n{findings}", path.display())
}

/// Formats a plan.
pub(crate) fn format_plan(plan: &Plan) -> String {
    let mut text = match &plan.operator {
        Some(operator) => format!(
            "base revision {}, applied by {operator}\n",
            plan.base_revision
        ),
        None => "base revision 0, no sheet is in force\n".to_owned(),
    };
    if plan.differences.is_empty() {
        text.push_str("no change: the same sheet is in force\n");
    } else {
        append_list(&mut text, "changes", plan.differences.iter());
    }
    let resizes = plan.resizes.iter().map(|resize| {
        let (sign, count) = if resize.current < resize.target {
            ('+', resize.target - resize.current)
        } else {
            ('-', resize.current - resize.target)
        };
        format!(
            "pool {}: {} -> {} ({sign}{count})",
            resize.pool, resize.current, resize.target
        )
    });
    append_list(&mut text, "hosts", resizes);
    append_list(&mut text, "notes", plan.notes.iter().map(format_diagnostic));
    append_list(
        &mut text,
        "can't be met with the current hosts",
        plan.unmet.iter().map(format_diagnostic),
    );
    text
}

/// Formats the result of applying a sheet.
pub(crate) fn format_answer(answer: &report::Answer) -> String {
    match answer {
        report::Answer::Applied {
            revision,
            differences,
        } => {
            let mut text = format!("applied, revision {revision}\n");
            append_list(&mut text, "changes", differences.iter());
            text
        }
        report::Answer::Conflict(conflict) => format_conflict(conflict),
        report::Answer::Rejected { reason } => format!("refused: {reason}"),
        report::Answer::Unchanged { revision, operator } => {
            format!("no change: the same sheet is in force, revision {revision} by {operator}")
        }
        report::Answer::Unmet(unmet) => format!(
            "refused: some rows can't be met with the current hosts, nothing applied; --anyway \
             applies the sheet nevertheless\n{}",
            format_plan(unmet)
        ),
        report::Answer::Undecided => "not known whether the sheet comes into force".to_owned(),
    }
}

fn format_conflict(conflict: &Conflict) -> String {
    let Conflict {
        revision,
        operator,
        at,
        differences,
    } = conflict;
    let mut text = format!(
        "conflict: {operator} applied another sheet, revision {revision}, at {at}; nothing applied\n"
    );
    append_list(&mut text, "your sheet would change", differences.iter());
    let hint = format!("To replace it, run apply again with --base {revision}.\n");
    text.push_str(&hint);
    text
}

/// Formats an explanation.
pub(crate) fn format_explanation(explanation: &Explanation) -> String {
    let mut text = format!("{}\n", explanation.subject);
    append_list(&mut text, "now", explanation.current_state.iter());
    append_list(&mut text, "next", explanation.next_steps.iter());
    text
}

fn format_diagnostic(diagnostic: &Diagnostic) -> String {
    match diagnostic.line {
        0 => format!("{}: {}", diagnostic.subject, diagnostic.message),
        line => format!(
            "line {line}, {}: {}",
            diagnostic.subject, diagnostic.message
        ),
    }
}

/// Appends a title and an indented line for each item, or nothing if there are no items.
fn append_list(
    text: &mut String,
    title: &str,
    items: impl Iterator<Item = impl std::fmt::Display>,
) {
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
