//! The command `explain`.

use {
    crate::support::{Client, Run, client_of, eventually, fleet},
    mangowalk_standins::FleetSettings,
};

/// Asks the first instance about a request of the team `gallery`.
fn explain(client: &Client, model: &str, more: &[&str]) -> Run {
    let model = format!("--model={model}");
    let base = ["explain", "--team=gallery", &model, "Which glass?"];
    client.run(&[&base[..], more].concat())
}

#[test]
fn a_departing_engine_is_excluded_with_its_reason() {
    let fleet = fleet(1, FleetSettings::default());
    let client = client_of(&fleet);
    eventually(
        || explain(&client, "drafting", &[]),
        |run| run.stdout.starts_with("It would go to engine-"),
    );
    let set = client.run(&["set", "upstream", "engine-0", "departing=true", "--wait"]);
    assert_eq!(set.code, 0, "{set}");
    let run = explain(&client, "drafting", &["--json"]);
    let reply = run.json();
    assert_eq!(reply["engine"], "engine-1", "{run}");
    assert_eq!(reply["candidates"][0]["usable"], false, "{run}");
    let reason = reply["candidates"][0]["reason"].as_str();
    assert!(reason.is_some_and(|r| r.contains("departs")), "{run}");
}

#[test]
fn a_refusal_is_explained_in_words() {
    let fleet = fleet(1, FleetSettings::default());
    let client = client_of(&fleet);
    let run = eventually(|| explain(&client, "sketching", &[]), |run| run.code == 0);
    assert!(
        run.stdout
            .starts_with("It would be refused: Model \"sketching\""),
        "{run}"
    );
    let run = explain(&client, "drafting", &["--max-tokens=4000000"]);
    assert!(run.stdout.starts_with("It would be refused:"), "{run}");
    assert!(run.stdout.contains("burst"), "{run}");
}

/// After a long prompt was answered once, the explanation of the same prompt
/// must choose the engine that has its blocks cached, and give their number.
#[test]
fn the_engine_with_the_cached_prefix_is_chosen() {
    let fleet = fleet(1, FleetSettings::default());
    let client = client_of(&fleet);
    let notes = "A watercolour is mounted with a spacer behind glass. ".repeat(40);
    let ask = [
        "ask",
        "--model=drafting",
        "--max-tokens=2",
        "--patience-ms=20000",
    ];
    let asked = client.run(&[&ask[..], &[&notes]].concat());
    assert_eq!(asked.code, 0, "{asked}");
    let prompt = format!("<|user|>\n{notes}");
    let run = client.run(&[
        "explain",
        "--team=gallery",
        "--model=drafting",
        "--json",
        &prompt,
    ]);
    let reply = run.json();
    let holders: Vec<&str> = reply["candidates"]
        .as_array()
        .expect("candidates")
        .iter()
        .filter(|c| {
            c["reason"]
                .as_str()
                .is_some_and(|r| r.contains("hold 8 of 8 blocks"))
        })
        .filter_map(|c| c["engine"].as_str())
        .collect();
    assert_eq!(holders.len(), 1, "{run}");
    assert_eq!(reply["engine"], holders[0], "{run}");
}

/// The team's rate is exhausted over all instances. The explanation must report
/// the refusal and the missing tokens, as callers are refused with status 429.
#[test]
fn an_exhausted_rate_is_explained() {
    let fleet = fleet(
        1,
        FleetSettings {
            tokens_per_s: 1,
            burst_tokens: 1_000,
            ..FleetSettings::default()
        },
    );
    let client = client_of(&fleet);
    let run = eventually(
        || {
            fleet.chat(0, "Which glass?", 500, false);
            explain(&client, "drafting", &["--max-tokens=500"])
        },
        |run| run.stdout.contains("tokens too few"),
    );
    assert!(
        run.stdout
            .starts_with("It would be refused: The team's rate"),
        "{run}"
    );
    assert_eq!(fleet.chat(0, "Which glass?", 500, false).status, 429);
}

/// An explanation that took tokens from the team's bucket would make the next
/// explanation, and the team's requests, lack them for seconds.
#[test]
fn an_explanation_consumes_no_tokens() {
    let fleet = fleet(
        1,
        FleetSettings {
            tokens_per_s: 500,
            burst_tokens: 2_000,
            ..FleetSettings::default()
        },
    );
    let client = client_of(&fleet);
    let request_explanation = || explain(&client, "drafting", &["--max-tokens=1900"]);
    let has_tokens = |run: &Run| run.stdout.contains("has the tokens at hand");
    eventually(request_explanation, has_tokens);
    for _ in 0..5 {
        let run = request_explanation();
        assert!(has_tokens(&run), "{run}");
    }
}
