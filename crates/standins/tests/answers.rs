//! Answers as the tests' own caller receives them.

use mangowalk_standins::{Answer, outcomes_of_cuts};

/// Guards against the tests' own caller reporting a body that breaks off as received completely.
#[test]
fn a_body_that_breaks_off_has_not_ended() {
    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbook";
    let outcomes = outcomes_of_cuts(answer, |address, _| {
        let answer = Answer::get(address, "/", &[]);
        format!("{} {}", answer.status, answer.ended)
    });
    let closed: Vec<&str> = outcomes
        .lines()
        .filter(|line| line.starts_with("closed"))
        .collect();
    assert_eq!(
        closed,
        [
            "closed after 0..=37: 0 false",
            "closed after 38..=41: 200 false",
            "closed after 42..=42: 200 true",
        ]
    );
    let is_reset_complete = |line: &str| line.starts_with("reset") && line.ends_with("true");
    assert!(!outcomes.lines().any(is_reset_complete), "{outcomes}");
}
