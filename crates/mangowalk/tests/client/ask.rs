//! The command `ask`.

use {
    crate::support::{client_of, fleet},
    mangowalk_standins::{Fleet, FleetSettings},
};

const ASK: [&str; 4] = [
    "ask",
    "--model=drafting",
    "--max-tokens=20",
    "--patience-ms=20000",
];

#[test]
fn an_answer_is_printed_in_full() {
    let fleet = fleet(1, FleetSettings::default());
    let run = client_of(&fleet).run(&[&ASK[..], &["Is walnut in stock?"]].concat());
    assert_eq!(run.code, 0, "{run}");
    assert_eq!(
        run.stdout.trim_end(),
        Fleet::expected("Is walnut in stock?", 20).trim_end()
    );
    assert!(run.stderr.contains("20 tokens answered"), "{run}");
}

/// The JSON output has the text and the token counts. A second question after
/// the same long text must be counted as partly cached.
#[test]
fn a_shared_prefix_is_counted_as_cached() {
    let fleet = fleet(1, FleetSettings::default());
    let client = client_of(&fleet);
    let notes = "A watercolour is mounted with a spacer behind glass. ".repeat(40);
    let ask = |question| {
        let run = client.run(&[&ASK[..], &["--json", "--system", &notes, question]].concat());
        assert_eq!(run.code, 0, "{run}");
        run.json()
    };
    assert_eq!(ask("Which moulding?")["cached_tokens"], 0);
    let second = ask("Which glass?");
    assert!(second["cached_tokens"].as_u64() > Some(0), "{second}");
    assert_eq!(second["complete"], true);
}

#[test]
fn a_refusal_has_its_own_exit_code() {
    let fleet = fleet(1, FleetSettings::default());
    let wrong = client_of(&fleet).with("MANGOWALK_KEY", "mw-nonsense");
    let run = wrong.run(&[&ASK[..], &["Who am I?"]].concat());
    assert_eq!((run.code, run.stdout.as_str()), (7, ""), "{run}");
    assert!(
        run.stderr.contains("401") && !run.stderr.contains("nonsense"),
        "{run}"
    );
    let gone = client_of(&fleet).with("MANGOWALK_URL", "http://127.0.0.1:1");
    let run = gone.run(&["ask", "--model=drafting", "Anyone?"]);
    assert_eq!(run.code, 7, "{run}");
}
