//! Differences between two sheets.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::Intent;

/// `Difference` is a subject whose rows differ between two sheets.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Difference {
    /// Subject of the rows.
    pub subject: String,
    /// Row of the first sheet, `None` if it has none.
    pub before: Option<Intent>,
    /// Row of the second sheet, `None` if it has none.
    pub after: Option<Intent>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "{}: {before} -> {after}", self.subject),
            (None, Some(after)) => write!(f, "{}: new, {after}", self.subject),
            (Some(before), None) => write!(f, "{}: removed, was {before}", self.subject),
            (None, None) => write!(f, "{}: no change", self.subject),
        }
    }
}

/// Compares two sheets; returns the differences sorted by subject. The order of rows does not
/// matter.
#[must_use]
pub fn diff(before: &[Intent], after: &[Intent]) -> Vec<Difference> {
    let mut pairs: BTreeMap<String, (Option<&Intent>, Option<&Intent>)> = BTreeMap::new();
    for intent in before {
        pairs.entry(intent.subject()).or_default().0 = Some(intent);
    }
    for intent in after {
        pairs.entry(intent.subject()).or_default().1 = Some(intent);
    }
    let changed = pairs
        .into_iter()
        .filter(|(_, (before, after))| before != after);
    changed
        .map(|(subject, (before, after))| Difference {
            subject,
            before: before.cloned(),
            after: after.cloned(),
        })
        .collect()
}
