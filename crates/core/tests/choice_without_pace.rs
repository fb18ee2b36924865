//! Choice among engines that never tell their pace.

use {
    mangowalk_core::{
        pool::{
            ChoiceSettings, EngineEntry, EngineRequirements, HealthSettings, Incarnation,
            KnownEngine, Load, ModelVersion, PromptPart, WorkPause, choose,
        },
        weights::VersionBounds,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::fmt::Write,
};

const NOW_MS: u64 = 10_000;

fn engine(number: usize, random: &mut SmallRng) -> KnownEngine {
    let mut engine = KnownEngine::new(EngineEntry {
        incarnation: Incarnation {
            id: format!("e{number}"),
            born_ms: 1,
        },
        revision: 1,
        service: "llm".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: ["a", "b", "c"][number % 3].to_owned(),
        slots: random.random_range(4..32),
        draining: false,
        models: vec![ModelVersion {
            model: "model".to_owned(),
            version: random.random_range(1..4),
        }],
        cold_left_ms: 0,
        software: String::new(),
    });
    let mut load = || Load {
        requests: random.random_range(0..16),
        memory_tokens: random.random_range(0..60_000),
        prefill_tokens: random.random_range(0..8_000),
        must_finish: 0,
    };
    (engine.own, engine.others) = (load(), load());
    if random.random_bool(0.2) {
        let settings = HealthSettings::default();
        engine.health.record_failure(&settings, NOW_MS - 500);
    }
    if random.random_bool(0.1) {
        engine.pause = Some(WorkPause {
            version: 0,
            until_ms: NOW_MS + 100,
        });
    }
    for part in 1..4 {
        if random.random_bool(0.3) {
            engine.record_part(part, NOW_MS - random.random_range(0..5_000));
        }
    }
    engine
}

fn requirements(with_model: bool, random: &mut SmallRng) -> EngineRequirements {
    let part = |id, tokens| PromptPart { id, tokens };
    let own_tokens = random.random_range(100..3_000);
    let parts = vec![
        part(random.random_range(1..4), 2_000),
        part(random.random_range(10..20), own_tokens),
    ];
    EngineRequirements {
        service: "llm".to_owned(),
        model: with_model.then(|| "model".to_owned()),
        memory_tokens: if with_model { 6_000 } else { 0 },
        prompt_tokens: if with_model {
            2_000 + u64::from(own_tokens)
        } else {
            0
        },
        parts: if with_model { parts } else { Vec::new() },
        isolation_salt: 0,
        domain: "a".to_owned(),
    }
}

/// Guards against another choice in deployments whose engines tell no pace. The snapshot was
/// taken from the choice that knew no paces.
#[test]
fn engines_that_tell_no_pace_are_chosen_as_before() {
    let mut random = SmallRng::seed_from_u64(11);
    let mut chosen = String::new();
    for count in [1, 3, 9, 60] {
        for with_model in [false, true] {
            let oldest = u64::from(with_model);
            let bounds = VersionBounds {
                newest: 3 * oldest,
                min_preferred: 2 * oldest,
                min_allowed: oldest,
            };
            let _ = write!(chosen, "{count} engines, model {with_model}:");
            for _ in 0..60 {
                let engines: Vec<KnownEngine> = (0..count)
                    .map(|number| engine(number, &mut random))
                    .collect();
                let requirements = requirements(with_model, &mut random);
                let settings = ChoiceSettings {
                    newest_within_tokens: 1_000_000.0,
                    ..ChoiceSettings::default()
                };
                let draw = random.random();
                let best = choose(
                    engines.iter(),
                    &requirements,
                    bounds,
                    110_000,
                    &settings,
                    draw,
                    NOW_MS,
                );
                let id = best.map_or("-", |best| best.entry.incarnation.id.as_str());
                let _ = write!(chosen, " {id}");
            }
            chosen.push('\n');
        }
    }
    insta::assert_snapshot!(chosen);
}
