//! Builds the explanation of one request from its log lines.

use std::fmt;

use super::{LineError, LogLine};

/// Represents what happened to one request, and why.
#[derive(Clone, Debug)]
pub struct Explanation {
    /// The request's id.
    pub request: String,
    /// What happened to it, ordered by timestamp.
    pub steps: Vec<Step>,
    /// The cause of the request's outcome, in one sentence.
    pub cause: String,
    /// The lines that could not be parsed.
    pub line_errors: Vec<LineError>,
}

/// Represents one event in the handling of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Step {
    /// When it happened, as the log line says.
    pub timestamp: String,
    /// The process that logged it.
    pub process: String,
    /// What happened, in a sentence.
    pub description: String,
}

/// Explains a request from log lines in any order.
pub fn explain_request(
    request: &str,
    lines: impl IntoIterator<Item = Result<Option<LogLine>, LineError>>,
) -> Explanation {
    let mut line_errors = Vec::new();
    let mut matching_lines = Vec::new();
    for line in lines {
        match line {
            Ok(Some(line)) if line.text("request") == Some(request) => matching_lines.push(line),
            Ok(_) => {}
            Err(error) => line_errors.push(error),
        }
    }
    matching_lines.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    let steps = matching_lines.iter().map(describe).collect();
    Explanation {
        request: request.to_owned(),
        steps,
        cause: find_cause(&matching_lines),
        line_errors,
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}", self.request)?;
        for step in &self.steps {
            writeln!(f, "  {} {}: {}", step.timestamp, step.process, step.description)?;
        }
        write!(f, "cause: {}", self.cause)
    }
}

/// Describes one log line of a request. An unknown message is shown as it is.
fn describe(line: &LogLine) -> Step {
    let field = |name: &str| line.display(name);
    let description = match line.message.as_str() {
        "sent" => format!(
            "attempt {} went to {} of {} on route {} with {} ms left; key {}, configuration {}, \
             list of upstreams {} ms old{}",
            field("attempt"),
            field("upstream"),
            field("service"),
            field("route"),
            field("left_ms"),
            field("key"),
            field("config"),
            field("list_age_ms"),
            passed_over(line),
        ),
        "answered" => format!(
            "answered {} by the {} after {} ms and {} attempts",
            field("status"),
            field("source"),
            field("took_ms"),
            field("attempts"),
        ),
        "refused" => format!(
            "refused without being run: {}; come back after {} ms",
            refusal_reason(line),
            field("retry_after_ms"),
        ),
        "not run" => {
            format!(
                "{} answered {}: not run; load {}",
                field("upstream"),
                field("status"),
                field("load")
            )
        }
        "unreachable" => format!("{} could not be reached: {}", field("upstream"), field("error")),
        "handed over" => format!(
            "handed over to {} with {} ms left, as upstreams could not be reached",
            field("peer"),
            field("left_ms"),
        ),
        "peer refused" => format!("{} did not take it over: {}", field("peer"), field("reason")),
        "peer unreachable" | "peer broke off" => {
            format!("{}: {} ({})", line.message, field("peer"), field("error"))
        }
        "left service" => {
            format!(
                "{} left service or asked for a pause before anything was sent to it",
                field("upstream")
            )
        }
        "broken off" => format!("{} broke off: {}", field("upstream"), field("error")),
        "no route" => format!(
            "configuration {} has no route for {}{}{}",
            field("config"),
            field("host"),
            field("path"),
            config_age(line),
        ),
        "caller left" => format!("the caller left after {} ms", field("took_ms")),
        "ended by the stop" => "ended by the stop of the instance, and it may have run".to_owned(),
        "retry granted" => format!("a retry is granted for {}", field("service")),
        "retry budget spent" => format!("no retry is left for {}", field("service")),
        other => other.to_owned(),
    };
    Step { timestamp: line.timestamp.clone(), process: line.process.clone(), description }
}

/// Returns which upstream was not chosen because of what it said of itself, as a clause.
fn passed_over(line: &LogLine) -> String {
    let Some(upstream) = line.text("passed_over") else { return String::new() };
    let clause = match line.text("obstacle").unwrap_or_default() {
        "leaving" => "said that it leaves",
        "paused" => "wants no requests for a while",
        "resuming" => "gets few requests after its pause",
        other => other,
    };
    format!("; {upstream} was passed over: it {clause}")
}

/// Returns how long ago the configuration was last known to be the newest, as a clause.
fn config_age(line: &LogLine) -> String {
    match line.number("config_age_ms") {
        Some(age_ms) => format!("; it was the newest {age_ms} ms before"),
        None => String::new(),
    }
}

/// Returns why a request was refused, as a clause. An unknown reason is returned as it is.
fn refusal_reason(line: &LogLine) -> &str {
    match line.text("reason").unwrap_or_default() {
        "busy" => "it would have waited too long for a slot at its upstream",
        "no_upstream" => "no upstream was left that may run it",
        "paused" => "each upstream that may run it wants no requests from the instance for a while",
        "unreachable" => "no upstream that was tried could be reached",
        "peer_refused" => "upstreams could not be reached, and a peer refused it",
        "behind" => "the instance had an older configuration than the one that handed it over",
        "shed" => "its upstream was full, and no retry was left",
        "stopping" => "the instance was about to stop",
        "memory" => "no memory was left for it",
        "connections" => "the instance had no room for another connection",
        "requests" => "too many requests were in progress",
        "over_limits" => "the peer that was to take it over allows less",
        "no_configuration" => "the instance had no configuration yet",
        "stale_configuration" => {
            "no route matched, and the instance did not know whether its configuration was the \
             newest"
        }
        "no_service" => "its route has no service with a weight",
        "timeout" => "its time was over before it could be sent",
        other => other,
    }
}

/// Returns the cause of a request's outcome, from its log lines ordered by timestamp.
fn find_cause(lines: &[LogLine]) -> String {
    let last_line = |message: &str| lines.iter().rev().find(|line| line.message == message);
    if let Some(line) = last_line("no route") {
        return format!(
            "no route matched in configuration {}: compare it with the newest one that was \
             acknowledged",
            line.display("config"),
        );
    }
    if let Some(line) = last_line("refused") {
        return format!("it was not run: {}", refusal_reason(line));
    }
    if let Some(line) = last_line("caller left") {
        let upstream = line.display("upstream");
        return format!("the caller left before the answer of {upstream} came");
    }
    let Some(line) = last_line("answered") else {
        return match lines.last() {
            Some(line) => format!("no end is logged; the last that is known: {}", line.message),
            None => "no line names this request".to_owned(),
        };
    };
    let status = line.number("status").unwrap_or_default();
    match (line.text("source"), status) {
        (Some("upstream"), ..400) => "none: it was served".to_owned(),
        (Some("upstream"), _) => format!("{} answered {status} itself", line.display("upstream")),
        (_, 504) if last_line("ended by the stop").is_some() => format!(
            "the instance stopped before the answer of {} came; it may have run",
            line.display("upstream")
        ),
        (_, 504) => format!(
            "no answer of {} came within the route's time; it may have run",
            line.display("upstream")
        ),
        (_, 502) => {
            if let Some(line) = last_line("peer broke off") {
                return format!(
                    "{} broke off after it took it over; it may have run",
                    line.display("peer")
                );
            }
            let error =
                last_line("broken off").map_or("unknown".to_owned(), |line| line.display("error"));
            let budget = last_line("retry budget spent").map_or("", |_| ", and no retry was left");
            format!("{} broke off ({error}){budget}; it may have run", line.display("upstream"))
        }
        _ => format!("the instance answered {status}"),
    }
}
