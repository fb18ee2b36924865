//! The pace of engines: smoothing, reports, age, and the choice by it.

use {
    mangowalk_core::{
        capacity::{EnginePace, PaceReport, PaceSettings},
        pool::{
            AdmitSettings, ChoiceSettings, EngineEntry, EngineRequirements, EngineTable,
            Incarnation, KnownEngine, ModelVersion, PrefillRate, PromptPart, choose,
            retry_after_ms,
        },
        weights::VersionBounds,
    },
    std::collections::HashMap,
};

fn entry(number: usize, born_ms: u64) -> EngineEntry {
    EngineEntry {
        incarnation: Incarnation {
            id: format!("e{number}"),
            born_ms,
        },
        revision: 1,
        service: "llm".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: "a".to_owned(),
        slots: 32,
        draining: false,
        models: vec![ModelVersion {
            model: "model".to_owned(),
            version: 1,
        }],
        cold_left_ms: 0,
        software: String::new(),
    }
}

fn requirements() -> EngineRequirements {
    let part = |id, tokens| PromptPart { id, tokens };
    EngineRequirements {
        service: "llm".to_owned(),
        model: Some("model".to_owned()),
        memory_tokens: 3_000,
        prompt_tokens: 2_890,
        parts: vec![part(7, 2_890)],
        isolation_salt: 0,
        domain: "a".to_owned(),
    }
}

fn report(start: &Incarnation, pace_percent: u32, age_ms: u32) -> PaceReport {
    PaceReport {
        start: start.short_hash(),
        pace_percent,
        age_ms,
    }
}

/// Returns an engine that has named a pace at the given time.
fn paced(number: usize, pace_percent: u32, at_ms: u64) -> KnownEngine {
    let mut engine = KnownEngine::new(entry(number, 1));
    let told = report(&engine.entry.incarnation, pace_percent, 0);
    assert!(
        engine
            .pace
            .apply_report(&told, &PaceSettings::default(), at_ms)
    );
    engine
}

/// Returns how often each engine is chosen.
fn chosen(engines: &[KnownEngine], now_ms: u64) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for draw in 0..2_000_u64 {
        let best = choose(
            engines.iter(),
            &requirements(),
            VersionBounds::default(),
            110_000,
            &ChoiceSettings::default(),
            draw.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            now_ms,
        );
        let best = best.expect("an engine is chosen");
        *counts.entry(best.entry.incarnation.id.clone()).or_default() += 1;
    }
    counts
}

/// Guards against an engine that stays slow, or turns usual at once for all instances, after its
/// last report.
#[test]
fn a_pace_fades_to_the_usual_one() {
    let engine = paced(0, 300, 1_000);
    let slowdowns: Vec<String> = [1_000, 1_500, 2_000, 2_500, 3_000, 60_000]
        .iter()
        .map(|&now_ms| {
            format!(
                "{now_ms} {:.2} {:?}",
                engine.slowdown(now_ms),
                engine.pace.age_ms(now_ms)
            )
        })
        .collect();
    insta::assert_snapshot!(slowdowns.join("\n"), @r"
    1000 3.00 Some(0)
    1500 3.00 Some(500)
    2000 2.33 Some(1000)
    2500 1.67 Some(1500)
    3000 1.00 None
    60000 1.00 None
    ");
}

/// Guards against figures that follow each outlier, and against instances that learn of a slow
/// engine late: the engine answers another instance every 125 ms.
#[test]
fn instances_smooth_a_common_figure() {
    let settings = PaceSettings::default();
    let mut instances = vec![EnginePace::default(); 89];
    let mut sent = Vec::new();
    for turn in 0..64_u64 {
        let now_ms = 10_000 + turn * 125;
        let named = if (16..40).contains(&turn) {
            300
        } else {
            [100, 115, 90][turn as usize % 3]
        };
        let at = turn as usize % instances.len();
        let Some(pace_percent) = instances[at].record(named, &settings, now_ms) else {
            continue;
        };
        sent.push(format!("{} {pace_percent}", now_ms - 10_000));
        let report = PaceReport {
            start: 0,
            pace_percent,
            age_ms: 0,
        };
        for pace in &mut instances {
            pace.apply_report(&report, &settings, now_ms + 5);
        }
        // What all instances assume within a second of either change.
        for pace in &instances {
            let slowdown = pace.slowdown(now_ms + 5);
            let is_slow = (24..40).contains(&turn);
            let is_usual = !(16..48).contains(&turn);
            assert!(!is_slow || slowdown > 2.2, "{now_ms} {slowdown}");
            assert!(!is_usual || slowdown < 1.4, "{now_ms} {slowdown}");
        }
    }
    insta::assert_snapshot!(sent.join("\n"), @r"
    2000 250
    2875 278
    3875 280
    4875 280
    5125 174
    5500 114
    ");
}

/// Guards against an effect of absurd, outdated or repeated reports, and of those on a former
/// start of an engine.
#[test]
fn reports_that_cannot_be_right_have_no_effect() {
    let settings = PaceSettings::default();
    let mut table = EngineTable::default();
    let (former, present) = (entry(0, 1), entry(0, 2));
    table.apply_entry(present.clone());
    let start = &present.incarnation;
    for dropped in [
        report(&former.incarnation, 300, 0),
        report(start, 0, 0),
        report(start, 5, 0),
        report(start, u32::MAX, 0),
        report(start, 300, 2_000),
    ] {
        assert!(
            table
                .apply_pace_report(&dropped, &settings, 5_000)
                .is_none(),
            "{dropped:?}"
        );
    }
    assert_eq!(
        table.record_pace(&former.incarnation, 300, &settings, 5_000),
        None
    );
    assert_eq!(table.record_pace(start, 0, &settings, 5_000), None);
    assert!(table.slowed_engines(&settings, 5_000).next().is_none());
    assert!(
        table
            .apply_pace_report(&report(start, 300, 10), &settings, 5_000)
            .is_some()
    );
    let older = report(start, 150, 50);
    assert!(table.apply_pace_report(&older, &settings, 5_000).is_none());
    assert_eq!(table.slowed_engines(&settings, 5_000).count(), 1);
    table.apply_entry(entry(0, 3));
    assert!(table.slowed_engines(&settings, 5_000).next().is_none());
}

/// Guards against an engine that attracts all requests, or gets none, because of the pace that it
/// names.
#[test]
fn an_extreme_pace_is_limited() {
    assert!((paced(0, 10, 1_000).slowdown(1_000) - 0.5).abs() < 1e-9);
    assert!((paced(0, 10_000, 1_000).slowdown(1_000) - 20.0).abs() < 1e-9);
}

/// Guards against a slow engine that gets as much work as others, and against one that is still
/// avoided when its pace is usual again.
#[test]
fn a_slow_engine_gets_a_reduced_share() {
    let mut engines: Vec<KnownEngine> = (0..6).map(|number| paced(number, 100, 1_000)).collect();
    let usual = chosen(&engines, 1_000);
    let home = usual
        .iter()
        .max_by_key(|(_, count)| **count)
        .map(|(id, _)| id.clone());
    let home = home.expect("one is chosen");
    let slowed = engines
        .iter_mut()
        .find(|engine| engine.entry.incarnation.id != home);
    let slowed = slowed.expect("there are others");
    let id = slowed.entry.incarnation.id.clone();
    let told = report(&slowed.entry.incarnation, 300, 0);
    slowed
        .pace
        .apply_report(&told, &PaceSettings::default(), 1_100);
    let count = |counts: &HashMap<String, usize>| counts.get(&id).copied().unwrap_or(0);
    let slow = chosen(&engines, 1_100);
    let after = chosen(&engines, 3_100);
    assert!(count(&slow) * 3 <= count(&usual), "{usual:?} {slow:?}");
    assert_eq!(count(&after), count(&usual), "{usual:?} {after:?}");
}

/// Guards against requests that are sent into the queue of a slow engine and are late.
#[test]
fn the_predicted_wait_counts_the_pace() {
    let wait = |pace_percent| {
        let mut engine = paced(0, pace_percent, 1_000);
        engine.own.prefill_tokens = 10_000;
        let (rate, settings) = (PrefillRate::default(), AdmitSettings::default());
        retry_after_ms(&engine, &rate, &settings, 0, 800, false, 1_000)
    };
    assert_eq!(wait(100), None);
    assert_eq!(wait(200), None);
    assert_eq!(wait(300), Some(430));
}
