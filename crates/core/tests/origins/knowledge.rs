//! What records and the engine list say of a stream.

use {
    super::{build, entry},
    mangowalk_core::{
        origin::{
            BuildsByService, EngineBuild, ListedBuilds, OriginAnswer, OriginRecords,
            OriginSettings, ServiceBuilds, StreamKey, StreamOrigin, Verdict,
        },
        pool::EngineTable,
    },
    std::fmt::Write,
};

const MAX_LIST_AGE_MS: u64 = 5_700;

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
    let lately = ServiceBuilds::SingleLately(build("v1"));
    assert_eq!(
        builds_at(&follow(started.clone(), true, &[one]), 1_000),
        lately
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
    assert_eq!(builds_at(&followed, after_gap_ms), lately);
}

/// Guards against forgetting with all instances which builds a service has had.
#[test]
fn what_was_written_of_the_past_counts_like_a_long_followed_list() {
    let settings = OriginSettings::default();
    let past = |software: &[&str]| -> BuildsByService {
        let builds = software
            .iter()
            .map(|software| EngineBuild::new("llm", software));
        [("llm".to_owned(), builds.collect())].into()
    };
    let started = |software: &[&str], is_whole: bool| {
        let mut builds = ListedBuilds::default();
        builds.add_past(&past(software), 900);
        follow(builds, is_whole, &[&[("e1", "v1")]])
    };
    let alike = started(&["v1"], true);
    assert_eq!(builds_at(&alike, 1_000), ServiceBuilds::Single(build("v1")));
    assert_eq!(
        alike.known(&settings, MAX_LIST_AGE_MS, 1_000),
        Some(past(&["v1"]))
    );
    for other in [&["v2"][..], &["v1", "v2"], &[""]] {
        let mixed = started(other, true);
        assert_eq!(builds_at(&mixed, 1_000), ServiceBuilds::Several);
    }
    let partial = started(&["v1"], false);
    assert_eq!(builds_at(&partial, 1_000), ServiceBuilds::Unknown);
    assert_eq!(partial.known(&settings, MAX_LIST_AGE_MS, 1_000), None);
    let young = follow(ListedBuilds::default(), true, &[&[("e1", "v1")]]);
    assert_eq!(young.known(&settings, MAX_LIST_AGE_MS, 1_000), None);
}

/// Guards against going on at either version where one request ID names two streams.
#[test]
fn one_id_for_streams_of_two_builds_names_none() {
    let settings = OriginSettings::default();
    let mut records = OriginRecords::default();
    let key = StreamKey::new("team", "1");
    for software in ["v1", "v1", "v2"] {
        records.record(key, StreamOrigin::Build(build(software)), &settings, 1);
    }
    assert_eq!(
        records.origin(key, &settings, 1),
        Some(StreamOrigin::Ambiguous)
    );
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

fn answer(origin: Option<StreamOrigin>, service_builds: ServiceBuilds) -> OriginAnswer {
    OriginAnswer {
        number: 1,
        origin,
        service_builds,
        reads_current: true,
    }
}

/// Name, records, engine lists of the instances that were asked, and readings of the store.
type Case<'a> = (
    &'a str,
    &'a [Option<StreamOrigin>],
    &'a [ServiceBuilds],
    &'a [ServiceBuilds],
);

/// Guards against going on by knowledge that isn't certain: a list tells nothing of a build
/// that has been used since.
#[test]
fn a_build_is_known_by_a_record_or_as_the_only_one_of_a_reading() {
    let (v1, v2) = (build("v1"), build("v2"));
    let (at_v1, at_v2) = (Some(StreamOrigin::Build(v1)), Some(StreamOrigin::Build(v2)));
    let single = ServiceBuilds::Single(v1);
    let lately = ServiceBuilds::SingleLately(v1);
    let (several, unknown) = (ServiceBuilds::Several, ServiceBuilds::Unknown);
    let other = ServiceBuilds::SingleLately(v2);
    let ambiguous = Some(StreamOrigin::Ambiguous);
    let cases: [Case<'_>; 15] = [
        ("nothing known", &[], &[unknown], &[unknown]),
        ("a record", &[at_v2], &[several], &[]),
        (
            "a record beside another single build",
            &[at_v2],
            &[single],
            &[single],
        ),
        (
            "records of two builds",
            &[at_v1, at_v2],
            &[single],
            &[single],
        ),
        ("an ambiguous record", &[ambiguous], &[single], &[single]),
        ("the only build of a reading", &[], &[], &[single]),
        ("the only build of all lists", &[], &[single, single], &[]),
        ("the only build of young lists", &[], &[lately, lately], &[]),
        (
            "a reading beside a young list",
            &[],
            &[lately, unknown],
            &[single],
        ),
        ("a reading beside no list", &[], &[unknown], &[single]),
        ("a list that is out of date", &[], &[single], &[several]),
        ("a list with several builds", &[], &[several], &[single]),
        ("a list with another build", &[], &[other], &[single]),
        ("a reading without the service", &[], &[single], &[unknown]),
        ("readings of two builds", &[], &[], &[single, other]),
    ];
    let mut report = String::new();
    for (case, records, lists, readings) in cases {
        let mut verdict = Verdict::default();
        for origin in records {
            verdict.add(&answer(*origin, unknown));
        }
        for builds in lists {
            verdict.add(&answer(None, *builds));
        }
        for builds in readings {
            verdict.add_own_reading(*builds);
        }
        let found = match verdict.build() {
            Some(build) if build == v1 => "v1",
            Some(_) => "v2",
            None => "unknown",
        };
        writeln!(report, "{case}: {found}, {}", verdict.ground()).expect("it fits");
    }
    insta::assert_snapshot!(report);
}

/// Guards against taking an object that lacks a service, or names an engine without a version,
/// for one with a single build.
#[test]
fn a_reading_names_a_single_build_only_if_it_names_no_other() {
    let reading = |software: &[&str]| -> ServiceBuilds {
        let builds = software
            .iter()
            .map(|software| EngineBuild::new("llm", software));
        let builds = BuildsByService::from([("llm".to_owned(), builds.collect())]);
        ServiceBuilds::of_reading(&builds, "llm")
    };
    assert_eq!(reading(&["v1"]), ServiceBuilds::Single(build("v1")));
    assert_eq!(reading(&["v1", "v2"]), ServiceBuilds::Several);
    assert_eq!(reading(&["v1", ""]), ServiceBuilds::Several);
    assert_eq!(reading(&[""]), ServiceBuilds::Unknown);
    assert_eq!(reading(&[]), ServiceBuilds::Unknown);
    let empty = BuildsByService::new();
    let of_empty = ServiceBuilds::of_reading(&empty, "llm");
    assert_eq!(of_empty, ServiceBuilds::Unknown);
}

/// Guards against streams that begin at a build which is forgotten with all instances, as the
/// object in the store doesn't name it yet.
#[test]
fn a_build_is_kept_once_the_object_in_the_store_names_it() {
    let (v1, v2) = (Some(build("v1")), Some(build("v2")));
    let two: &[(&str, &str)] = &[("e1", "v1"), ("e2", "v2")];
    let mut builds = follow(ListedBuilds::default(), true, &[two]);
    // Instances that start without an object take no build for the only one.
    assert!(builds.is_kept("llm", v2));
    assert_eq!(builds.kept_and_listed(), None);
    let kept = BuildsByService::from([("llm".to_owned(), [v1].into())]);
    builds.set_kept(kept);
    assert!(builds.is_kept("llm", v1));
    assert!(!builds.is_kept("llm", v2) && !builds.is_kept("llm", None));
    assert!(!builds.is_kept("other", v1));
    let both = BuildsByService::from([("llm".to_owned(), [v1, v2].into())]);
    assert_eq!(builds.kept_and_listed(), Some(both.clone()));
    builds.set_kept(both);
    assert!(builds.is_kept("llm", v2));
}
