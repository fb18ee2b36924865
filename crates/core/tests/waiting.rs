//! Tests of the requests that wait in an instance, without network.

use {
    mangowalk_core::{
        admission::{
            Backlog, FleetCapacity, Job, RoomFull, WaitingRoom, WaitingSettings, WorkAhead,
        },
        pool::PrefillRate,
    },
    std::collections::HashSet,
};

const LONG_TOKENS: u64 = 2_890;
const SHORT_TOKENS: u64 = 628;

fn job(id: u64, team: &str, priority: u8, tokens: u64, arrived_ms: u64) -> Job {
    Job {
        id,
        team: team.to_owned(),
        weight: 1.0,
        priority,
        tokens,
        arrived_ms,
        deadline_ms: Some(5_000),
        model: String::new(),
        version: String::new(),
        chain: Vec::new(),
        avoid: HashSet::new(),
        cache_store_blocks: 0,
    }
}

fn room() -> WaitingRoom {
    WaitingRoom::new(WaitingSettings::default(), 1)
}

/// Gives all requests of one walk their turns, of which none finds an engine.
fn walk(room: &mut WaitingRoom, now_ms: u64) -> Vec<u64> {
    let mut turns = Vec::new();
    let mut turn = room.begin_walk(now_ms);
    while let Some(id) = turn {
        turns.push(id);
        turn = room.pass_turn(id);
    }
    turns
}

/// Guards against an urgent request that waits behind others, also of teams that were served
/// less and that have waited for seconds.
#[test]
fn an_urgent_request_never_waits_behind_others() {
    let mut room = room();
    for id in 0..20 {
        let arrived = job(id, "idle", 2, LONG_TOKENS, id);
        room.enter(arrived, 100, id).expect("there is room");
    }
    let served = job(20, "busy", 0, SHORT_TOKENS, 3_000);
    room.enter(served, 100, 3_000).expect("there is room");
    room.place(20, 3_000);
    let urgent = job(21, "busy", 0, SHORT_TOKENS, 4_900);
    room.enter(urgent, 100, 4_900).expect("there is room");
    assert_eq!(walk(&mut room, 4_900).first(), Some(&21));
    assert!(room.goes_first(0) && room.goes_first(2));
    room.place(21, 4_900);
    assert!(!room.goes_first(0) && room.goes_first(2));
}

/// Guards against a request that finds no engine and keeps all behind it from theirs.
#[test]
fn each_request_gets_turns_while_the_first_finds_no_engine() {
    let mut room = room();
    for id in 0..50 {
        room.enter(job(id, "team", 2, LONG_TOKENS, 0), 100, 0)
            .expect("there is room");
    }
    let mut tried = HashSet::new();
    for turn in 0..25 {
        let turns = walk(&mut room, 100 + 20 * turn);
        assert_eq!(turns.len(), WaitingSettings::default().tries_per_walk);
        tried.extend(turns);
    }
    assert_eq!(tried.len(), 50);
}

/// Guards against walks that take up the processor, and against a turn that is lost with a
/// caller that leaves or a request that does not answer.
#[test]
fn one_walk_at_a_time_goes_on_when_a_request_leaves() {
    let mut room = room();
    for id in 0..3 {
        room.enter(job(id, "team", 2, LONG_TOKENS, id), 100, 0)
            .expect("there is room");
    }
    let first = room.begin_walk(100).expect("a walk begins");
    assert_eq!(room.begin_walk(110), None);
    let second = room.leave(first).expect("the walk goes on");
    assert_eq!(room.pass_turn(first), None);
    let third = room.place(second, 111).expect("the walk goes on");
    assert_eq!(room.begin_walk(150), None);
    assert_eq!(room.begin_walk(200), Some(third));
    assert_eq!(room.leave(third), None);
    assert_eq!((room.len(), room.begin_walk(400)), (0, None));
}

/// Guards against a room that grows beyond the memory of a small instance, and one that stays
/// full after its requests are gone.
#[test]
fn a_room_is_bounded_by_number_and_bytes() {
    let settings = WaitingSettings::default();
    let mut room = room();
    let large = settings.max_bytes / 2;
    for id in 0..2 {
        room.enter(job(id, "team", 2, 1, 0), large, 0)
            .expect("there is room");
    }
    let refused = room.enter(job(2, "team", 2, 1, 0), 1, 0);
    assert_eq!(refused, Err(RoomFull::Bytes));
    room.leave(0);
    for id in 2..=settings.order.max_queued as u64 {
        room.enter(job(id, "team", 2, 1, 0), 1, 0)
            .expect("there is room");
    }
    let refused = room.enter(job(999, "team", 2, 1, 0), 1, 0);
    assert_eq!(refused, Err(RoomFull::Number));
}

/// Guards against a request that waits for engines which can't read it in time, and one that is
/// refused by an earlier measurement although engines are free.
#[test]
fn the_capacity_counts_backlogs_work_ahead_and_its_age() {
    // 40 tokens per ms for each engine.
    let rate = PrefillRate::default();
    let backlog = |unread_tokens, slowdown| Backlog {
        unread_tokens,
        slowdown,
    };
    let engines = [backlog(8_000, 1.0), backlog(4_000, 3.0)];
    let fleet = FleetCapacity::new(engines.into_iter(), &rate);
    let drain = fleet.drain_tokens_per_ms(None, 2, &rate);
    assert!((drain - 40.0 * (1.0 + 1.0 / 3.0) / 2.0).abs() < 0.001);
    let least = fleet.drain_tokens_per_ms(Some(0.1), 2, &rate);
    assert!((least - drain / 4.0).abs() < 0.001);
    let read_ms = |tokens, longest_wait_ms| {
        let ahead = WorkAhead {
            tokens,
            longest_wait_ms,
        };
        fleet.read_ms(ahead, 2_000, 10.0, &rate) as u64
    };
    assert_eq!(read_ms(0, 0), 250);
    assert_eq!(read_ms(10_000, 400), 1_250);
    assert_eq!(read_ms(1_000, 400), 650);
    let none = FleetCapacity::new([].into_iter(), &rate);
    assert!(
        none.read_ms(WorkAhead::default(), 1, 10.0, &rate)
            .is_infinite()
    );
}
