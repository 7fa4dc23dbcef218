//! Tests that requests are explained from the log lines of a recorded run.

use bulrushspan::explain::{LogLine, explain_request};

/// Log lines of several processes. The last line is truncated.
const LOG: &str = include_str!("explain.log");

fn explain(request: &str) -> String {
    let lines = LOG.lines().enumerate().map(|(index, line)| LogLine::parse("day", index + 1, line));
    let explanation = explain_request(request, lines);
    let unreadable: Vec<String> = explanation.line_errors.iter().map(ToString::to_string).collect();
    format!("{explanation}\nunreadable: {unreadable:?}\n")
}

#[test]
fn each_kind_of_failure_is_explained_from_its_request_id() {
    let requests = [
        ("timed_out", "6bfe41d2cc93ca11"),
        ("broken_off", "b8884670d6cb913e"),
        ("refused", "b6e19fa7dc932449"),
        ("no_route", "86fb3c4c365606e0"),
        ("unheard_of", "0000000000000000"),
    ];
    for (name, request) in requests {
        insta::assert_snapshot!(format!("explained_{name}"), explain(request));
    }
}

/// A route that is missing in a configuration that may be old has to be told from one that is
/// missing in the newest.
#[test]
fn the_age_of_the_configuration_is_named_where_a_route_is_missing() {
    let lines = [
        r#"{"message": "no route", "request": "r1", "config": 7, "config_age_ms": 130}"#,
        r#"{"message": "refused", "request": "r2", "reason": "stale_configuration",
            "retry_after_ms": 20}"#,
    ];
    let explain = |request| {
        let lines = lines.iter().enumerate().map(|(index, line)| {
            let fields = format!(r#"{{"timestamp": "{index}", "#);
            LogLine::parse("e1", index + 1, &line.replacen('{', &fields, 1))
        });
        explain_request(request, lines).to_string()
    };
    insta::assert_snapshot!("explained_missing_route", [explain("r1"), explain("r2")].join("\n"));
}

/// What an upstream says of itself has to be named as the reason of a choice or a refusal.
#[test]
fn upstreams_that_leave_or_pause_are_named_as_the_reason() {
    let lines = [
        r#"{"message": "sent", "upstream": "i-2", "attempt": 1, "passed_over": "i-1",
            "obstacle": "leaving"}"#,
        r#"{"message": "refused", "reason": "paused", "retry_after_ms": 1500}"#,
    ];
    let lines = lines.iter().enumerate().map(|(index, line)| {
        let fields = format!(r#"{{"request": "r1", "timestamp": "{index}", "#);
        LogLine::parse("e1", index + 1, &line.replacen('{', &fields, 1))
    });
    insta::assert_snapshot!("explained_paused", explain_request("r1", lines));
}

/// A response that the stop of the instance replaced must not pass for a timeout.
#[test]
fn the_stop_of_the_instance_is_named_as_the_cause() {
    let lines = [
        r#"{"message": "sent", "upstream": "i-1", "attempt": 1}"#,
        r#"{"message": "ended by the stop"}"#,
        r#"{"message": "answered", "status": 504, "source": "instance", "upstream": "i-1"}"#,
    ];
    let lines = lines.iter().enumerate().map(|(index, line)| {
        let fields = format!(r#"{{"request": "r1", "timestamp": "{index}", "#);
        LogLine::parse("e1", index + 1, &line.replacen('{', &fields, 1))
    });
    let cause = explain_request("r1", lines).cause;
    insta::assert_snapshot!(
        cause,
        @"the instance stopped before the answer of i-1 came; it may have run"
    );
}
