//! Requests explained from lines that a played day left.

use bulrushspan::explain::{LogLine, explain_request};

const LINES: &str = include_str!("explain.log");

fn explained(request: &str) -> String {
    let lines = LINES.lines().enumerate().map(|(at, line)| LogLine::parse("day", at + 1, line));
    let explanation = explain_request(request, lines);
    let bad: Vec<String> = explanation.line_errors.iter().map(ToString::to_string).collect();
    format!("{explanation}\nunreadable: {bad:?}\n")
}

#[test]
fn each_kind_of_failure_is_explained_by_its_id_alone() {
    let requests = [
        ("timed_out", "6bfe41d2cc93ca11"),
        ("broken_off", "b8884670d6cb913e"),
        ("refused", "b6e19fa7dc932449"),
        ("no_route", "86fb3c4c365606e0"),
        ("unheard_of", "0000000000000000"),
    ];
    for (name, request) in requests {
        insta::assert_snapshot!(format!("explained_{name}"), explained(request));
    }
}
