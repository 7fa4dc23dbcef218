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
