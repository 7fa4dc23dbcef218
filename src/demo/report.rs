//! Shows what a run saw.

use std::{fmt, time::Duration};

/// Holds what a run saw and whether each promise held.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub(super) figures: Vec<(String, String)>,
    pub(super) promises: Vec<(String, bool)>,
}

impl Report {
    /// Tells whether every promise held.
    pub fn held(&self) -> bool {
        self.promises.iter().all(|(_, held)| *held)
    }

    pub(super) fn figure(&mut self, name: &str, value: impl fmt::Display) {
        self.figures.push((name.to_owned(), value.to_string()));
    }

    pub(super) fn seconds(&mut self, name: &str, value: Duration) {
        self.figure(name, format!("{:.3} s", value.as_secs_f64()));
    }

    pub(super) fn promise(&mut self, name: &str, held: bool) {
        self.promises.push((name.to_owned(), held));
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "what was seen")?;
        for (name, value) in &self.figures {
            writeln!(f, "  {name:44} {value}")?;
        }
        writeln!(f, "promises")?;
        for (name, held) in &self.promises {
            let verdict = if *held { "held" } else { "BROKEN" };
            writeln!(f, "  {name:44} {verdict}")?;
        }
        Ok(())
    }
}
