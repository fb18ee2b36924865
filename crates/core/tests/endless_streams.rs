//! Streams whose bytes never are an event.

use {
    mangowalk_core::stream::{EventBounds, EventScanner, EventSplitter, Excess},
    proptest::prelude::*,
};

const BOUNDS: EventBounds = EventBounds {
    max_event_bytes: 40,
    max_event_ms: 1_000,
    max_comment_bytes: 30,
    max_comment_lines: 5,
};

fn excess(bytes: &[u8], unfinished_since_ms: Option<u64>, now_ms: u64) -> Option<Excess> {
    let mut scanner = EventScanner::default();
    scanner.scan(bytes);
    BOUNDS.excess(&scanner, unfinished_since_ms, now_ms)
}

/// Guards against bounds that miss a kind of bytes without an event, or that count the bytes of
/// complete events.
#[test]
fn bytes_without_an_event_are_bounded() {
    let event = b"data: 0123456789\n\n";
    let streams: [(&str, Vec<u8>); 11] = [
        ("line", b"x".repeat(41)),
        ("line at the bound", b"x".repeat(40)),
        ("lines of an event", b"data: x\n".repeat(6)),
        (
            "comment without an end",
            [b":".as_slice(), &b"x".repeat(30)].concat(),
        ),
        ("comment lines", b":\n".repeat(6)),
        ("comment lines at the bound", b":\n".repeat(5)),
        ("empty lines", b"\n".repeat(6)),
        ("empty lines, \\r\\n", b"\r\n".repeat(7)),
        ("events", event.repeat(20)),
        (
            "events and comments",
            [&event[..], b":\n:\n"].concat().repeat(20),
        ),
        (
            "comments behind events",
            [&event[..], &b":\n".repeat(6)].concat(),
        ),
    ];
    let lines = streams.map(|(name, bytes)| {
        let reason = excess(&bytes, None, 0).map_or("none", Excess::reason);
        format!("{name}: {reason}")
    });
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against an event that grows by a byte now and then until the deadline.
#[test]
fn an_event_has_to_end_in_time() {
    assert_eq!(excess(b"data: x", Some(5_000), 6_000), None);
    assert_eq!(excess(b"data: x", Some(5_000), 6_001), Some(Excess::Event));
    assert_eq!(excess(b"data: x\n\n", Some(5_000), 9_000), None);
}

/// Guards against keeping a connection open with comments counting as an endless answer.
#[test]
fn comments_that_keep_a_connection_open_are_in_bounds() {
    let mut scanner = EventScanner::default();
    for second in 0..90 {
        scanner.scan(b": waiting\n");
        let bounds = EventBounds::default();
        assert_eq!(bounds.excess(&scanner, None, second * 1_000), None);
    }
}

/// Pieces of streams, of bytes that often begin and end lines, comments and events.
fn pieces() -> impl Strategy<Value = Vec<Vec<u8>>> {
    let piece = prop::collection::vec(prop::sample::select(b"ad:: \r\n\n".to_vec()), 0..24);
    prop::collection::vec(piece, 0..40)
}

proptest! {
    /// Guards against a splitter that holds more than the bound and one piece, or that goes on
    /// without an event for longer than the bounds.
    #[test]
    fn a_splitter_holds_no_more_than_the_bounds(pieces in pieces()) {
        let mut splitter = EventSplitter::default();
        let mut received = 0;
        let mut forwarded = 0;
        for piece in &pieces {
            received += piece.len();
            forwarded += splitter.push(piece).len();
            prop_assert_eq!(received, forwarded + splitter.partial_bytes());
            if splitter.excess(&BOUNDS, None, 0).is_some() {
                return Ok(());
            }
            let max = BOUNDS.max_event_bytes + BOUNDS.max_comment_bytes;
            prop_assert!(splitter.partial_bytes() <= max);
        }
    }

    /// Guards against an excess that depends on the pieces in which a stream arrives.
    #[test]
    fn an_excess_doesnt_depend_on_pieces(pieces in pieces()) {
        let mut scanner = EventScanner::default();
        for piece in &pieces {
            scanner.scan(piece);
        }
        let whole = excess(&pieces.concat(), None, 0);
        prop_assert_eq!(BOUNDS.excess(&scanner, None, 0), whole);
    }

    /// Guards against a stream of events within the bounds being cut off.
    #[test]
    fn events_within_the_bounds_pass_unchanged(
        events in prop::collection::vec(("[a-z]{0,30}", 0_usize..5), 0..30),
        size in 1_usize..50,
    ) {
        let stream: String = events
            .iter()
            .map(|(data, comments)| format!("data:{data}\n\n{}", ":\n".repeat(*comments)))
            .collect();
        let mut splitter = EventSplitter::default();
        let mut forwarded = Vec::new();
        for piece in stream.as_bytes().chunks(size) {
            forwarded.extend(splitter.push(piece));
            prop_assert_eq!(splitter.excess(&BOUNDS, None, 0), None);
        }
        prop_assert_eq!(String::from_utf8_lossy(&forwarded), stream);
    }
}
