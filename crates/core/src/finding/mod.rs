//! Problems in operator input, collected with their locations and reported together.

use std::fmt;

use serde::Serialize;

/// `Location` is the place of a problem in the input: a line, and a column or key.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Location {
    /// Line, counted from 1.
    pub line: usize,
    /// Column of a sheet or key of a settings file; empty when the problem concerns the whole line.
    pub column: String,
}

/// `Finding` is one problem with its location, the value found and the accepted values.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Finding {
    /// Location of the problem.
    #[serde(rename = "place")]
    pub location: Location,
    /// Value as it was read.
    pub value: String,
    /// What is wrong with the value.
    pub problem: String,
    /// Description of the accepted values.
    pub accepted: String,
}

/// `Findings` is the list of problems in one input.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Findings {
    /// Problems in the order in which they were found.
    pub items: Vec<Finding>,
}

impl Findings {
    /// Adds a problem.
    pub fn add(
        &mut self,
        line: usize,
        column: &str,
        value: &str,
        problem: impl Into<String>,
        accepted: impl Into<String>,
    ) {
        self.items.push(Finding {
            location: Location {
                line,
                column: column.to_owned(),
            },
            value: value.to_owned(),
            problem: problem.into(),
            accepted: accepted.into(),
        });
    }

    /// Returns whether there is no problem.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the value when there is no problem, else the problems sorted by location.
    ///
    /// # Errors
    ///
    /// Returns the findings when there is at least one.
    pub fn finish<T>(mut self, value: T) -> Result<T, Self> {
        if self.is_empty() {
            return Ok(value);
        }
        self.items.sort();
        Err(self)
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}", self.location.line)?;
        if !self.location.column.is_empty() {
            write!(f, ", {}", self.location.column)?;
        }
        write!(f, ": {}", self.problem)?;
        if !self.value.is_empty() {
            write!(f, ": {:?}", self.value)?;
        }
        if !self.accepted.is_empty() {
            write!(f, "; accepted: {}", self.accepted)?;
        }
        Ok(())
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.items.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}
