//! What instances know of departing engines, whatever the age of their lists.

use {
    mangowalk_core::pool::{EngineEntry, EngineTable, Incarnation},
    proptest::prelude::*,
};

const ENGINES: [&str; 3] = ["e0", "e1", "e2"];

/// Longer than any timeout. Reported departures have none, so they still apply
/// after this time.
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
        software: String::new(),
    }
}

/// Applies one change of the list to a table.
fn read(table: &mut EngineTable, engine: &str, state: State, revision: u64) {
    match state {
        State::Ready => drop(table.apply_entry(entry(engine, revision, false))),
        State::Draining => drop(table.apply_entry(entry(engine, revision, true))),
        State::Gone => drop(table.remove_entry(engine, revision, None, 0)),
    }
    table.set_list_revision(revision, 0);
}

fn send_departures(sender: &EngineTable, receiver: &mut EngineTable, now_ms: u64) {
    let departures = sender.departures(receiver.known_revision());
    receiver.merge_departures("sender", &departures, now_ms);
}

fn is_used(table: &EngineTable, engine: &str, now_ms: u64) -> bool {
    let mut accepting = table.accepting_engines("llm", now_ms);
    accepting.any(|known| known.entry.incarnation.id == engine)
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

/// A reported departure must not expire while the own list is older than it;
/// otherwise an engine that has left gets work.
#[test]
fn a_reported_departure_holds_while_the_own_list_is_older() {
    for state in [State::Draining, State::Gone] {
        let (mut sender, mut receiver) = two_tables();
        read(&mut sender, "e1", state, 4);
        send_departures(&sender, &mut receiver, 0);
        let used = ENGINES.map(|engine| is_used(&receiver, engine, LATER_MS));
        assert_eq!(used, [true, false, true]);
    }
}

/// A peer reports the departure of an engine before the own list, which lags,
/// shows the engine for the first time. It must get no work until a later entry
/// is read.
#[test]
fn an_engine_that_departed_before_it_was_listed_gets_no_work() {
    let (mut sender, mut receiver) = two_tables();
    read(&mut sender, "new", State::Ready, 4);
    read(&mut sender, "new", State::Gone, 5);
    send_departures(&sender, &mut receiver, 0);
    read(&mut receiver, "new", State::Ready, 4);
    assert!(!is_used(&receiver, "new", LATER_MS));
    read(&mut receiver, "new", State::Ready, 6);
    assert!(
        is_used(&receiver, "new", LATER_MS),
        "the entry was written later"
    );
}

/// The own list lacks an engine, and a peer reports that it has left. It must
/// get no grace period, also if the report arrives only after the list was
/// read.
#[test]
fn an_engine_reported_as_departed_gets_no_grace_period() {
    for is_reported_first in [true, false] {
        let (mut sender, mut receiver) = two_tables();
        read(&mut sender, "e1", State::Gone, 4);
        if is_reported_first {
            send_departures(&sender, &mut receiver, 0);
        }
        for engine in ["e1", "e2"] {
            assert!(!receiver.remove_entry(engine, 9, Some(LATER_MS), 1_000));
        }
        receiver.set_list_revision(9, 1_000);
        send_departures(&sender, &mut receiver, 1_000);
        let used = ENGINES.map(|engine| is_used(&receiver, engine, 1_001));
        assert_eq!(used, [true, false, true]);
    }
}

/// An entry expires, is reported as a departure, and is written again. The
/// engine must be used again as soon as that is reported, even if the own list
/// stays old.
#[test]
fn an_engine_listed_again_is_used_after_a_reported_departure() {
    let (mut sender, mut receiver) = two_tables();
    read(&mut sender, "e1", State::Gone, 4);
    send_departures(&sender, &mut receiver, 0);
    assert!(!is_used(&receiver, "e1", 0));
    read(&mut sender, "e1", State::Ready, 5);
    send_departures(&sender, &mut receiver, 0);
    assert!(is_used(&receiver, "e1", 0));
    read(&mut sender, "e1", State::Draining, 6);
    send_departures(&sender, &mut receiver, 0);
    assert!(!is_used(&receiver, "e1", LATER_MS));
}

/// An engine has restarted under its name and the own list is old. The former
/// incarnation must get no work.
#[test]
fn a_replaced_incarnation_gets_no_work() {
    let (mut sender, mut receiver) = two_tables();
    let restarted = EngineEntry {
        incarnation: Incarnation {
            id: "e1".to_owned(),
            born_ms: 2,
        },
        ..entry("e1", 4, false)
    };
    sender.apply_entry(restarted.clone());
    send_departures(&sender, &mut receiver, 0);
    assert!(!is_used(&receiver, "e1", LATER_MS));
    receiver.apply_entry(restarted);
    assert!(is_used(&receiver, "e1", LATER_MS));
}

/// A departure must be reported only to peers whose list does not contain it
/// yet; otherwise heartbeats repeat for ever what all have read.
#[test]
fn a_departure_is_reported_until_the_peer_has_read_it() {
    let (mut sender, mut receiver) = two_tables();
    read(&mut sender, "e1", State::Draining, 4);
    assert_eq!(sender.departures(receiver.known_revision()).len(), 1);
    send_departures(&sender, &mut receiver, 0);
    let relayed = receiver.departures(3);
    assert_eq!(
        relayed.len(),
        1,
        "peers that receive only from this instance need it"
    );
    read(&mut receiver, "e1", State::Draining, 4);
    assert!(sender.departures(receiver.known_revision()).is_empty());
}

#[derive(Debug, Clone)]
enum Step {
    Change(usize, State),
    SenderReads,
    ReceiverReads(usize),
    Report,
}

fn step() -> impl Strategy<Value = Step> {
    let state = prop_oneof![Just(State::Ready), Just(State::Draining), Just(State::Gone)];
    prop_oneof![
        (0..ENGINES.len(), state).prop_map(|(engine, state)| Step::Change(engine, state)),
        Just(Step::SenderReads),
        (1_usize..4).prop_map(Step::ReceiverReads),
        Just(Step::Report),
    ]
}

/// Changes of the list, one per revision.
struct History(Vec<(usize, State)>);

impl History {
    fn state(&self, engine: usize, revision: usize) -> State {
        let mut before = self.0[..revision].iter().rev();
        let last = before.find(|(of, _)| *of == engine);
        last.map_or(State::Gone, |(_, state)| *state)
    }
}

proptest! {
    /// Whatever the order of list reads and reports, an engine that a peer has
    /// reported as departing must get no work, and a list that is as new as all
    /// reports must decide alone.
    #[test]
    fn reported_departures_hold_in_every_order_of_reads_and_reports(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut history = History((0..ENGINES.len()).map(|n| (n, State::Ready)).collect());
        let (mut sender, mut receiver) = two_tables();
        let (mut sender_revision, mut receiver_revision) = (ENGINES.len(), ENGINES.len());
        let mut reported_revision = 0;
        for (number, step) in steps.into_iter().enumerate() {
            let now_ms = number as u64 * LATER_MS;
            let newest = history.0.len();
            match step {
                Step::Change(engine, state) => {
                    if history.state(engine, newest) != state {
                        history.0.push((engine, state));
                    }
                }
                Step::SenderReads => {
                    let changes = history.0.iter().enumerate().skip(sender_revision);
                    for (at, &(engine, state)) in changes {
                        read(&mut sender, ENGINES[engine], state, at as u64 + 1);
                    }
                    sender_revision = newest;
                }
                Step::ReceiverReads(count) => {
                    let changes = history.0.iter().enumerate().skip(receiver_revision);
                    let changes = changes.take(count);
                    for (at, &(engine, state)) in changes {
                        read(&mut receiver, ENGINES[engine], state, at as u64 + 1);
                        receiver_revision = at + 1;
                    }
                }
                Step::Report => {
                    send_departures(&sender, &mut receiver, now_ms);
                    reported_revision = sender_revision;
                }
            }
            for (engine, id) in ENGINES.into_iter().enumerate() {
                let used = is_used(&receiver, id, now_ms + LATER_MS);
                if reported_revision > receiver_revision {
                    let reported = history.state(engine, reported_revision);
                    prop_assert!(!used || reported == State::Ready, "{id} was {reported:?}");
                    let known = history.state(engine, receiver_revision);
                    let is_available = known == State::Ready && reported == State::Ready;
                    prop_assert!(used || !is_available, "{id} is available but not used");
                } else {
                    let known = history.state(engine, receiver_revision);
                    prop_assert_eq!(used, known == State::Ready);
                }
            }
        }
    }
}
