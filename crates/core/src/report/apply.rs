//! Decision whether a sheet may be applied, and the result of applying it.

use serde::{Deserialize, Serialize};

use super::plan::{Plan, plan};
use crate::ids;
use crate::record::{Command, Phase};
use crate::sheet::{Difference, Intent, Row, diff};
use crate::state::{Reason, State, Verdict};

/// `Proposal` is a sheet that an operator asks to bring into force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proposal {
    /// Operator who applies it.
    pub operator: ids::Operator,
    /// Revision that the proposal replaces; `None` to replace the sheet in force only if the same
    /// operator applied it, or if there is none.
    pub base_revision: Option<ids::Revision>,
    /// Whether rows that the available hosts can't meet are accepted.
    pub allows_unmet: bool,
    /// Rows of the sheet.
    pub rows: Vec<Row>,
}

/// `Conflict` describes a sheet in force other than the one that a proposal is based on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Conflict {
    /// Revision of the sheet in force.
    pub revision: ids::Revision,
    /// Operator who applied it.
    pub operator: ids::Operator,
    /// Time at which it was applied, in RFC 3339 format.
    pub at: String,
    /// Differences between the sheet in force and the proposed one.
    pub differences: Vec<Difference>,
}

/// `Answer` is the result of a proposal, as returned to the operator.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "result")]
pub enum Answer {
    /// The proposed sheet is in force.
    Applied {
        /// Its revision.
        revision: ids::Revision,
        /// Differences between the sheet before and this one.
        differences: Vec<Difference>,
    },
    /// The sheet in force is not the one that the proposal is based on.
    Conflict(Conflict),
    /// The record of the sheet was rejected for another reason.
    Rejected {
        /// Text of the reason.
        reason: String,
    },
    /// The same sheet is in force already.
    Unchanged {
        /// Its revision.
        revision: ids::Revision,
        /// Operator who applied it.
        operator: ids::Operator,
    },
    /// The available hosts can't meet some rows; nothing was applied.
    Unmet(Plan),
    /// The verdict was not read from the log in time; the sheet may still come into force.
    #[serde(rename = "unsettled")]
    Undecided,
}

/// `Decision` is the action to take on a proposal.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Append nothing and return an answer.
    Answer(Answer),
    /// Append the sheet as the successor of this revision.
    Append(ids::Revision),
}

/// Decides whether a proposal is appended to the log.
///
/// A proposal equal to the sheet in force appends nothing, whoever applied that sheet. A sheet of
/// another operator is replaced only if the proposal names its revision.
#[must_use]
pub fn evaluate(state: &State, proposal: &Proposal) -> Decision {
    if let Some(answer) = answer_if_unchanged(state, &proposal.rows) {
        return Decision::Answer(answer);
    }
    let is_own_sheet = state
        .sheet
        .as_ref()
        .is_none_or(|sheet| sheet.operator == proposal.operator);
    let is_current = match proposal.base_revision {
        Some(base) => base == state.revision,
        None => is_own_sheet,
    };
    if !is_current {
        return Decision::Answer(answer_conflict(state, &proposal.rows));
    }
    let plan = plan(state, &proposal.rows);
    if !plan.unmet.is_empty() && !proposal.allows_unmet {
        return Decision::Answer(Answer::Unmet(plan));
    }
    Decision::Append(state.revision)
}

/// Returns the result of a proposal that was appended as the successor of a base revision.
///
/// `state` is the state after the verdict was read, or after the wait for it timed out.
#[must_use]
pub fn resolve(
    state: &State,
    before: &[Intent],
    base: ids::Revision,
    verdict: Option<&Verdict>,
    rows: &[Row],
) -> Answer {
    let is_in_force = answer_if_unchanged(state, rows).is_some() && state.revision > base;
    let applied = || Answer::Applied {
        revision: state.revision,
        differences: diff(before, &collect_intents(rows)),
    };
    match verdict {
        Some(Verdict::Accepted | Verdict::Duplicate) => applied(),
        Some(Verdict::Rejected(Reason::Conflict { .. })) => {
            answer_if_unchanged(state, rows).unwrap_or_else(|| answer_conflict(state, rows))
        }
        Some(Verdict::Rejected(reason)) => Answer::Rejected {
            reason: reason.to_string(),
        },
        // The append may have taken effect although its verdict was not read in time.
        None if is_in_force => applied(),
        None => Answer::Undecided,
    }
}

/// Returns whether a wave is already in the phase that a command leads to.
#[must_use]
pub fn is_in_effect(phase: Phase, command: Command) -> bool {
    matches!(
        (phase, command),
        (Phase::Aborted, Command::Abort)
            | (Phase::Paused, Command::Pause)
            | (Phase::Running, Command::Resume)
    )
}

fn collect_intents(rows: &[Row]) -> Vec<Intent> {
    rows.iter().map(|row| row.intent.clone()).collect()
}

fn answer_if_unchanged(state: &State, rows: &[Row]) -> Option<Answer> {
    let sheet = state.sheet.as_ref()?;
    diff(&sheet.intents, &collect_intents(rows))
        .is_empty()
        .then(|| Answer::Unchanged {
            revision: state.revision,
            operator: sheet.operator.clone(),
        })
}

fn answer_conflict(state: &State, rows: &[Row]) -> Answer {
    let (operator, at, before) = match &state.sheet {
        Some(sheet) => (
            sheet.operator.clone(),
            Some(sheet.applied_at),
            &sheet.intents[..],
        ),
        None => (ids::Operator::new(), None, &[][..]),
    };
    let at = at.and_then(|at| jiff::Timestamp::try_from(at).ok());
    Answer::Conflict(Conflict {
        revision: state.revision,
        operator,
        at: at.map(|at| format!("{at:.0}")).unwrap_or_default(),
        differences: diff(before, &collect_intents(rows)),
    })
}
