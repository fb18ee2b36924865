//! Outcomes and timeouts of an attempt by phase.

use mangowalk_core::{
    attempt::{Attempt, AttemptEnd, Timeouts},
    edge::SendError,
    refusal::Outcome,
    stream::Fault,
};

/// The outcome is "not run" only if the connection was refused or the engine
/// stated it. After a timeout the request may still be in the engine's queue.
#[test]
fn only_refused_attempts_are_reported_as_not_run() {
    let ends = [
        (AttemptEnd::Send(SendError::NotConnected), Outcome::NotRun),
        (
            AttemptEnd::Send(SendError::Refused {
                status: 503,
                rest_ms: 0,
            }),
            Outcome::NotRun,
        ),
        (AttemptEnd::Stream(Fault::NotRun), Outcome::NotRun),
        (AttemptEnd::Send(SendError::TimedOut), Outcome::Unknown),
        (AttemptEnd::Send(SendError::Lost), Outcome::Unknown),
        (AttemptEnd::Send(SendError::Unreadable), Outcome::Unknown),
        (AttemptEnd::Stream(Fault::Failed), Outcome::Unknown),
        (AttemptEnd::CallerGone, Outcome::Unknown),
    ];
    for (end, outcome) in ends {
        let ended = Attempt::plan(1).send(0).end(end);
        assert_eq!(ended.outcome(), outcome, "{end:?}");
        let ended = Attempt::plan(1).send(0).first_token(5).end(end);
        assert_eq!(ended.outcome(), Outcome::Ran, "{end:?}");
    }
}

#[test]
fn the_first_token_and_later_tokens_have_separate_timeouts() {
    let timeouts = Timeouts {
        first_token_ms: 1_000,
        between_tokens_ms: 100,
        ..Timeouts::default()
    };
    let sent = Attempt::plan(1).send(50);
    assert_eq!(sent.wait_ms(&timeouts, 550), 500);
    assert_eq!(sent.wait_ms(&timeouts, 1_050), 0);
    let mut streaming = sent.first_token(700);
    assert_eq!(streaming.wait_ms(&timeouts, 750), 50);
    streaming.token(780);
    assert_eq!(streaming.wait_ms(&timeouts, 800), 80);
    assert_eq!(streaming.first_token_ms(), 650);
}

/// An engine that restarted or loaded other weights refuses requests for its
/// previous incarnation or weights. This must not count as an engine failure.
#[test]
fn a_refusal_for_stale_engine_data_is_not_a_failure() {
    let end = AttemptEnd::Send(SendError::Refused {
        status: 409,
        rest_ms: 0,
    });
    let ended = Attempt::plan(1).send(0).end(end);
    assert!(ended.is_stale() && !ended.is_failure() && !ended.needs_cancel());
}
