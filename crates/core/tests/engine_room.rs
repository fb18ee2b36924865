//! Bounds on what an engine holds, one decision at a time.

use mangowalk_core::{
    engine_room::{
        EngineRooms, EngineUse, FleetView, OtherInstances, RoomBarrier, RoomNeed, RoomSettings,
        fixed_part,
    },
    pool::Load,
};

/// Memory of an engine whose parts are of 1,000 tokens.
const MEMORY_TOKENS: u64 = 12_000;

const FLEET: FleetView = FleetView {
    instances: 12,
    former_fraction: 0.0,
};

fn load(requests: u32, memory_tokens: u32) -> Load {
    Load {
        requests,
        memory_tokens,
        ..Load::default()
    }
}

fn engine(rank: usize, own: Load, others: Load) -> EngineUse {
    EngineUse {
        rank,
        memory_tokens: MEMORY_TOKENS,
        slots: 24,
        counted_tokens: 0,
        own,
        others,
    }
}

fn barrier(need: RoomNeed, engine: &EngineUse, fleet: &FleetView) -> Option<&'static str> {
    let barrier = EngineRooms::barrier(need, engine, fleet, &RoomSettings::default());
    barrier.map(RoomBarrier::label)
}

fn first(memory_tokens: u64) -> RoomNeed {
    RoomNeed {
        memory_tokens,
        is_resumed: false,
    }
}

fn resumed(memory_tokens: u64) -> RoomNeed {
    RoomNeed {
        memory_tokens,
        is_resumed: true,
    }
}

/// Guards against instances whose parts overlap, and against memory that is nobody's.
#[test]
fn parts_cover_the_memory_once() {
    for instances in [1, 2, 7, 11, 12, 100, 300] {
        for part in [900, 1_000, 5_000, 20_000] {
            let parts = (0..instances).map(|rank| fixed_part(11_040, part, rank, instances));
            assert_eq!(
                parts.sum::<u64>(),
                11_040,
                "{instances} instances, {part} tokens"
            );
        }
    }
}

/// Guards against requests that others may have room for as well, unknown to each other.
#[test]
fn an_instance_uses_its_own_part_only() {
    let idle = engine(0, Load::default(), Load::default());
    assert_eq!(barrier(first(1_000), &idle, &FLEET), None);
    let busy = engine(0, load(1, 16), Load::default());
    assert_eq!(barrier(first(992), &busy, &FLEET), Some("own_room_taken"));
    assert_eq!(barrier(first(976), &busy, &FLEET), None);
    let last = engine(11, Load::default(), Load::default());
    assert_eq!(barrier(first(48), &last, &FLEET), Some("own_room_taken"));
}

/// Guards against work that ranks of before have left at an engine.
#[test]
fn what_others_tell_bounds_too() {
    let full = engine(0, Load::default(), load(10, 10_500));
    assert_eq!(barrier(first(1_000), &full, &FLEET), Some("no_memory"));
    let slots = engine(0, Load::default(), load(24, 100));
    assert_eq!(barrier(first(16), &slots, &FLEET), Some("no_slot"));
}

/// Guards against resumed streams that find what first attempts have left full.
#[test]
fn a_resumed_stream_may_use_the_last_part() {
    let full = engine(0, Load::default(), load(24, 11_040));
    assert_eq!(barrier(first(400), &full, &FLEET), Some("no_slot"));
    assert_eq!(barrier(resumed(400), &full, &FLEET), None);
    let last = engine(11, Load::default(), Load::default());
    assert_eq!(barrier(resumed(400), &last, &FLEET), None);
}

/// Guards against a request that is held back right before it is sent because it counts itself.
#[test]
fn a_request_does_not_count_against_itself() {
    let counted = EngineUse {
        counted_tokens: 992,
        ..engine(0, load(1, 992), load(23, 9_000))
    };
    assert_eq!(barrier(first(992), &counted, &FLEET), None);
}

/// Guards against a request that no engine takes because it is larger than a part.
#[test]
fn a_request_larger_than_a_part_takes_a_larger_one() {
    let idle = engine(0, Load::default(), Load::default());
    assert_eq!(barrier(first(5_008), &idle, &FLEET), None);
    assert_eq!(barrier(first(11_056), &idle, &FLEET), Some("no_memory"));
}

/// Guards against engines that crash because nobody knows what was sent before a kill of all.
#[test]
fn what_a_killed_fleet_has_sent_is_reserved_until_it_is_over() {
    let settings = RoomSettings::default();
    let usable = |up_ms: u64, peers_up_ms: &[u64], unknown: usize| {
        let others = OtherInstances { silent: 0, unknown };
        let fleet = FleetView::new(up_ms, peers_up_ms.iter().copied(), others, &settings);
        settings.usable_tokens(MEMORY_TOKENS, false, &fleet)
    };
    assert_eq!(usable(0, &[0, 0, 0], 0), 0);
    assert_eq!(usable(2_500, &[2_500, 2_500, 2_500], 0), 5_040);
    assert_eq!(usable(5_000, &[5_000, 5_000, 5_000], 0), 11_040);
    // Of one instance that starts anew, only its own part may be taken.
    assert_eq!(usable(0, &[60_000, 60_000, 60_000], 0), 8_040);
    // It doesn't know yet among how many the memory is divided.
    assert_eq!(usable(300, &[], 3), 0);
}

/// Guards against halves of a divided fleet that both use all of the memory.
#[test]
fn silent_instances_keep_their_parts() {
    let others = OtherInstances {
        silent: 6,
        unknown: 0,
    };
    let fleet = FleetView::new(60_000, [60_000; 5], others, &RoomSettings::default());
    assert_eq!(fleet.instances, 12);
    assert_eq!(fleet.former_fraction, 0.0);
}
