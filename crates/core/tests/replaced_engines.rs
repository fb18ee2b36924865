//! Engines at whose addresses other engines listen.

use {
    mangowalk_core::pool::{EngineEntry, EngineTable, Incarnation, ReplacedEngine},
    proptest::prelude::*,
};

const PLACES: [&str; 2] = ["127.0.0.1:1", "127.0.0.1:2"];

fn entry(id: &str, born_ms: u64, revision: u64, place: usize) -> EngineEntry {
    EngineEntry {
        incarnation: Incarnation {
            id: id.to_owned(),
            born_ms,
        },
        revision,
        service: "llm".to_owned(),
        software: "v1".to_owned(),
        address: PLACES[place].parse().expect("an address"),
        domain: "a".to_owned(),
        slots: 24,
        draining: false,
        models: Vec::new(),
        cold_left_ms: 0,
    }
}

fn used(table: &EngineTable, now_ms: u64) -> Vec<&str> {
    let engines = table.accepting_engines("llm", now_ms);
    engines
        .map(|engine| engine.entry.incarnation.id.as_str())
        .collect()
}

fn table(entries: &[EngineEntry]) -> EngineTable {
    let mut table = EngineTable::default();
    for entry in entries {
        table.apply_entry(entry.clone());
    }
    table
}

/// Guards against requests to an engine that crashed and is back at its address under a new ID,
/// whichever entry is read first and whatever service the new one serves.
#[test]
fn a_later_start_at_an_address_replaces_the_engine_there() {
    let (old, new) = (entry("old", 1, 1, 0), entry("new", 2, 2, 0));
    assert_eq!(used(&table(&[old.clone(), new.clone()]), 0), ["new"]);
    assert_eq!(used(&table(&[new.clone(), old.clone()]), 0), ["new"]);
    let of_another_service = EngineEntry {
        service: "desk".to_owned(),
        ..new
    };
    assert!(used(&table(&[old, of_another_service]), 0).is_empty());
}

/// Guards against an engine that is lost because of a wrong clock, or by a stale reading.
#[test]
fn an_entry_that_was_written_before_replaces_none() {
    let by_clock = table(&[entry("a", 9, 1, 0), entry("b", 2, 2, 0)]);
    assert_eq!(used(&by_clock, 0), ["a", "b"]);
    let mut replaced = table(&[entry("a", 1, 1, 0), entry("b", 2, 2, 0)]);
    assert_eq!(used(&replaced, 0), ["b"]);
    // It lives, as it has written its entry again.
    replaced.apply_entry(entry("a", 1, 3, 0));
    assert_eq!(used(&replaced, 0), ["a", "b"]);
}

/// Guards against an engine that is lost because a later one names its address and isn't there.
#[test]
fn a_successor_that_does_not_answer_at_its_address_replaces_none() {
    let (old, new) = (entry("old", 1, 1, 0), entry("new", 2, 2, 0));
    let report = ReplacedEngine::of(&new);
    let mut table = table(&[old, new]);
    assert!(table.record_replaced(&report, 0));
    assert_eq!(used(&table, 0), ["old"]);
}

/// Guards against engines that aren't used after they have exchanged their addresses, or after
/// the other one at their address has left the list.
#[test]
fn an_engine_is_used_again_where_no_other_listens() {
    let mut table = table(&[entry("a", 1, 1, 0), entry("b", 2, 2, 1)]);
    table.apply_entry(entry("b", 2, 3, 0));
    assert_eq!(used(&table, 0), ["b"]);
    table.apply_entry(entry("a", 1, 4, 1));
    assert_eq!(used(&table, 0), ["a", "b"]);
    table.apply_entry(entry("b", 2, 5, 1));
    assert_eq!(used(&table, 0), ["b"]);
    assert!(table.remove_entry("b", 6, None, 0));
    assert_eq!(used(&table, 0), ["a"]);
}

/// Guards against an engine that is lost for good by a report that is wrong or outdated.
#[test]
fn a_report_ends_with_a_new_entry_an_own_answer_or_its_time() {
    let first = entry("a", 1, 1, 0);
    let report = ReplacedEngine::of(&first);
    let mut table = table(&[first]);
    assert!(table.record_replaced(&report, 1_000));
    assert!(used(&table, 1_000).is_empty());
    assert!(!table.record_replaced(&report, 5_000), "it isn't extended");
    assert_eq!(used(&table, 11_000), ["a"]);
    assert!(table.record_replaced(&report, 12_000));
    table.record_own_answer(&report.incarnation());
    assert_eq!(used(&table, 12_000), ["a"]);
    assert!(table.record_replaced(&report, 12_000));
    table.apply_entry(entry("a", 1, 2, 1));
    assert_eq!(used(&table, 12_000), ["a"]);
    assert!(!table.record_replaced(&report, 12_000), "it has moved");
    assert_eq!(used(&table, 12_000), ["a"]);
    table.apply_entry(entry("a", 7, 3, 0));
    let of_former_start = ReplacedEngine {
        revision: 9,
        ..report
    };
    assert!(!table.record_replaced(&of_former_start, 12_000));
    assert_eq!(used(&table, 12_000), ["a"]);
}

/// Guards against an entry that is read from a stale replica after a peer told of its engine.
#[test]
fn a_report_on_an_engine_that_is_not_listed_yet_applies() {
    let stale = entry("a", 1, 1, 0);
    let mut table = EngineTable::default();
    assert!(table.record_replaced(&ReplacedEngine::of(&stale), 0));
    table.apply_entry(stale);
    assert!(used(&table, 0).is_empty());
}

proptest! {
    /// Guards against an engine that is lost for good by any sequence of moves, restarts,
    /// wrong clocks, stale readings and wrong reports: an engine that has written its entry
    /// last is used.
    #[test]
    fn an_engine_that_writes_its_entry_is_used(
        steps in prop::collection::vec((0..3_usize, 0..4_u64, 0..2_usize, 0..4_u64, 0..3_u8), 0..40),
    ) {
        let ids = ["a", "b", "c"];
        let mut table = EngineTable::default();
        for (step, (id, born_ms, place, age, kind)) in steps.into_iter().enumerate() {
            let now_ms = step as u64;
            let revision = now_ms.saturating_sub(age);
            let entry = entry(ids[id], born_ms, revision, place);
            match kind {
                0 => drop(table.apply_entry(entry)),
                1 => drop(table.record_replaced(&ReplacedEngine::of(&entry), now_ms)),
                _ => drop(table.remove_entry(ids[id], revision, None, now_ms)),
            }
        }
        for (after, id) in ids.into_iter().enumerate() {
            table.apply_entry(entry(id, 1, 100 + after as u64, 0));
            prop_assert!(used(&table, 40).contains(&id));
        }
    }
}
