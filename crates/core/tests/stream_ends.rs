//! Ends of streams of server-sent events.

use {
    mangowalk_core::stream::{EndFinding, EndWitness, EventScanner, EventSplitter, StreamEnd},
    proptest::prelude::*,
};

fn scanned(bytes: &[u8]) -> EventScanner {
    let mut scanner = EventScanner::default();
    scanner.scan(bytes);
    scanner
}

/// Guards against an end inside an event, or without any, being taken for the end of the
/// stream.
#[test]
fn only_an_end_between_events_is_complete() {
    let streams: [(&str, &[u8]); 14] = [
        ("behind an event", b"id: 0\ndata: a\n\n"),
        ("behind an event, \\r\\n", b"id: 0\r\ndata: a\r\n\r\n"),
        ("behind an event, \\r", b"id: 0\rdata: a\r\r"),
        ("behind a comment", b"data: a\n\n: ping\n"),
        ("inside a field", b"data: a\n\nid: 1\nda"),
        ("behind a field", b"data: a\n\nid: 1\n"),
        ("inside a character", b"data: a\n\ndata: \xc3"),
        ("between \\r and \\n", b"data: a\r\n\r"),
        ("behind a line, \\r\\n", b"data: a\r\n\r\ndata: b\r\n"),
        ("behind a line, \\r", b"data: a\r\rdata: b\r"),
        ("inside a comment", b"data: a\n\n: pi"),
        ("inside the first event", b"da"),
        ("empty", b""),
        ("only a comment", b": ping\n\n"),
    ];
    let lines = streams.map(|(name, bytes)| {
        let scanner = scanned(bytes);
        format!(
            "{name}: {:?}, with the connection {:?}, resumed {:?}",
            StreamEnd::of(&scanner, false, false),
            StreamEnd::of(&scanner, true, false),
            StreamEnd::of(&scanner, true, true),
        )
    });
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against a call that an engine answered before it crashed being the witness of an end
/// that came later, and against each of many ends waiting for a call of its own.
#[test]
fn a_witness_holds_for_ends_before_its_call() {
    let witness = |finding| EndWitness {
        began: 5,
        over: 8,
        finding,
    };
    let (alive, gone) = (EndFinding::SameProcess, EndFinding::Refused);
    let found = |finding, ended| witness(finding).finding_for(ended);
    assert_eq!(
        [3, 4, 6, 9].map(|ended| found(alive, ended)),
        [Some(alive), Some(alive), None, None]
    );
    assert_eq!(
        [3, 6, 7, 9].map(|ended| found(gone, ended)),
        [Some(gone), Some(gone), Some(gone), None]
    );
}

/// Guards against an engine that started again under its ID counting as the one that wrote the
/// answer, and against engines that don't tell their start losing all answers.
#[test]
fn a_report_of_another_start_is_no_witness() {
    let same = EndFinding::SameProcess;
    assert_eq!(EndFinding::of_report(7, Some(7)), same);
    assert_eq!(EndFinding::of_report(7, Some(9)), EndFinding::OtherProcess);
    assert_eq!(EndFinding::of_report(7, Some(5)), EndFinding::OtherProcess);
    assert_eq!(EndFinding::of_report(7, None), same);
    assert_eq!(EndFinding::of_report(0, Some(9)), same);
}

proptest! {
    /// Guards against what a scanner finds depending on the pieces in which a stream
    /// arrives.
    #[test]
    fn pieces_of_any_size_scan_alike(
        bytes in prop::collection::vec(prop::sample::select(b"a:\r\n".to_vec()), 0..40),
        cut in 0_usize..40,
    ) {
        let cut = cut.min(bytes.len());
        let mut scanner = scanned(&bytes[..cut]);
        scanner.scan(&bytes[cut..]);
        prop_assert_eq!(scanner, scanned(&bytes));
    }

    /// Guards against a splitter that loses, repeats or holds back complete events.
    #[test]
    fn forwarded_and_held_bytes_are_the_stream(
        bytes in prop::collection::vec(prop::sample::select(b"a:\r\n".to_vec()), 0..40),
        size in 1_usize..9,
    ) {
        let mut splitter = EventSplitter::default();
        let pieces = bytes.chunks(size).map(|piece| splitter.push(piece));
        let forwarded = pieces.collect::<Vec<_>>().concat();
        prop_assert!(bytes.starts_with(&forwarded));
        let is_whole = forwarded.len() == bytes.len();
        prop_assert_eq!(is_whole, splitter.scanner().is_between_events());
        prop_assert_eq!(splitter.has_partial_event(), !is_whole);
    }
}
