//! What instances know of engines that leave, whatever the age of their lists.

use {
    mangowalk_core::pool::{EngineEntry, EngineTable, Incarnation},
    proptest::prelude::*,
};

const ENGINES: [&str; 3] = ["e0", "e1", "e2"];

/// Long after anything that is believed for a time only.
const LATER_MS: u64 = 3_600_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Ready,
    Draining,
    Gone,
}

fn entry(id: &str, revision: u64, draining: bool) -> EngineEntry {
    EngineEntry {
        incarnation: Incarnation {
            id: id.to_owned(),
            born_ms: 1,
        },
        revision,
        service: "llm".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: "a".to_owned(),
        slots: 8,
        draining,
        models: Vec::new(),
        cold_left_ms: 0,
    }
}

/// Lets a table read one change of the list.
fn read(table: &mut EngineTable, engine: &str, state: State, revision: u64) {
    match state {
        State::Ready => drop(table.list(entry(engine, revision, false))),
        State::Draining => drop(table.list(entry(engine, revision, true))),
        State::Gone => drop(table.unlist(engine, revision, None, 0)),
    }
    table.listed_up_to(revision, 0);
}

fn tell(teller: &EngineTable, hearer: &mut EngineTable, now_ms: u64) {
    let departures = teller.departures(hearer.known_revision());
    hearer.merge_departures("teller", &departures, now_ms);
}

fn is_used(table: &EngineTable, engine: &str, now_ms: u64) -> bool {
    let mut takers = table.takers("llm", now_ms);
    takers.any(|belief| belief.entry.incarnation.id == engine)
}

/// Returns two tables that have read the same list of all engines.
fn two_tables() -> (EngineTable, EngineTable) {
    let mut tables = (EngineTable::default(), EngineTable::default());
    for (engine, revision) in ENGINES.into_iter().zip(1..) {
        read(&mut tables.0, engine, State::Ready, revision);
        read(&mut tables.1, engine, State::Ready, revision);
    }
    tables
}

/// Guards against a departure that is believed for a shorter time than the list
/// stays old.
#[test]
fn a_departure_holds_for_as_long_as_the_list_is_old() {
    for state in [State::Draining, State::Gone] {
        let (mut teller, mut hearer) = two_tables();
        read(&mut teller, "e1", state, 4);
        tell(&teller, &mut hearer, 0);
        let used = ENGINES.map(|engine| is_used(&hearer, engine, LATER_MS));
        assert_eq!(used, [true, false, true]);
    }
}

/// Guards against work for an engine that peers saw leave before a list that lags
/// shows it for the first time.
#[test]
fn an_engine_that_left_before_it_is_listed_gets_no_work() {
    let (mut teller, mut hearer) = two_tables();
    read(&mut teller, "new", State::Ready, 4);
    read(&mut teller, "new", State::Gone, 5);
    tell(&teller, &mut hearer, 0);
    read(&mut hearer, "new", State::Ready, 4);
    assert!(!is_used(&hearer, "new", LATER_MS));
    read(&mut hearer, "new", State::Ready, 6);
    assert!(is_used(&hearer, "new", LATER_MS), "it was written later");
}

/// Guards against the grace for lapsed entries where a peer knows better, also if
/// it is heard only once the list has been read.
#[test]
fn an_engine_that_a_peer_saw_leave_has_no_grace() {
    for is_told_first in [true, false] {
        let (mut teller, mut hearer) = two_tables();
        read(&mut teller, "e1", State::Gone, 4);
        if is_told_first {
            tell(&teller, &mut hearer, 0);
        }
        for engine in ["e1", "e2"] {
            assert!(!hearer.unlist(engine, 9, Some(LATER_MS), 1_000));
        }
        hearer.listed_up_to(9, 1_000);
        tell(&teller, &mut hearer, 1_000);
        let used = ENGINES.map(|engine| is_used(&hearer, engine, 1_001));
        assert_eq!(used, [true, false, true]);
    }
}

/// Guards against doing without an engine whose entry lapsed and is back, for as
/// long as the own list is old.
#[test]
fn an_engine_that_is_back_is_used_by_those_who_heard_that_it_left() {
    let (mut teller, mut hearer) = two_tables();
    read(&mut teller, "e1", State::Gone, 4);
    tell(&teller, &mut hearer, 0);
    assert!(!is_used(&hearer, "e1", 0));
    read(&mut teller, "e1", State::Ready, 5);
    tell(&teller, &mut hearer, 0);
    assert!(is_used(&hearer, "e1", 0));
    read(&mut teller, "e1", State::Draining, 6);
    tell(&teller, &mut hearer, 0);
    assert!(!is_used(&hearer, "e1", LATER_MS));
}

/// Guards against work for the start before, where an engine has started again under
/// its name and the list is old.
#[test]
fn a_start_that_another_one_replaced_gets_no_work() {
    let (mut teller, mut hearer) = two_tables();
    let again = EngineEntry {
        incarnation: Incarnation {
            id: "e1".to_owned(),
            born_ms: 2,
        },
        ..entry("e1", 4, false)
    };
    teller.list(again.clone());
    tell(&teller, &mut hearer, 0);
    assert!(!is_used(&hearer, "e1", LATER_MS));
    hearer.list(again);
    assert!(is_used(&hearer, "e1", LATER_MS));
}

/// Guards against telling for ever what all have read.
#[test]
fn a_departure_is_told_until_it_was_read() {
    let (mut teller, mut hearer) = two_tables();
    read(&mut teller, "e1", State::Draining, 4);
    assert_eq!(teller.departures(hearer.known_revision()).len(), 1);
    tell(&teller, &mut hearer, 0);
    let passed_on = hearer.departures(3);
    assert_eq!(passed_on.len(), 1, "peers that hear only this one need it");
    read(&mut hearer, "e1", State::Draining, 4);
    assert!(teller.departures(hearer.known_revision()).is_empty());
}

#[derive(Debug, Clone)]
enum Step {
    Change(usize, State),
    TellerReads,
    HearerReads(usize),
    Tell,
}

fn step() -> impl Strategy<Value = Step> {
    let state = prop_oneof![Just(State::Ready), Just(State::Draining), Just(State::Gone)];
    prop_oneof![
        (0..ENGINES.len(), state).prop_map(|(engine, state)| Step::Change(engine, state)),
        Just(Step::TellerReads),
        (1_usize..4).prop_map(Step::HearerReads),
        Just(Step::Tell),
    ]
}

/// What the list held at each revision.
struct History(Vec<(usize, State)>);

impl History {
    fn state(&self, engine: usize, revision: usize) -> State {
        let mut before = self.0[..revision].iter().rev();
        let last = before.find(|(of, _)| *of == engine);
        last.map_or(State::Gone, |(_, state)| *state)
    }
}

proptest! {
    /// In whatever order lists are read and departures told, no engine gets work
    /// that a peer said to leave, and a list that is as new as all that was told
    /// is gone by alone.
    #[test]
    fn what_a_peer_told_of_engines_that_leave_is_never_forgotten(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut history = History((0..ENGINES.len()).map(|n| (n, State::Ready)).collect());
        let (mut teller, mut hearer) = two_tables();
        let (mut teller_at, mut hearer_at, mut told_at) = (ENGINES.len(), ENGINES.len(), 0);
        for (number, step) in steps.into_iter().enumerate() {
            let now_ms = number as u64 * LATER_MS;
            let newest = history.0.len();
            match step {
                Step::Change(engine, state) => {
                    if history.state(engine, newest) != state {
                        history.0.push((engine, state));
                    }
                }
                Step::TellerReads => {
                    for (at, &(engine, state)) in history.0.iter().enumerate().skip(teller_at) {
                        read(&mut teller, ENGINES[engine], state, at as u64 + 1);
                    }
                    teller_at = newest;
                }
                Step::HearerReads(count) => {
                    let changes = history.0.iter().enumerate().skip(hearer_at).take(count);
                    for (at, &(engine, state)) in changes {
                        read(&mut hearer, ENGINES[engine], state, at as u64 + 1);
                        hearer_at = at + 1;
                    }
                }
                Step::Tell => {
                    tell(&teller, &mut hearer, now_ms);
                    told_at = teller_at;
                }
            }
            for (engine, id) in ENGINES.into_iter().enumerate() {
                let used = is_used(&hearer, id, now_ms + LATER_MS);
                if told_at > hearer_at {
                    let told = history.state(engine, told_at);
                    prop_assert!(!used || told == State::Ready, "{id} was {told:?}");
                    let known = history.state(engine, hearer_at);
                    let is_there = known == State::Ready && told == State::Ready;
                    prop_assert!(used || !is_there, "{id} is there and not used");
                } else {
                    prop_assert_eq!(used, history.state(engine, hearer_at) == State::Ready);
                }
            }
        }
    }
}
