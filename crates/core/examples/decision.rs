//! Makes placement decisions, to count their instructions.
//!
//! Usage: `decision ENGINES DECISIONS [events]`. The script
//! scripts/decision-cost runs it under callgrind with two numbers of decisions
//! and divides the difference.

use {
    mangowalk_core::{
        engine::{CacheChange, CacheEvents, EngineState, LoadReport},
        placement::{EngineSpec, Placement, PlacementRequest, PlacementSettings},
    },
    std::{collections::HashSet, env, hint::black_box},
};

/// Number of hot prefixes, their blocks, and the new blocks of each request.
const PREFIXES: u64 = 64;
const SHARED_BLOCKS: u64 = 160;
const OWN_BLOCKS: u64 = 8;

fn main() {
    let args: Vec<String> = env::args().skip(1).collect();
    let number = |at: usize| args.get(at).and_then(|a| a.parse::<usize>().ok());
    let (Some(engines), Some(decisions)) = (number(0), number(1)) else {
        eprintln!("usage: decision ENGINES DECISIONS [events]");
        return;
    };
    let events = args.get(2).is_some_and(|a| a == "events");
    let mut placement = placement(engines, events);
    // Records every prefix before the decisions that are counted.
    for i in 0..PREFIXES * 4 {
        decide(&mut placement, i);
    }
    for i in 0..decisions as u64 {
        decide(&mut placement, i);
    }
}

fn placement(engines: usize, events: bool) -> Placement {
    let settings = PlacementSettings {
        instances: 7,
        ..PlacementSettings::default()
    };
    let mut placement = Placement::new(settings, 1);
    let specs: Vec<EngineSpec> = (0..engines)
        .map(|i| EngineSpec {
            name: format!("engine-{i:03}"),
            model: "drafting".to_owned(),
            in_same_domain: i % 4 == 0,
            departing: false,
        })
        .collect();
    placement.set_engines(&specs);
    for (i, spec) in specs.iter().enumerate() {
        placement.report(&spec.name, Some(&state(i)));
        if events && placement.next_event_sequence(&spec.name).is_some() {
            placement.cache_events(&spec.name, &stored(i as u64));
        }
    }
    placement
}

fn state(engine: usize) -> EngineState {
    EngineState {
        incarnation: 1,
        model: "drafting".to_owned(),
        version: "v1".to_owned(),
        load: LoadReport {
            running: (engine % 12) as u32,
            waiting: 0,
            slots: 16,
        },
        ..EngineState::default()
    }
}

/// Returns the cache events of an engine: each holds every fourth prefix.
fn stored(engine: u64) -> CacheEvents {
    let held = (0..PREFIXES).filter(|p| p % 4 == engine % 4);
    let changes = held
        .flat_map(|p| chain(p, 0).into_iter().take(SHARED_BLOCKS as usize))
        .map(CacheChange::Stored);
    CacheEvents {
        incarnation: 1,
        first_sequence: 0,
        changes: changes.collect(),
    }
}

fn chain(prefix: u64, request: u64) -> Vec<u64> {
    let shared = (0..SHARED_BLOCKS).map(|i| digest(prefix + 1, i));
    let own = (0..OWN_BLOCKS).map(|i| digest(request + 1_000_000, i));
    shared.chain(own).collect()
}

fn digest(seed: u64, number: u64) -> u64 {
    (seed * 1_000_003 + number).wrapping_mul(0x9E37_79B9_7F4A_7C15)
}

fn decide(placement: &mut Placement, number: u64) {
    let chain = chain(number * 7 % PREFIXES, number);
    let none = HashSet::new();
    let request = PlacementRequest {
        model: "drafting",
        version: "v1",
        chain: &chain,
        cache_store_blocks: 0,
        avoid: &none,
        is_usable: &|_| true,
        waited_ms: 0,
        queued: 0,
        force: true,
    };
    let now_ms = number * 10;
    if let Some(mut choice) = placement.choose(&request, now_ms) {
        placement.sent(&mut choice, &chain, now_ms);
        placement.first_token(&mut choice, now_ms + 5);
        placement.ended(&choice, Some(choice.held_blocks), now_ms + 9);
        black_box(&choice);
    }
}
