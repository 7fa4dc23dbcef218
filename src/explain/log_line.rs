//! Reads log lines.

use std::{error::Error, fmt};

use serde_json::{Map, Value};

/// Holds one log line.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// The process that wrote it: the last word before the JSON object, or
    /// else the name of the file.
    pub process: String,
    /// When it was written, as written.
    pub timestamp: String,
    /// What happened.
    pub message: String,
    fields: Map<String, Value>,
}

/// Says why a line is no log line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LineError {
    /// The file, or what stands for it.
    pub source: String,
    /// The number of the line, from 1.
    pub number: usize,
    /// What is wrong.
    pub problem: String,
}

impl fmt::Display for LineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.source, self.number, self.problem)
    }
}

impl Error for LineError {}

impl LogLine {
    /// Reads the line with a number from a source. Text that a collector put
    /// before the JSON object is passed over; a line without one is no log
    /// line and returns `None`.
    ///
    /// # Errors
    ///
    /// Returns an error when the JSON object can't be read.
    pub fn parse(source: &str, number: usize, text: &str) -> Result<Option<Self>, LineError> {
        let Some(start) = text.find('{') else { return Ok(None) };
        let (prefix, object) = text.split_at(start);
        let error_at = |problem: String| LineError { source: source.to_owned(), number, problem };
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

    /// Returns a text field.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns a field that holds a whole number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }

    /// Returns a field in the way that a sentence names it.
    pub fn display(&self, name: &str) -> String {
        match self.fields.get(name) {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => "unknown".to_owned(),
        }
    }
}
