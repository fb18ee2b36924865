//! Parsing of outside input: records, engine events and platform replies.
//! Invalid input must neither panic nor be accepted.

use {
    mangowalk_core::{
        config::{EntryState, Store, View},
        engine::{CacheEvents, GenerateEvent},
        platform::{ListReply, WatchReply},
        record::{Kind, RecordError, parse},
        stream::{Sequencer, Step},
    },
    proptest::prelude::*,
    serde_json::{Value, json},
};

/// Generates JSON values a few levels deep.
fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(|f| json!(f)),
        ".{0,12}".prop_map(Value::from),
    ];
    leaf.prop_recursive(3, 24, 6, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..6).prop_map(Value::from),
            prop::collection::btree_map(any_field(), inner, 0..6)
                .prop_map(|map| Value::Object(map.into_iter().collect())),
        ]
    })
}

/// Generates field names that the decoders know, and others.
fn any_field() -> impl Strategy<Value = String> {
    let known = [
        "schema",
        "priority",
        "team",
        "digest",
        "tokens_per_s",
        "burst_tokens",
        "version",
        "concurrent_loads",
        "address",
        "failure_domain",
        "role",
        "engine",
        "service",
        "type",
        "request_id",
        "attempt",
        "index",
        "text",
        "usage",
    ];
    prop_oneof![
        prop::sample::select(known.to_vec()).prop_map(str::to_owned),
        "[a-z_]{1,10}",
    ]
}

fn any_kind() -> impl Strategy<Value = Kind> {
    prop::sample::select(Kind::WRITTEN_BY_OPERATORS.to_vec())
}

proptest! {
    /// Parsing any JSON value returns a record or an error whose message says
    /// how to correct it.
    #[test]
    fn any_json_record_is_parsed_or_refused_with_a_remedy(kind in any_kind(), body in any_json()) {
        if let Err(error) = parse(kind, &body) {
            let message = error.to_string();
            prop_assert!(message.contains(';'), "no remedy in {message:?}");
        }
    }

    /// A refused record must leave all other records in force. Otherwise one bad
    /// write could remove a team.
    #[test]
    fn a_refused_record_leaves_other_records_in_force(kind in any_kind(), text in ".{0,64}") {
        let mut store = Store::default();
        let team = json!({ "schema": 1 }).to_string();
        store.merge("team", "good", 1, Some(&team));
        store.merge(&kind.to_string(), "bad", 2, Some(&text));
        prop_assert!(View::of(&store).teams.contains_key("good"));
        if let Some(entry) = store.entry(kind, "bad") {
            let refused = matches!(entry.state, EntryState::Refused { .. });
            prop_assert_eq!(refused, entry.state.record().is_none());
        }
    }

    /// Any text or JSON value in place of an engine's event is parsed or
    /// refused without a panic.
    #[test]
    fn any_engine_event_is_parsed_or_refused_without_panic(text in ".{0,200}", body in any_json()) {
        let _ = serde_json::from_str::<GenerateEvent>(&text);
        let _ = serde_json::from_value::<CacheEvents>(body.clone());
        if let Ok(event) = serde_json::from_value::<GenerateEvent>(body) {
            let mut sequencer = Sequencer::new("r", "v1");
            sequencer.next_attempt(0);
            let _ = sequencer.process(&event);
        }
    }

    /// Any JSON value in place of a platform reply is parsed or refused without
    /// a panic, and the store stays usable after merging what was parsed.
    #[test]
    fn any_platform_reply_is_parsed_or_refused_without_panic(body in any_json()) {
        let mut store = Store::default();
        if let Ok(list) = serde_json::from_value::<ListReply>(body.clone()) {
            store.merge_list(&list);
        }
        if let Ok(watch) = serde_json::from_value::<WatchReply>(body) {
            for change in &watch.changes {
                store.merge_change(change);
            }
        }
        let _ = View::of(&store);
    }

    /// Events of another request or attempt must write nothing.
    #[test]
    fn events_of_other_requests_are_skipped(
        id in "[a-z]{1,4}",
        attempt in 0u32..4,
        index in 0u64..4,
    ) {
        let event = json!({
            "request_id": id, "attempt": attempt,
            "type": "token", "index": index, "text": "x",
        });
        let event: GenerateEvent = serde_json::from_value(event).expect("an event");
        let mut sequencer = Sequencer::new("mine", "v1");
        sequencer.next_attempt(0);
        prop_assert_eq!(sequencer.process(&event), Step::Skip);
    }
}

#[test]
fn a_record_of_a_newer_schema_is_refused() {
    let error = parse(Kind::Team, &json!({ "schema": 99 })).expect_err("newer");
    assert_eq!(error, RecordError::NewerSchema { schema: 99 });
}
