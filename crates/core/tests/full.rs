//! What callers get under overload.
//!
//! A small model of engines that read prompts one after the other. Each
//! instance chooses and refuses by what it has sent itself and what the others
//! reported up to 200 ms before.

mod support;

use {
    mangowalk_core::{
        pool::{
            AdmitSettings, ChoiceSettings, EngineRequirements, KnownEngine, Load, PrefillRate,
            PromptPart, choose, retry_after_ms,
        },
        weights::VersionBounds,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::collections::VecDeque,
    support::{entry, exchange},
};

const INSTANCES: usize = 7;
const ENGINES: usize = 8;
const SESSIONS: u64 = 160;

/// Prefill rate of an engine.
const TOKENS_PER_MS: f64 = 41.4;

/// Target time of the first event, and the time after which callers give up.
const TARGET_MS: f64 = 800.0;
const DEADLINE_MS: f64 = 6_000.0;

/// Prompt tokens of the shared part and of the part of one request.
const SHARED_TOKENS: u32 = 6_300;
const OWN_TOKENS: u32 = 2_900;

/// Shared parts that the memory of an engine holds besides running requests.
const MEMORY_PARTS: usize = 12;

#[derive(Clone, Copy, PartialEq)]
enum Policy {
    /// The choice and the refusals of this crate.
    ChooseAndRefuse,
    /// The same choice without refusals.
    NeverRefuse,
    /// The engine with the fewest requests, without refusals.
    LeastLoaded,
}

#[derive(Default)]
struct Engine {
    free_ms: f64,
    parts: VecDeque<u64>,
    ends: Vec<(f64, usize, Load)>,
}

/// What callers got, as shares of all requests.
#[derive(Debug, Default)]
struct Outcome {
    on_time: f64,
    late: f64,
    refused: f64,
}

fn requirements(session: u64, own: u64) -> EngineRequirements {
    let part = |id, tokens| PromptPart { id, tokens };
    EngineRequirements {
        service: "llm".to_owned(),
        model: Some("model".to_owned()),
        memory_tokens: 9_250,
        prompt_tokens: u64::from(SHARED_TOKENS + OWN_TOKENS),
        parts: vec![
            part(session, SHARED_TOKENS),
            part(own + 1_000_000, OWN_TOKENS),
        ],
        isolation_salt: 0,
        domain: "a".to_owned(),
    }
}

/// Simulates ten seconds at `per_s` requests per second.
fn simulate(policy: Policy, per_s: f64, seed: u64) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut engines: Vec<Engine> = (0..ENGINES).map(|_| Engine::default()).collect();
    let mut known_engines: Vec<Vec<KnownEngine>> = (0..INSTANCES)
        .map(|_| {
            (0..ENGINES)
                .map(|n| KnownEngine::new(entry(n, 96)))
                .collect()
        })
        .collect();
    let (settings, admit) = (ChoiceSettings::default(), AdmitSettings::default());
    let rate = PrefillRate::default();
    let mut result = Outcome::default();
    let mut requests = 0.0;
    for now_ms in 0..10_000_u64 {
        let now = now_ms as f64;
        for engine in 0..ENGINES {
            let done: Vec<_> = engines[engine]
                .ends
                .extract_if(.., |end| end.0 <= now)
                .collect();
            for (_, instance, load) in done {
                known_engines[instance][engine].own.remove(load);
            }
        }
        if now_ms % 200 == 0 {
            exchange(&mut known_engines);
        }
        if !random.random_bool(per_s / 1_000.0) {
            continue;
        }
        requests += 1.0;
        let instance = random.random_range(0..INSTANCES);
        let session = random.random_range(0..SESSIONS);
        let requirements = requirements(session, now_ms);
        let chosen = match policy {
            Policy::LeastLoaded => {
                let loads = known_engines[instance].iter().enumerate();
                loads
                    .min_by_key(|(_, known)| known.load().requests)
                    .map(|(n, _)| n)
            }
            _ => {
                let all = known_engines[instance].iter();
                let draw = random.random();
                let best = choose(
                    all,
                    &requirements,
                    VersionBounds::default(),
                    82_259,
                    &settings,
                    draw,
                    now_ms,
                );
                let refused = best.and_then(|best| {
                    retry_after_ms(best, &rate, &admit, 2_900, 800, false, now_ms)
                });
                if policy == Policy::ChooseAndRefuse && refused.is_some() {
                    result.refused += 1.0;
                    continue;
                }
                best.and_then(|best| {
                    known_engines[instance]
                        .iter()
                        .position(|b| std::ptr::eq(b, best))
                })
            }
        };
        let engine = chosen.expect("all engines accept work");
        let waited = queue_prompt(&mut engines[engine], instance, session, now);
        let load = engines[engine]
            .ends
            .last()
            .expect("the request was just added")
            .2;
        known_engines[instance][engine].own.add(load);
        for known in &mut known_engines {
            known[engine].record_part(session, now_ms);
        }
        result.on_time += f64::from(u8::from(waited <= TARGET_MS));
        result.late += f64::from(u8::from(waited > TARGET_MS && waited <= DEADLINE_MS));
    }
    Outcome {
        on_time: result.on_time / requests,
        late: result.late / requests,
        refused: result.refused / requests,
    }
}

/// Adds a prompt to the queue of an engine, and returns the time until its
/// first event.
fn queue_prompt(engine: &mut Engine, instance: usize, session: u64, now: f64) -> f64 {
    let is_cached = engine.parts.contains(&session);
    engine.parts.retain(|part| *part != session);
    engine.parts.push_back(session);
    if engine.parts.len() > MEMORY_PARTS {
        engine.parts.pop_front();
    }
    let tokens = if is_cached {
        OWN_TOKENS
    } else {
        SHARED_TOKENS + OWN_TOKENS
    };
    engine.free_ms = engine.free_ms.max(now) + f64::from(tokens) / TOKENS_PER_MS;
    let load = Load {
        requests: 1,
        memory_tokens: SHARED_TOKENS + OWN_TOKENS,
        prefill_tokens: tokens,
        must_finish: 1,
    };
    engine.ends.push((engine.free_ms, instance, load));
    engine.free_ms - now
}

fn mean(policy: Policy, per_s: f64) -> Outcome {
    let all: Vec<Outcome> = (1..=5).map(|seed| simulate(policy, per_s, seed)).collect();
    let mean = |part: fn(&Outcome) -> f64| all.iter().map(part).sum::<f64>() / all.len() as f64;
    Outcome {
        on_time: mean(|result| result.on_time),
        late: mean(|result| result.late),
        refused: mean(|result| result.refused),
    }
}

/// With nearly twice the load that eight engines can read, most admitted
/// requests must still be on time. Requests that would wait too long are
/// refused, and each choice considers only a few engines, so that instances do
/// not all send to the engine that was idle at the last heartbeat. On time,
/// means of five seeds: 0.05 without refusals, with this choice or with the
/// fewest requests; 0.24 with refusals and all engines considered; 0.35 with
/// both.
#[test]
fn callers_are_served_on_time_under_overload() {
    let (ours, never, least) = (
        mean(Policy::ChooseAndRefuse, 80.0),
        mean(Policy::NeverRefuse, 80.0),
        mean(Policy::LeastLoaded, 80.0),
    );
    assert!(ours.on_time > 0.30, "{ours:?}");
    assert!(ours.on_time > 4.0 * never.on_time, "{ours:?} {never:?}");
    assert!(ours.on_time > 4.0 * least.on_time, "{ours:?} {least:?}");
    assert!(ours.late < 0.25, "{ours:?}");
}

/// Below capacity, fewer than 0.5 % of the requests may be refused. More than
/// 97 % must be on time, and no fewer than with the fewest requests, because
/// sessions reach the engines that have their parts cached.
#[test]
fn nothing_is_refused_while_there_is_room() {
    let (ours, least) = (
        mean(Policy::ChooseAndRefuse, 20.0),
        mean(Policy::LeastLoaded, 20.0),
    );
    assert!(ours.refused < 0.005, "{ours:?}");
    assert!(
        ours.on_time > 0.97 && ours.on_time >= least.on_time,
        "{ours:?} {least:?}"
    );
}
