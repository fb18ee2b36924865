//! Placement of requests, observed by what callers receive.

use {
    mangowalk_core::record::digest_of,
    mangowalk_standins::{Answer, EngineFaults, EngineStandIn, Fleet, FleetSettings},
    serde_json::json,
    std::{thread, time::Duration},
};

/// Rate of each team. It is so high that no request here is limited, not even
/// right after the start, when the buckets have refilled only briefly.
const TOKENS_PER_S: u64 = 20_000_000;

const COOPER_KEY: &str = "mw-test-key-cooper";

/// Time after which a router has read a changed engine state, with a margin.
const ENGINE_STATE_WAIT: Duration = Duration::from_millis(1_500);

fn fleet(settings: FleetSettings) -> Fleet {
    let fleet = Fleet::start(&FleetSettings {
        program: env!("CARGO_BIN_EXE_mangowalkd").to_owned(),
        tokens_per_s: TOKENS_PER_S,
        burst_tokens: TOKENS_PER_S,
        ..settings
    });
    fleet.platform.put("team", "cooper", json!({ "schema": 1 }));
    let rate = json!({ "schema": 1, "tokens_per_s": TOKENS_PER_S, "burst_tokens": TOKENS_PER_S });
    fleet.platform.put("rate", "cooper", rate);
    let key = json!({ "schema": 1, "team": "cooper", "digest": digest_of(COOPER_KEY) });
    fleet.platform.put("key", "cooper-1", key);
    for router in 0..fleet.routers.len() {
        until_served(&fleet, router);
    }
    fleet
}

/// Waits until requests of both teams are served. The buckets of a new fleet
/// are refilled only shortly after it is ready.
fn until_served(fleet: &Fleet, router: usize) {
    for _ in 0..100 {
        let both =
            [Fleet::KEY, COOPER_KEY].map(|key| send_chat(fleet, router, key, "warm up").status);
        if both == [200, 200] {
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
    panic!("no request was served");
}

fn send_chat(fleet: &Fleet, router: usize, key: &str, prompt: &str) -> Answer {
    let body = json!({
        "model": "drafting",
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": 4,
    });
    Answer::post(
        fleet.routers[router].address(),
        "/v1/chat/completions",
        &[("Authorization", &format!("Bearer {key}"))],
        &body.to_string(),
    )
}

fn cached_tokens(answer: &Answer) -> u64 {
    let usage = &answer.json()["usage"]["prompt_tokens_details"]["cached_tokens"];
    usage.as_u64().unwrap_or_else(|| panic!("{}", answer.body))
}

/// Returns a prompt of a handbook of a hundred blocks, followed by a question.
fn prompt(handbook: &str, question: &str) -> String {
    format!("{}{question}", format!("{handbook:.<64}").repeat(400))
}

/// Returns how many prompts that contain a text each engine started.
fn count_started(engines: &[EngineStandIn], text: &str) -> Vec<u64> {
    let count = |engine: &EngineStandIn| {
        let prompts = engine.prompts();
        prompts
            .iter()
            .filter(|(p, _)| p.contains(text))
            .map(|(_, times)| times)
            .sum()
    };
    engines.iter().map(count).collect()
}

/// Two callers ask about the same handbook. The usage of the second answer
/// counts the handbook as cached, and so does a third one through another
/// instance: both instances compute the same preferred engine for the prefix.
#[test]
fn a_shared_prefix_is_cached_for_requests_through_every_instance() {
    let fleet = fleet(FleetSettings {
        routers: 2,
        engines: 5,
        ..FleetSettings::default()
    });
    let handbook = |question: &str| prompt("enrolment", question);
    assert_eq!(
        cached_tokens(&send_chat(&fleet, 0, Fleet::KEY, &handbook("fees?"))),
        0
    );
    for (router, question) in [(0, "dates?"), (1, "rooms?"), (0, "exams?"), (1, "kit?")] {
        let answer = send_chat(&fleet, router, Fleet::KEY, &handbook(question));
        assert!(cached_tokens(&answer) >= 6_300, "{}", answer.body);
    }
}

/// Two teams send the same prompt. The second answer must not count anything as
/// cached, whichever engine runs it: the team is part of every block's key, so
/// that one team can't learn from timing what another has asked.
#[test]
fn a_prompt_of_another_team_is_never_a_cache_hit() {
    let fleet = fleet(FleetSettings::default());
    let same = prompt("conservation notes", "which glass?");
    for key in [Fleet::KEY, COOPER_KEY] {
        assert_eq!(cached_tokens(&send_chat(&fleet, 0, key, &same)), 0);
        assert!(cached_tokens(&send_chat(&fleet, 0, key, &same)) > 0);
    }
}

/// Every engine restarts on its old address with an empty cache. The next
/// request must get a complete answer with nothing counted as cached. The one
/// after it must find the prefix cached at the engine that served its
/// predecessor.
#[test]
fn a_restarted_engine_is_known_to_have_an_empty_cache() {
    let fleet = fleet(FleetSettings {
        engines: 3,
        ..FleetSettings::default()
    });
    let handbook = |question: &str| prompt("history", question);
    send_chat(&fleet, 0, Fleet::KEY, &handbook("first"));
    assert!(cached_tokens(&send_chat(&fleet, 0, Fleet::KEY, &handbook("second"))) > 0);
    for engine in &fleet.engines {
        engine.crash();
        engine.restart();
    }
    thread::sleep(ENGINE_STATE_WAIT);
    let after = send_chat(&fleet, 0, Fleet::KEY, &handbook("third"));
    assert_eq!((after.status, cached_tokens(&after)), (200, 0));
    assert!(cached_tokens(&send_chat(&fleet, 0, Fleet::KEY, &handbook("fourth"))) > 0);
}

/// One engine becomes forty times slower but still responds. Later requests
/// must be placed on the others: an engine whose first tokens are slow gets
/// fewer requests although none of its requests fails.
#[test]
fn a_slow_engine_gets_fewer_requests() {
    let fleet = fleet(FleetSettings {
        engines: 3,
        ..FleetSettings::default()
    });
    fleet.engines[0].set_faults(EngineFaults {
        slow_factor: 40,
        ..EngineFaults::default()
    });
    let send = |text: &str, count: usize| {
        for i in 0..count {
            let answer = send_chat(&fleet, 0, Fleet::KEY, &format!("{text} {i}"));
            assert_eq!(answer.status, 200, "{}", answer.body);
        }
    };
    send("learning", 12);
    send("judged", 30);
    let later_requests = count_started(&fleet.engines, "judged");
    assert!(later_requests[0] <= 4, "{later_requests:?}");
}

/// An operator marks an engine as departing while callers ask about a prefix
/// that it has cached. After a few seconds it must get no new requests, however
/// much of the prompt is in its cache.
#[test]
fn a_departing_engine_gets_no_new_requests() {
    let fleet = fleet(FleetSettings::default());
    let handbook = |question: &str| prompt("placement", question);
    let answer = send_chat(&fleet, 0, Fleet::KEY, &handbook("before"));
    assert_eq!(answer.status, 200, "{}", answer.body);
    let before = count_started(&fleet.engines, "before");
    let holder = before
        .iter()
        .position(|n| *n > 0)
        .expect("an engine ran the request");
    let upstream = json!({
        "schema": 1,
        "address": fleet.engines[holder].address(),
        "failure_domain": "a",
        "role": { "engine": { "model": "drafting", "checks_fencing": true } },
        "departing": true,
    });
    fleet
        .platform
        .put("upstream", &format!("engine-{holder}"), upstream);
    thread::sleep(ENGINE_STATE_WAIT);
    for i in 0..6 {
        let answer = send_chat(&fleet, 0, Fleet::KEY, &handbook(&format!("after {i}")));
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    assert_eq!(count_started(&fleet.engines, "after")[holder], 0);
}
