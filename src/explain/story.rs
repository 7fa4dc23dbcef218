//! Tells what became of one request, and why.

use std::fmt;

use super::{BadLine, Line};

/// Tells what became of one request, and why.
#[derive(Clone, Debug)]
pub struct Story {
    /// The request's id.
    pub request: String,
    /// What happened to it, in order.
    pub steps: Vec<Step>,
    /// Why it ended as it did, in one sentence.
    pub cause: String,
    /// The lines that could not be read.
    pub bad_lines: Vec<BadLine>,
}

/// Holds one thing that happened to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Step {
    /// When.
    pub timestamp: String,
    /// At which process.
    pub process: String,
    /// What, in words.
    pub what: String,
}

/// Tells the story of a request from log lines in any order.
pub fn tell(
    request: &str,
    lines: impl IntoIterator<Item = Result<Option<Line>, BadLine>>,
) -> Story {
    let mut bad_lines = Vec::new();
    let mut held = Vec::new();
    for line in lines {
        match line {
            Ok(Some(line)) if line.text("request") == Some(request) => held.push(line),
            Ok(_) => {}
            Err(bad) => bad_lines.push(bad),
        }
    }
    held.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    let steps = held.iter().map(step).collect();
    Story { request: request.to_owned(), steps, cause: cause(&held), bad_lines }
}

impl fmt::Display for Story {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}", self.request)?;
        for step in &self.steps {
            writeln!(f, "  {} {}: {}", step.timestamp, step.process, step.what)?;
        }
        write!(f, "cause: {}", self.cause)
    }
}

fn step(line: &Line) -> Step {
    let show = |name: &str| line.show(name);
    let what = match line.message.as_str() {
        "sent" => format!(
            "attempt {} went to {} of {} on route {} with {} ms left; key {}, configuration {}, \
             list of upstreams {} ms old",
            show("attempt"),
            show("upstream"),
            show("service"),
            show("route"),
            show("left_ms"),
            show("key"),
            show("config"),
            show("list_age_ms"),
        ),
        "answered" => format!(
            "answered {} by the {} after {} ms and {} attempts",
            show("status"),
            show("source"),
            show("took_ms"),
            show("attempts"),
        ),
        "refused" => format!(
            "refused without being run: {}; come back after {} ms",
            reason(line),
            show("retry_after_ms"),
        ),
        "not run" => {
            format!(
                "{} answered {}: not run; load {}",
                show("upstream"),
                show("status"),
                show("load")
            )
        }
        "unreachable" => format!("{} could not be reached: {}", show("upstream"), show("error")),
        "broken off" => format!("{} broke off: {}", show("upstream"), show("error")),
        "no route" => format!(
            "configuration {} has no route for {}{}",
            show("config"),
            show("host"),
            show("path"),
        ),
        "caller left" => format!("the caller left after {} ms", show("took_ms")),
        "retry budget spent" => format!("no retry is left for {}", show("service")),
        other => other.to_owned(),
    };
    Step { timestamp: line.timestamp.clone(), process: line.process.clone(), what }
}

/// Returns why a request was refused, in words.
fn reason(line: &Line) -> &str {
    match line.text("reason").unwrap_or_default() {
        "busy" => "it would have waited too long for a slot at its upstream",
        "no_upstream" => "no upstream was left that may run it",
        "unreachable" => "no upstream that was tried could be reached",
        "shed" => "its upstream was full, and no retry was left",
        "stopping" => "the instance was about to stop",
        "no_configuration" => "the instance had no configuration yet",
        "no_service" => "its route has no service with a weight",
        "timeout" => "its time was over before it could be sent",
        other => other,
    }
}

/// Returns why a request ended as it did, from its lines in order.
fn cause(lines: &[Line]) -> String {
    let last = |message: &str| lines.iter().rev().find(|line| line.message == message);
    if let Some(line) = last("no route") {
        return format!(
            "no route matched in configuration {}: compare it with the newest one that was \
             acknowledged",
            line.show("config"),
        );
    }
    if let Some(line) = last("refused") {
        return format!("it was not run: {}", reason(line));
    }
    if let Some(line) = last("caller left") {
        let at = line.show("upstream");
        return format!("the caller left before the answer of {at} came");
    }
    let Some(line) = last("answered") else {
        return match lines.last() {
            Some(line) => format!("no end is logged; the last that is known: {}", line.message),
            None => "no line names this request".to_owned(),
        };
    };
    let status = line.number("status").unwrap_or_default();
    match (line.text("source"), status) {
        (Some("upstream"), ..400) => "none: it was served".to_owned(),
        (Some("upstream"), _) => format!("{} answered {status} itself", line.show("upstream")),
        (_, 504) => format!(
            "no answer of {} came within the route's time; it may have run",
            line.show("upstream")
        ),
        (_, 502) => {
            let error = last("broken off").map_or("unknown".to_owned(), |line| line.show("error"));
            let budget = last("retry budget spent").map_or("", |_| ", and no retry was left");
            format!("{} broke off ({error}){budget}; it may have run", line.show("upstream"))
        }
        _ => format!("the instance answered {status}"),
    }
}
