//! Formats the results of a demo run.

use std::{fmt, time::Duration};

/// Holds the measurements of a demo run and the results of its checks.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub(super) measurements: Vec<(String, String)>,
    pub(super) checks: Vec<(String, bool)>,
}

impl Report {
    /// Returns whether every check passed.
    pub fn all_passed(&self) -> bool {
        self.checks.iter().all(|(_, passed)| *passed)
    }

    pub(super) fn record_measurement(&mut self, name: &str, value: impl fmt::Display) {
        self.measurements.push((name.to_owned(), value.to_string()));
    }

    pub(super) fn record_duration(&mut self, name: &str, value: Duration) {
        self.record_measurement(name, format!("{:.3} s", value.as_secs_f64()));
    }

    pub(super) fn record_check(&mut self, name: &str, passed: bool) {
        self.checks.push((name.to_owned(), passed));
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "what was seen")?;
        for (name, value) in &self.measurements {
            writeln!(f, "  {name:44} {value}")?;
        }
        writeln!(f, "promises")?;
        for (name, passed) in &self.checks {
            let verdict = if *passed { "held" } else { "BROKEN" };
            writeln!(f, "  {name:44} {verdict}")?;
        }
        Ok(())
    }
}
