//! Parses log lines in JSON.

use std::{error::Error, fmt};

use serde_json::{Map, Value};

/// Represents one log line.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// The process that wrote the line: the last word before the JSON object, or
    /// the name of the source if there is none.
    pub process: String,
    /// When the line was written, as text from the log. Lines are sorted by this
    /// text.
    pub timestamp: String,
    /// The log message, which says what happened.
    pub message: String,
    fields: Map<String, Value>,
}

/// Represents a line whose JSON object could not be parsed as a log line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LineError {
    /// The file, or the name of another source such as standard input.
    pub source: String,
    /// The line number, from 1.
    pub line_number: usize,
    /// Why the line could not be parsed.
    pub problem: String,
}

impl fmt::Display for LineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.source, self.line_number, self.problem)
    }
}

impl Error for LineError {}

impl LogLine {
    /// Parses a line; `source` and `line_number` identify it in errors. Text that a log
    /// collector put before the JSON object is skipped. Returns `None` for a line
    /// without a JSON object.
    ///
    /// # Errors
    ///
    /// Returns an error when the JSON object is malformed, or its timestamp or
    /// message is missing.
    pub fn parse(source: &str, line_number: usize, text: &str) -> Result<Option<Self>, LineError> {
        let Some(start) = text.find('{') else { return Ok(None) };
        let (prefix, object) = text.split_at(start);
        let error_at =
            |problem: String| LineError { source: source.to_owned(), line_number, problem };
        let mut fields: Map<String, Value> =
            serde_json::from_str(object.trim()).map_err(|error| error_at(error.to_string()))?;
        let mut take_text = |name: &str| match fields.remove(name) {
            Some(Value::String(text)) => Ok(text),
            _ => Err(error_at(format!("there is no text under \"{name}\""))),
        };
        let (timestamp, message) = (take_text("timestamp")?, take_text("message")?);
        let process = prefix.split_whitespace().next_back().unwrap_or(source).to_owned();
        Ok(Some(Self { process, timestamp, message, fields }))
    }

    /// Returns a field that holds a string.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns a field that holds an unsigned integer.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }

    /// Returns a field as text for a sentence, or `unknown` if it is missing.
    pub fn display(&self, name: &str) -> String {
        match self.fields.get(name) {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => "unknown".to_owned(),
        }
    }
}
