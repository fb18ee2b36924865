//! Assembly of one answer from the events of several attempts.

use {
    mangowalk_core::{
        engine::{GenerateEvent, GeneratePayload, Usage},
        stream::{Fault, Sequencer, Step},
    },
    proptest::prelude::*,
};

const REQUEST: &str = "req-1";
const INCARNATION: u64 = 7;

fn token(attempt: u32, index: u64, text: &str) -> GenerateEvent {
    GenerateEvent {
        request_id: REQUEST.to_owned(),
        attempt,
        payload: GeneratePayload::Token {
            index,
            text: text.to_owned(),
        },
    }
}

fn done(attempt: u32, version: &str, incarnation: u64, tokens: u64) -> GenerateEvent {
    GenerateEvent {
        request_id: REQUEST.to_owned(),
        attempt,
        payload: GeneratePayload::Done {
            finish_reason: "stop".to_owned(),
            version: version.to_owned(),
            incarnation,
            usage: Usage {
                prompt_tokens: 4,
                cached_tokens: 0,
                completion_tokens: tokens,
            },
        },
    }
}

fn started_sequencer() -> Sequencer {
    let mut sequencer = Sequencer::new(REQUEST, "v1");
    sequencer.next_attempt(INCARNATION);
    sequencer
}

/// The engine of an abandoned attempt sends its answer late, between the tokens
/// of the second attempt. From the start of the second attempt on, the caller
/// must receive only its tokens.
#[test]
fn late_events_of_an_abandoned_attempt_are_skipped() {
    let mut sequencer = started_sequencer();
    sequencer.process(&token(1, 0, "a"));
    sequencer.next_attempt(INCARNATION + 1);
    assert_eq!(sequencer.process(&token(1, 1, "late")), Step::Skip);
    assert_eq!(
        sequencer.process(&done(1, "v1", INCARNATION, 1)),
        Step::Skip
    );
    assert_eq!(
        sequencer.process(&token(2, 1, "b")),
        Step::Write("b".to_owned())
    );
}

#[test]
fn a_missing_token_fails_the_attempt() {
    let mut sequencer = started_sequencer();
    assert_eq!(sequencer.process(&token(1, 1, "b")), Step::Fail(Fault::Gap));
}

/// The engine reports completion with more tokens than were received. If the
/// closing marker were written, the caller would take a partial answer for a
/// complete one.
#[test]
fn a_done_event_with_missing_tokens_fails_the_attempt() {
    let mut sequencer = started_sequencer();
    sequencer.process(&token(1, 0, "a"));
    let step = sequencer.process(&done(1, "v1", INCARNATION, 2));
    assert_eq!(step, Step::Fail(Fault::Gap));
}

/// The engine restarted or changed its weights during the request, which only
/// its last event shows. The text is not the answer of the selected weights.
#[test]
fn a_done_event_of_other_weights_fails_the_attempt() {
    for (version, incarnation) in [("v2", INCARNATION), ("v1", INCARNATION + 1)] {
        let mut sequencer = started_sequencer();
        sequencer.process(&token(1, 0, "a"));
        let step = sequencer.process(&done(1, version, incarnation, 1));
        assert_eq!(step, Step::Fail(Fault::OtherWeights));
    }
}

#[test]
fn a_written_token_binds_the_version() {
    let mut sequencer = started_sequencer();
    sequencer.rebind("v2");
    sequencer.process(&token(1, 0, "a"));
    sequencer.rebind("v3");
    assert_eq!(sequencer.bound_version(), Some("v2"));
}

/// Inputs to the sequencer: events of up to three attempts, in any order.
#[derive(Debug, Clone)]
enum Input {
    NextAttempt,
    Token { attempt: u32, index: u64 },
    Foreign { index: u64 },
    Done { attempt: u32, tokens: u64 },
    Failed { attempt: u32 },
}

const LENGTH: u64 = 6;

/// Returns the text of the correct answer at a position.
fn expected_token(index: u64) -> String {
    format!("t{index} ")
}

fn input() -> impl Strategy<Value = Input> {
    prop_oneof![
        1 => Just(Input::NextAttempt),
        8 => (1..4u32, 0..LENGTH).prop_map(|(attempt, index)| Input::Token { attempt, index }),
        2 => (0..LENGTH).prop_map(|index| Input::Foreign { index }),
        2 => (1..4u32, 0..=LENGTH).prop_map(|(attempt, tokens)| Input::Done { attempt, tokens }),
        1 => (1..4u32).prop_map(|attempt| Input::Failed { attempt }),
    ]
}

fn event(input: &Input) -> Option<GenerateEvent> {
    match input {
        Input::NextAttempt => None,
        Input::Token { attempt, index } => Some(token(*attempt, *index, &expected_token(*index))),
        Input::Foreign { index } => Some(GenerateEvent {
            request_id: "req-2".to_owned(),
            ..token(1, *index, "foreign")
        }),
        Input::Done { attempt, tokens } => Some(done(*attempt, "v1", INCARNATION, *tokens)),
        Input::Failed { attempt } => Some(GenerateEvent {
            payload: GeneratePayload::Failed {
                reason: "full".to_owned(),
                not_run: false,
            },
            ..token(*attempt, 0, "")
        }),
    }
}

proptest! {
    /// For any events in any order, the text written is a prefix of the correct
    /// answer, and the answer is reported complete only with as many tokens as
    /// the engine counted.
    #[test]
    fn written_text_is_always_a_prefix_of_the_answer(
        inputs in prop::collection::vec(input(), 0..60),
    ) {
        let mut sequencer = started_sequencer();
        let mut attempt = 1;
        let mut written = String::new();
        for input in &inputs {
            let Some(event) = event(input) else {
                attempt = sequencer.next_attempt(INCARNATION);
                continue;
            };
            match sequencer.process(&event) {
                Step::Write(text) => {
                    prop_assert_eq!(event.attempt, attempt);
                    written.push_str(&text);
                }
                Step::Complete { usage, .. } => {
                    let whole: String = (0..usage.completion_tokens).map(expected_token).collect();
                    prop_assert_eq!(&written, &whole);
                }
                Step::Skip | Step::Fail(_) => {}
            }
            let prefix: String = (0..sequencer.tokens().len() as u64).map(expected_token).collect();
            prop_assert_eq!(&written, &prefix);
        }
    }
}

/// Events arrive in chunks of any size, their data contains arbitrary bytes,
/// and the last event is incomplete. Only complete events may be forwarded, and
/// the last id must be that of the last forwarded event.
#[test]
fn only_complete_events_are_forwarded() {
    use mangowalk_core::stream::EventSplitter;
    let mut text = Vec::new();
    for id in 0..40 {
        text.extend_from_slice(format!("id: {id}\ndata: ").as_bytes());
        text.extend_from_slice(&[0xff, 0xfe, b'a', id]);
        text.extend_from_slice(b"\n\n");
    }
    let whole = text.len();
    text.extend_from_slice(b"id: 40\ndata: ha");
    proptest!(|(sizes in prop::collection::vec(1_usize..60, 1..200))| {
        let mut splitter = EventSplitter::default();
        let (mut forwarded, mut at) = (Vec::new(), 0);
        for size in sizes.into_iter().cycle() {
            if at == text.len() {
                break;
            }
            let end = (at + size).min(text.len());
            forwarded.extend(splitter.push(&text[at..end]));
            at = end;
            if !forwarded.is_empty() {
                let events = forwarded.windows(4).filter(|four| four == b"id: ").count();
                let last = (events - 1).to_string();
                prop_assert_eq!(splitter.last_id(), Some(last.as_str()));
            }
        }
        prop_assert_eq!(&forwarded, &text[..whole]);
        prop_assert!(splitter.has_partial_event());
    });
}
