//! The pace of engines: smoothing, reports, age, and the choice by it.

use {
    mangowalk_core::{
        capacity::{EnginePace, PaceReport, PaceSettings},
        pool::{
            AdmitSettings, ChoiceSettings, EngineEntry, EngineRequirements, EngineTable,
            Incarnation, KnownEngine, ModelVersion, PrefillRate, PrefillSample, PromptPart, choose,
            retry_after_ms,
        },
        weights::VersionBounds,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{collections::HashMap, fmt::Write},
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

/// Guards against reports that aren't applied, or are applied to another engine, after engines
/// were listed, started again and left.
#[test]
fn reports_find_the_latest_start_of_their_engine() {
    let settings = PaceSettings::default();
    let mut table = EngineTable::default();
    let entries: Vec<EngineEntry> = (0..20).map(|number| entry(number, 1)).collect();
    entries.iter().for_each(|entry| {
        table.apply_entry(entry.clone());
    });
    let restarted = entry(3, 2);
    table.apply_entry(restarted.clone());
    let mut find = |start: &Incarnation| {
        let found = table.apply_pace_report(&report(start, 300, 0), &settings, 5_000);
        found.map(|engine| engine.entry.incarnation.clone())
    };
    for entry in entries.iter().filter(|entry| entry.incarnation.id != "e3") {
        assert_eq!(find(&entry.incarnation).as_ref(), Some(&entry.incarnation));
    }
    assert_eq!(find(&entries[3].incarnation), None);
    assert_eq!(find(&restarted.incarnation), Some(restarted.incarnation));
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

/// Returns engines of which every second has the newest weights, idle and at their usual pace.
fn half_updated(count: usize) -> Vec<KnownEngine> {
    let mut engines: Vec<KnownEngine> =
        (0..count).map(|number| paced(number, 100, 1_000)).collect();
    for engine in engines.iter_mut().step_by(2) {
        engine.set_version("model", 2);
    }
    engines
}

/// Returns the share of requests that go to engines with the newest weights, which have been
/// published long enough that answers of older ones are worth less.
fn share_of_newest(engines: &[KnownEngine], newest_within_tokens: f64) -> f64 {
    let settings = ChoiceSettings {
        newest_within_tokens,
        ..ChoiceSettings::default()
    };
    let bounds = VersionBounds {
        newest: 2,
        min_preferred: 2,
        min_allowed: 1,
    };
    let draws = 2_000_u64;
    let newest = (0..draws).filter(|draw| {
        let draw = draw.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let requirements = requirements();
        let best = choose(
            engines.iter(),
            &requirements,
            bounds,
            110_000,
            &settings,
            draw,
            1_000,
        );
        best.is_some_and(|best| best.version("model") == 2)
    });
    newest.count() as f64 / draws as f64
}

/// Guards against answers of replaced weights while an engine with newer ones would answer within
/// the target, and against requests that are late or fail because of the preference.
#[test]
fn engines_with_the_newest_weights_are_preferred_within_the_target() {
    let mut engines = half_updated(20);
    for engine in engines.iter_mut().step_by(2) {
        engine.own.prefill_tokens = 10_000;
    }
    let (target_tokens, short_target_tokens) = (15_000.0, 5_000.0);
    assert!((share_of_newest(&engines, target_tokens) - 1.0).abs() < 1e-9);
    assert!(share_of_newest(&engines, short_target_tokens) < 0.5);
    let mut failing = engines.clone();
    for engine in failing.iter_mut().step_by(2) {
        for _ in 0..3 {
            engine
                .health
                .record_failure(&ChoiceSettings::default().health, 1_000);
        }
    }
    assert!(share_of_newest(&failing, target_tokens) < 0.5);
    // At a third of the pace, they would be late.
    for engine in engines.iter_mut().step_by(2) {
        let told = report(&engine.entry.incarnation, 300, 0);
        engine
            .pace
            .apply_report(&told, &PaceSettings::default(), 1_000);
    }
    assert!(share_of_newest(&engines, target_tokens) < 0.5);
}

/// Guards against all instances that send everything to the first engine with new weights before
/// they learn of each other's work.
#[test]
fn the_first_engine_with_new_weights_is_not_overrun() {
    let mut engines: Vec<KnownEngine> = (0..60).map(|number| paced(number, 100, 1_000)).collect();
    engines[3].set_version("model", 2);
    let share = share_of_newest(&engines, 15_000.0);
    // Twice its share of the speed, and its part of the other requests.
    assert!((1.0 / 60.0..5.0 / 60.0).contains(&share), "{share}");
}

/// Returns the rate that an instance assumes after some samples, of which a quarter were behind a
/// prompt that it doesn't know of.
fn learned(samples: usize, real_tokens_per_ms: f64, seed: u64) -> f64 {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut rate = PrefillRate::default();
    for _ in 0..samples {
        let slowdown = if random.random_bool(0.1) { 3.0 } else { 1.0 };
        let hidden = if random.random_bool(0.25) {
            2_890.0 * random.random::<f64>()
        } else {
            0.0
        };
        let took_ms = 4.0 + slowdown * (2_890.0 + hidden) / real_tokens_per_ms;
        rate.record_paced(PrefillSample {
            tokens: 2_890,
            took_ms: took_ms as u64,
            slowdown,
        });
    }
    rate.tokens_per_ms()
}

/// Guards against instances that assume a wrong prefill rate for a minute after their start, as
/// each sees few samples: at 89 instances, 1.5 a second.
#[test]
fn an_instance_learns_the_prefill_rate_within_seconds() {
    let mut table = String::new();
    for real in [40.0, 74.8, 112.0] {
        for samples in [1, 3, 5, 15, 60] {
            let mut rates: Vec<f64> = (0..89).map(|seed| learned(samples, real, seed)).collect();
            rates.sort_by(f64::total_cmp);
            let (low, median, high) = (rates[8], rates[44], rates[80]);
            let _ = writeln!(
                table,
                "{real:5} {samples:2}: {low:3.0} {median:3.0} {high:3.0}"
            );
            assert!(samples < 5 || median > 0.8 * real, "{table}");
            assert!(high < 1.1 * real, "{table}");
        }
    }
    insta::assert_snapshot!(table, @r"
       40  1:  35  39  39
       40  3:  35  38  39
       40  5:  35  37  39
       40 15:  36  37  38
       40 60:  35  37  37
     74.8  1:  44  59  59
     74.8  3:  56  62  65
     74.8  5:  59  63  66
     74.8 15:  63  65  67
     74.8 60:  64  66  68
      112  1:  58  80  80
      112  3:  78  87  91
      112  5:  83  90  94
      112 15:  91  94  97
      112 60:  93  96  99
    ");
}

/// Guards against another rate where engines tell no pace.
#[test]
fn the_prefill_rate_without_paces_is_learned_as_before() {
    let mut rate = PrefillRate::default();
    let mut expected = 40.0;
    for took_ms in [30, 60, 90, 20, 45] {
        rate.record(2_890, took_ms);
        expected = expected * 0.9 + 2_890.0 / took_ms as f64 * 0.1;
        assert!((rate.tokens_per_ms() - expected).abs() < 1e-9);
    }
}
