//! Which engines a request gets in each stage of a roll-out.

use mangowalk_core::{
    canary::{Lane, SoftwareRole},
    pool::{EngineEntry, Incarnation, KnownEngine, choose_in_lane},
};

fn engine(id: &str, role: SoftwareRole) -> KnownEngine {
    let mut engine = KnownEngine::new(EngineEntry {
        incarnation: Incarnation {
            id: id.to_owned(),
            born_ms: 1,
        },
        revision: 1,
        service: "desk".to_owned(),
        software: String::new(),
        address: "127.0.0.1:1".parse().expect("it is an address"),
        domain: "a".to_owned(),
        slots: 8,
        draining: false,
        models: Vec::new(),
        cold_left_ms: 0,
    });
    engine.software_role = role;
    engine
}

/// Returns the engine that is chosen in a lane, where each but `full` admits it.
fn chosen(lane: Lane, engines: &[KnownEngine], full: &str) -> Option<String> {
    let id = |engine: &KnownEngine| engine.entry.incarnation.id.clone();
    let new: Vec<String> = engines
        .iter()
        .filter(|engine| engine.software_role == SoftwareRole::Candidate)
        .map(id)
        .collect();
    let new: Vec<&str> = new.iter().map(String::as_str).collect();
    let choose_among =
        |usable: &dyn Fn(&KnownEngine) -> bool| engines.iter().find(|engine| usable(engine));
    let admits = |engine: &KnownEngine| engine.entry.incarnation.id != full;
    choose_in_lane(lane, &new, choose_among, admits).map(|(engine, _)| id(engine))
}

const TRIAL: Lane = Lane::Trial { ratio: 0.05 };

/// A service whose only engines run a version that was withdrawn, or may be part of an
/// order, refuses: the bound on what a bad version gets goes before an answer.
#[test]
fn withdrawn_and_held_engines_are_never_used() {
    let engines = [
        engine("held", SoftwareRole::Held),
        engine("withdrawn", SoftwareRole::Withdrawn),
    ];
    for lane in [Lane::InUse, TRIAL, Lane::Shifted] {
        assert_eq!(chosen(lane, &engines, ""), None, "{lane:?}");
    }
}

/// Without a directive, a new version gets nothing, also where no other
/// engine is left.
#[test]
fn a_new_version_is_used_only_in_its_lanes() {
    let engines = [engine("new", SoftwareRole::Candidate)];
    assert_eq!(chosen(Lane::InUse, &engines, ""), None);
    assert_eq!(chosen(TRIAL, &engines, "").as_deref(), Some("new"));
    assert_eq!(chosen(Lane::Shifted, &engines, "").as_deref(), Some("new"));
}

/// The tried engines start with empty caches and may be full. The caller must not be
/// refused because its request was to be tried there.
#[test]
fn a_request_is_not_refused_because_of_a_trial() {
    let engines = [
        engine("new", SoftwareRole::Candidate),
        engine("old", SoftwareRole::InUse),
    ];
    assert_eq!(chosen(TRIAL, &engines, "").as_deref(), Some("new"));
    assert_eq!(chosen(TRIAL, &engines, "new").as_deref(), Some("old"));
}

/// Replaced engines stop at once, so that what is sent there is lost; they serve only
/// where nothing else does.
#[test]
fn replaced_engines_are_the_last_choice() {
    let outgoing = engine("outgoing", SoftwareRole::Outgoing);
    let engines = [outgoing.clone(), engine("in use", SoftwareRole::InUse)];
    assert_eq!(chosen(Lane::InUse, &engines, "").as_deref(), Some("in use"));
    let engines = [outgoing];
    assert_eq!(
        chosen(Lane::InUse, &engines, "").as_deref(),
        Some("outgoing")
    );
}
