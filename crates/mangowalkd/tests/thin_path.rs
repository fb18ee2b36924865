//! Single requests from caller to engine and back, through real processes.

use mangowalk_standins::{Answer, Fleet, FleetSettings};

fn fleet(settings: FleetSettings) -> Fleet {
    Fleet::start(&FleetSettings {
        program: env!("CARGO_BIN_EXE_mangowalkd").to_owned(),
        ..settings
    })
}

/// Sends requests until one is served: the buckets of a new fleet are refilled
/// only shortly after it is ready.
fn chat_until_served(fleet: &Fleet, prompt: &str, stream: bool) -> Answer {
    let mut answer = Answer::default();
    for _ in 0..100 {
        answer = fleet.chat(0, prompt, 20, stream);
        if answer.status == 200 {
            return answer;
        }
        std::thread::sleep(std::time::Duration::from_millis(100));
    }
    answer
}

#[test]
fn a_streamed_answer_is_complete() {
    let fleet = fleet(FleetSettings::default());
    let answer = chat_until_served(&fleet, "Which moulding suits a watercolour?", true);
    let expected = Fleet::expected("Which moulding suits a watercolour?", 20);
    assert_eq!(answer.streamed_text(), expected, "{}", answer.body);
    assert!(answer.is_done() && answer.ended);
}

#[test]
fn a_buffered_answer_is_complete_and_counted() {
    let fleet = fleet(FleetSettings::default());
    let answer = chat_until_served(&fleet, "Is walnut in stock?", false);
    assert_eq!(answer.text(), Fleet::expected("Is walnut in stock?", 20));
    assert_eq!(answer.json()["usage"]["completion_tokens"], 20);
}

/// The engine crashes after the seventh token. The caller gets one stream
/// without a missing or repeated token: the router resumes it on the other
/// engine, after the tokens that the caller already has.
#[test]
fn a_stream_survives_an_engine_crash() {
    let fleet = fleet(FleetSettings::default());
    chat_until_served(&fleet, "warm", false);
    for engine in &fleet.engines {
        engine.set_faults(mangowalk_standins::EngineFaults {
            crash_on: Some("no such text".to_owned()),
            ..Default::default()
        });
    }
    fleet.engines[0].set_faults(mangowalk_standins::EngineFaults {
        crash_after_tokens: Some(7),
        ..Default::default()
    });
    let answers: Vec<Answer> = (0..4)
        .map(|i| fleet.chat(0, &format!("order {i}"), 20, true))
        .collect();
    for (i, answer) in answers.iter().enumerate() {
        let expected = Fleet::expected(&format!("order {i}"), 20);
        assert_eq!(answer.streamed_text(), expected, "{}", answer.body);
        assert!(answer.is_done());
    }
    assert_eq!(fleet.engines[0].crashes(), 1);
}

#[test]
fn a_wrong_key_is_refused() {
    let fleet = fleet(FleetSettings::default());
    let answer = Answer::post(
        fleet.routers[0].address(),
        "/v1/chat/completions",
        &[("Authorization", "Bearer nonsense")],
        "{}",
    );
    assert_eq!(answer.status, 401);
    assert_eq!(answer.json()["error"]["code"], "invalid_api_key");
}
