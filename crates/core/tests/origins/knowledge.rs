//! What records and the engine list say of a stream.

use {
    super::build,
    mangowalk_core::{
        origin::{
            ListedBuilds, Origin, OriginAnswer, OriginRecords, OriginSettings, ServiceBuilds,
            StreamKey, Verdict,
        },
        pool::{EngineEntry, EngineTable, Incarnation},
    },
};

const MAX_LIST_AGE_MS: u64 = 5_700;

fn entry(id: &str, software: &str) -> EngineEntry {
    EngineEntry {
        incarnation: Incarnation {
            id: id.to_owned(),
            born_ms: 1,
        },
        revision: 1,
        service: "llm".to_owned(),
        software: software.to_owned(),
        address: "127.0.0.1:1".parse().expect("it is an address"),
        domain: "a".to_owned(),
        slots: 8,
        draining: false,
        models: Vec::new(),
        cold_left_ms: 0,
    }
}

fn table(engines: &[(&str, &str)]) -> EngineTable {
    let mut table = EngineTable::default();
    for (id, software) in engines {
        table.apply_entry(entry(id, software));
    }
    table
}

/// Follows the list of an instance that starts at 1 s, with one change of it after each
/// second.
fn follow(mut builds: ListedBuilds, is_whole: bool, lists: &[&[(&str, &str)]]) -> ListedBuilds {
    let settings = OriginSettings::default();
    builds.begin_reading(is_whole, &settings, 1_000);
    for (number, engines) in lists.iter().enumerate() {
        let now_ms = 1_000 * (number as u64 + 1);
        builds.record(&table(engines), &settings, now_ms);
    }
    builds
}

fn builds_at(builds: &ListedBuilds, now_ms: u64) -> ServiceBuilds {
    builds.of_service("llm", &OriginSettings::default(), MAX_LIST_AGE_MS, now_ms)
}

/// Guards against taking a service for one with a single version though an engine with
/// another one has served, or may have served unseen.
#[test]
fn a_service_has_a_single_build_only_if_no_other_one_was_seen_for_long_enough() {
    let settings = OriginSettings::default();
    let one: &[(&str, &str)] = &[("e1", "v1"), ("e2", "v1")];
    let two: &[(&str, &str)] = &[("e1", "v1"), ("e2", "v2")];
    let unnamed: &[(&str, &str)] = &[("e1", "v1"), ("e2", "")];
    let single = ServiceBuilds::Single(build("v1"));
    let long = vec![one; 40];
    let started = ListedBuilds::default();
    assert_eq!(
        builds_at(&follow(started.clone(), true, &long), 40_000),
        single
    );
    assert_eq!(
        builds_at(&follow(started.clone(), true, &[one]), 1_000),
        ServiceBuilds::Unknown
    );
    let first_start = ListedBuilds::of_first_start();
    assert_eq!(
        builds_at(&follow(first_start.clone(), true, &[one]), 1_000),
        single
    );
    for other in [two, unnamed] {
        let mixed = follow(first_start.clone(), true, &[one, other, one]);
        assert_eq!(builds_at(&mixed, 3_000), ServiceBuilds::Several);
    }
    assert_eq!(
        builds_at(&follow(started, false, &long), 40_000),
        ServiceBuilds::Unknown,
        "only a part of the list is known"
    );
    let mut followed = follow(first_start, true, &long);
    assert_eq!(
        builds_at(&followed, 40_000 + MAX_LIST_AGE_MS + 1),
        ServiceBuilds::Unknown,
        "the store doesn't answer"
    );
    let after_gap_ms = 40_000 + settings.max_list_gap_ms + 1;
    followed.begin_reading(true, &settings, after_gap_ms);
    followed.record(&table(one), &settings, after_gap_ms);
    assert_eq!(builds_at(&followed, after_gap_ms), ServiceBuilds::Unknown);
}

/// Guards against going on at either version where one request ID names two streams.
#[test]
fn one_id_for_streams_of_two_builds_names_none() {
    let settings = OriginSettings::default();
    let mut records = OriginRecords::default();
    let key = StreamKey::new("team", "1");
    for software in ["v1", "v1", "v2"] {
        records.record(key, Origin::Build(build(software)), &settings, 1);
    }
    assert_eq!(records.origin(key, &settings, 1), Some(Origin::Ambiguous));
}

/// Guards against records that one team's requests find under another team's names.
#[test]
fn streams_of_two_teams_have_different_keys() {
    let keys = [("a", "bc"), ("ab", "c"), ("", "abc"), ("abc", "")];
    let keys: Vec<StreamKey> = keys
        .iter()
        .map(|(team, id)| StreamKey::new(team, id))
        .collect();
    for (number, key) in keys.iter().enumerate() {
        assert!(!keys[number + 1..].contains(key));
    }
}

fn answer(
    origin: Option<Origin>,
    service_builds: ServiceBuilds,
    reads_current: bool,
) -> OriginAnswer {
    OriginAnswer {
        number: 1,
        origin,
        service_builds,
        reads_current,
    }
}

/// Guards against going on by knowledge that isn't certain.
#[test]
fn a_build_is_known_by_a_record_or_as_the_only_one() {
    let v1 = ServiceBuilds::Single(build("v1"));
    let v2 = ServiceBuilds::Single(build("v2"));
    let at_v2 = Some(Origin::Build(build("v2")));
    let (several, unknown) = (ServiceBuilds::Several, ServiceBuilds::Unknown);
    let cases = [
        ("nothing known", vec![answer(None, unknown, true)], None),
        ("a record", vec![answer(at_v2, several, true)], Some("v2")),
        (
            "a record beside another single build",
            vec![answer(at_v2, v1, true)],
            Some("v2"),
        ),
        (
            "records of two builds",
            vec![
                answer(at_v2, v1, true),
                answer(Some(Origin::Build(build("v1"))), v1, true),
            ],
            None,
        ),
        (
            "an ambiguous record",
            vec![answer(Some(Origin::Ambiguous), v1, true)],
            None,
        ),
        ("the only build", vec![answer(None, v1, true)], Some("v1")),
        (
            "the only build, by a list that may lag",
            vec![answer(None, v1, false)],
            None,
        ),
        (
            "a young instance beside one that knows",
            vec![answer(None, unknown, false), answer(None, v1, true)],
            Some("v1"),
        ),
        (
            "a list that lags behind a release",
            vec![answer(None, v1, false), answer(None, several, true)],
            None,
        ),
        (
            "a current list behind one that has seen more",
            vec![answer(None, v1, true), answer(None, several, false)],
            None,
        ),
        (
            "two single builds",
            vec![answer(None, v1, true), answer(None, v2, false)],
            None,
        ),
    ];
    for (case, answers, expected) in cases {
        let mut verdict = Verdict::default();
        for answer in &answers {
            verdict.add(answer);
        }
        assert_eq!(verdict.build(), expected.map(build), "{case}");
    }
}
