//! Collects what is wrong with a settings file.

use std::{error::Error, fmt};

/// Says what is wrong at one place, and the remedy.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Finding {
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1, in characters.
    pub column: usize,
    /// What is wrong and what to do about it.
    pub text: String,
}

/// Holds all findings of one settings file, in the order of their places.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Findings {
    /// The file, as it was named.
    pub file: String,
    /// The findings.
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

/// Gathers findings by byte offset.
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

    pub(super) fn into_findings(self, file: &str, text: &str) -> Findings {
        let mut list: Vec<Finding> = self
            .entries
            .into_iter()
            .map(|(offset, message)| locate(text, offset, message))
            .collect();
        list.sort();
        list.dedup();
        Findings { file: file.to_owned(), list }
    }
}

fn locate(text: &str, offset: usize, message: String) -> Finding {
    let before = &text[..offset.min(text.len())];
    let line_start = before.rfind('\n').map_or(0, |at| at + 1);
    Finding {
        line: before.matches('\n').count() + 1,
        column: before[line_start..].chars().count() + 1,
        text: message,
    }
}
