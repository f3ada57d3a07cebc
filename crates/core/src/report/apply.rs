//! Whether a sheet may be applied, and what became of it.

use serde::{Deserialize, Serialize};

use super::plan::{Plan, plan};
use crate::ids;
use crate::record::{Command, Phase};
use crate::sheet::{Difference, Intent, Row, diff};
use crate::state::{Reason, State, Verdict};

/// `Proposal` is a sheet that an operator wants in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proposal {
    /// Operator who applies it.
    pub operator: ids::Operator,
    /// Revision that the operator saw; by default the own one in force.
    pub base_revision: Option<ids::Revision>,
    /// Whether rows that can't be met today are accepted.
    pub allows_unmet: bool,
    /// Rows of the sheet.
    pub rows: Vec<Row>,
}

/// `Conflict` tells of a sheet in force that the operator has not seen.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Conflict {
    /// Revision of the sheet in force.
    pub revision: ids::Revision,
    /// Operator who applied it.
    pub operator: ids::Operator,
    /// Time at which it was applied, by RFC 3339.
    pub at: String,
    /// What the operator's sheet says differently.
    pub differences: Vec<Difference>,
}

/// `Answer` is what an operator is told of an proposal.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "result")]
pub enum Answer {
    /// The sheet is in force.
    Applied {
        /// Its revision.
        revision: ids::Revision,
        /// What it changed.
        differences: Vec<Difference>,
    },
    /// Another sheet is in force that the operator has not seen.
    Conflict(Conflict),
    /// The record was rejected for another reason.
    Rejected {
        /// The reason in words.
        reason: String,
    },
    /// The same sheet was in force already.
    Unchanged {
        /// Its revision.
        revision: ids::Revision,
        /// Operator who applied it.
        operator: ids::Operator,
    },
    /// Rows can't be met today; nothing was applied.
    Unmet(Plan),
    /// The log did not tell in time; the sheet may come into force later.
    Unsettled,
}

/// `Decision` is what to do with an proposal.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Tell the operator, and append nothing.
    Answer(Answer),
    /// Append the sheet against a revision.
    Append(ids::Revision),
}

/// Decides on an proposal.
///
/// The same sheet as the one in force changes nothing, whoever applied it. A sheet that another
/// operator applied is replaced only by an operator who names its revision.
#[must_use]
pub fn evaluate(state: &State, proposal: &Proposal) -> Decision {
    if let Some(answer) = unchanged(state, &proposal.rows) {
        return Decision::Answer(answer);
    }
    let own = state
        .sheet
        .as_ref()
        .is_none_or(|sheet| sheet.operator == proposal.operator);
    let seen = match proposal.base_revision {
        Some(base) => base == state.revision,
        None => own,
    };
    if !seen {
        return Decision::Answer(conflict(state, &proposal.rows));
    }
    let plan = plan(state, &proposal.rows);
    if !plan.unmet.is_empty() && !proposal.allows_unmet {
        return Decision::Answer(Answer::Unmet(plan));
    }
    Decision::Append(state.revision)
}

/// Gets what became of an application that was appended against a base.
///
/// The state is the fold after the verdict was read, or after the time for it was up.
#[must_use]
pub fn resolve(
    state: &State,
    before: &[Intent],
    base: ids::Revision,
    verdict: Option<&Verdict>,
    rows: &[Row],
) -> Answer {
    let in_force = unchanged(state, rows).is_some() && state.revision > base;
    let applied = || Answer::Applied {
        revision: state.revision,
        differences: diff(before, &intents(rows)),
    };
    match verdict {
        Some(Verdict::Accepted | Verdict::Duplicate) => applied(),
        Some(Verdict::Rejected(Reason::Conflict { .. })) => {
            unchanged(state, rows).unwrap_or_else(|| conflict(state, rows))
        }
        Some(Verdict::Rejected(reason)) => Answer::Rejected {
            reason: reason.to_string(),
        },
        // The append may have taken effect although its verdict was not read in time.
        None if in_force => applied(),
        None => Answer::Unsettled,
    }
}

/// Gets whether a wave is already where a command would bring it.
#[must_use]
pub fn is_in_effect(phase: Phase, command: Command) -> bool {
    matches!(
        (phase, command),
        (Phase::Aborted, Command::Abort)
            | (Phase::Paused, Command::Pause)
            | (Phase::Running, Command::Resume)
    )
}

fn intents(rows: &[Row]) -> Vec<Intent> {
    rows.iter().map(|row| row.intent.clone()).collect()
}

fn unchanged(state: &State, rows: &[Row]) -> Option<Answer> {
    let sheet = state.sheet.as_ref()?;
    diff(&sheet.intents, &intents(rows))
        .is_empty()
        .then(|| Answer::Unchanged {
            revision: state.revision,
            operator: sheet.operator.clone(),
        })
}

fn conflict(state: &State, rows: &[Row]) -> Answer {
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
        differences: diff(before, &intents(rows)),
    })
}
