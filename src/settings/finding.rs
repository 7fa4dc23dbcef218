//! Represents and collects the errors in a settings file.

use std::{error::Error, fmt};

/// Represents an error at one position in a settings file.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Finding {
    /// The line, counted from 1.
    pub line: usize,
    /// The column in characters, counted from 1.
    pub column: usize,
    /// The cause and the remedy.
    pub text: String,
}

/// Represents all errors in one settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Findings {
    /// The path of the file, as the user gave it.
    pub file: String,
    /// The findings, ordered by line and column.
    pub list: Vec<Finding>,
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, finding) in self.list.iter().enumerate() {
            if number > 0 {
                writeln!(f)?;
            }
            write!(f, "{}:{}:{}: {}", self.file, finding.line, finding.column, finding.text)?;
        }
        Ok(())
    }
}

impl Error for Findings {}

/// Collects findings by their byte offset in the file.
#[derive(Debug, Default)]
pub(super) struct FindingCollector {
    entries: Vec<(usize, String)>,
}

impl FindingCollector {
    pub(super) fn add(&mut self, offset: usize, text: impl Into<String>) {
        self.entries.push((offset, text.into()));
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the findings, sorted and without duplicates. `text` is the text of
    /// the file.
    pub(super) fn into_findings(self, file: &str, text: &str) -> Findings {
        let mut list: Vec<Finding> = self
            .entries
            .into_iter()
            .map(|(offset, message)| finding_at(text, offset, message))
            .collect();
        list.sort();
        list.dedup();
        Findings { file: file.to_owned(), list }
    }
}

/// Converts a byte offset in `text` to a line and a column.
fn finding_at(text: &str, offset: usize, message: String) -> Finding {
    let preceding_text = &text[..offset.min(text.len())];
    let line_start = preceding_text.rfind('\n').map_or(0, |index| index + 1);
    Finding {
        line: preceding_text.matches('\n').count() + 1,
        column: preceding_text[line_start..].chars().count() + 1,
        text: message,
    }
}
