//! Parts of prompts that crash engines.

use {
    mangowalk_core::{
        crash_part::{
            CompletedPart, CrashEvidence, CrashPartSettings, EngineCrash, PartDecision,
            RecentAnswers, RejectedPart, RejectedParts, arbiters, is_trial_instance,
            reported_parts,
        },
        pool::{EngineRequirements, PromptPart},
    },
    std::collections::BTreeSet,
};

/// First part of all prompts.
const COMMON: u64 = 1;

const CRASHING: u64 = 2;

/// A part of sound requests only.
const SOUND: u64 = 7;

const MINUTE_MS: u64 = 60_000;

/// An arbiter and what it has decided, as text with the time.
#[derive(Default)]
struct Arbiter {
    evidence: CrashEvidence,
    rejected: BTreeSet<u64>,
    decided: Vec<String>,
}

impl Arbiter {
    fn crash(&mut self, number: u64, prompts: &[&[u64]], now_ms: u64) {
        let crash = EngineCrash {
            service: "llm".to_owned(),
            crash: number,
            age_ms: 0,
            prompts: prompts.iter().map(|parts| parts.to_vec()).collect(),
        };
        self.evidence.record_crash(&crash, now_ms);
        self.decide(now_ms);
    }

    /// Completes answers of sound requests that share only the first part with others.
    fn answer(&mut self, count: usize, parts: &[u64], now_ms: u64) {
        for _ in 0..count {
            self.evidence.record_answer("llm", parts, now_ms);
        }
        self.decide(now_ms);
    }

    fn decide(&mut self, now_ms: u64) {
        let settings = CrashPartSettings::default();
        let is_known = |part| self.rejected.contains(&part);
        for decision in self.evidence.decide(is_known, &settings, now_ms) {
            if let PartDecision::Reject(part) = decision {
                self.rejected.insert(part);
            }
            self.decided.push(format!("{now_ms} {decision:?}"));
        }
    }
}

/// Guards against a part that crashes engines and isn't told from the sound parts beside it.
#[test]
fn the_part_that_never_completes_is_rejected() {
    let mut arbiter = Arbiter::default();
    for number in 0..4 {
        let now_ms = 1_000 + 200 * number;
        arbiter.crash(
            number,
            &[&[COMMON, CRASHING], &[COMMON, 100 + number]],
            now_ms,
        );
        arbiter.answer(3, &[COMMON, SOUND], now_ms + 100);
    }
    insta::assert_debug_snapshot!(arbiter.decided, @r#"
    [
        "1200 Watch(2)",
        "1400 Reject(2)",
    ]
    "#);
}

/// Guards against parts that are blamed for engines which end together.
#[test]
fn engines_that_end_together_speak_against_no_part() {
    let mut arbiter = Arbiter::default();
    for number in 0..8 {
        arbiter.crash(number, &[&[COMMON, CRASHING]], 1_000 + 4 * number);
    }
    arbiter.answer(20, &[SOUND], 3_000);
    insta::assert_debug_snapshot!(arbiter.decided, @"[]");
}

/// Guards against a rare part that is blamed as it was on one of the engines that ended in
/// each of several waves.
#[test]
fn a_part_on_few_of_the_engines_that_end_together_is_not_blamed() {
    let mut arbiter = Arbiter::default();
    for wave in 0..4 {
        let now_ms = 1_000 + 300 * wave;
        arbiter.crash(10 * wave, &[&[COMMON, CRASHING]], now_ms);
        for number in 1..4 {
            arbiter.crash(
                10 * wave + number,
                &[&[COMMON, 100 + number + 10 * wave]],
                now_ms,
            );
        }
        arbiter.answer(5, &[COMMON, SOUND], now_ms + 200);
    }
    let blamed = arbiter
        .decided
        .iter()
        .any(|decided| decided.contains("(2)"));
    assert!(!blamed, "{:?}", arbiter.decided);
}

/// Guards against a service that refuses everything as all its engines are lost one after the
/// other and nothing completes.
#[test]
fn no_part_is_rejected_while_nothing_else_completes() {
    let mut arbiter = Arbiter::default();
    for number in 0..8 {
        arbiter.crash(number, &[&[COMMON, 100 + number]], 1_000 + 500 * number);
    }
    arbiter.decide(6_000);
    assert_eq!(arbiter.rejected, BTreeSet::new());
}

/// Guards against a shared part that is rejected although answers on it are completed, by
/// this instance or by another.
#[test]
fn a_completed_answer_clears_a_part() {
    let mut arbiter = Arbiter::default();
    for number in 0..6 {
        let now_ms = 1_000 + 300 * number;
        arbiter.crash(number, &[&[COMMON, CRASHING]], now_ms);
        arbiter.answer(3, &[SOUND], now_ms + 10);
        let completed = [CRASHING, COMMON].map(|part| CompletedPart { part, age_ms: 5 });
        arbiter.evidence.record_completed(&completed, now_ms + 20);
    }
    assert_eq!(arbiter.rejected, BTreeSet::new());
}

/// Guards against answers between two crashes that don't count as they were completed before
/// the part was watched.
#[test]
fn answers_before_a_part_is_watched_clear_it_of_earlier_crashes() {
    let mut arbiter = Arbiter::default();
    for number in 0..3 {
        let now_ms = 1_000 + 1_000 * number;
        arbiter.crash(number, &[&[COMMON, CRASHING]], now_ms);
        arbiter.answer(3, &[SOUND], now_ms + 1);
        // What an instance answers to the watch: its last answers were before this crash.
        let completed = [CRASHING, COMMON].map(|part| CompletedPart { part, age_ms: 200 });
        arbiter.evidence.record_completed(&completed, now_ms + 10);
        arbiter.decide(now_ms + 300);
    }
    assert_eq!(arbiter.rejected, BTreeSet::new());
}

/// Guards against a decision long after the instances were asked, as they no longer tell of
/// answers then.
#[test]
fn instances_are_asked_again_before_a_late_decision() {
    let mut arbiter = Arbiter::default();
    for now_ms in [1_000, 5_000, 45_000] {
        arbiter.crash(now_ms, &[&[CRASHING]], now_ms);
        arbiter.answer(5, &[SOUND], now_ms + 100);
    }
    let completed = CompletedPart {
        part: CRASHING,
        age_ms: 10_000,
    };
    arbiter.evidence.record_completed(&[completed], 45_110);
    arbiter.decide(45_400);
    insta::assert_debug_snapshot!(arbiter.decided, @r#"
    [
        "5000 Watch(2)",
        "45000 Watch(2)",
    ]
    "#);
}

/// Guards against memory of answers that grows with the parts that callers invent.
#[test]
fn recent_answers_are_bounded_and_keep_the_latest() {
    let mut answers = RecentAnswers::default();
    for part in 0..100_000 {
        answers.record(&[part, COMMON], part);
    }
    assert!(answers.len() <= 4_096, "{} kept", answers.len());
    assert_eq!(answers.last_ms(COMMON), Some(99_999));
    assert_eq!(answers.last_ms(99_000), Some(99_000));
}

/// Guards against a wide part that is rejected with the narrow one that crashes engines, and
/// against a culprit that is hidden behind a narrower part.
#[test]
fn the_narrowest_part_is_rejected_first_and_the_wider_one_if_crashes_go_on() {
    let mut arbiter = Arbiter::default();
    for number in 0..3 {
        let now_ms = 1_000 + 200 * number;
        arbiter.crash(number, &[&[CRASHING, 30]], now_ms);
        arbiter.answer(3, &[SOUND], now_ms + 190);
    }
    assert_eq!(arbiter.rejected, BTreeSet::from([30]));
    arbiter.crash(4, &[&[CRASHING, 31]], 2_000);
    arbiter.answer(3, &[SOUND], 2_010);
    arbiter.decide(2_200);
    assert_eq!(arbiter.rejected, BTreeSet::from([CRASHING, 30]));
}

/// Guards against crashes that add up over so long a time that they have other causes.
#[test]
fn old_crashes_no_longer_count() {
    let mut arbiter = Arbiter::default();
    for number in 0..5 {
        let now_ms = 1_000 + 2 * MINUTE_MS * number;
        arbiter.crash(number, &[&[COMMON, CRASHING]], now_ms);
        arbiter.answer(5, &[SOUND], now_ms + 500);
    }
    insta::assert_debug_snapshot!(arbiter.decided, @"[]");
}

/// Guards against evidence that grows with the parts that callers invent.
#[test]
fn invented_parts_do_not_grow_a_report_without_bound() {
    let mut crash = EngineCrash {
        service: "llm".to_owned(),
        crash: 1,
        age_ms: 0,
        prompts: BTreeSet::new(),
    };
    for number in 0..10_000 {
        let first = 100 * number;
        crash.add_prompt(&(first..first + 16).collect::<Vec<u64>>());
    }
    assert_eq!(crash.prompts.len(), 32);
    let mut arbiter = Arbiter::default();
    for number in 0..10_000 {
        let crash = EngineCrash {
            crash: number,
            service: format!("service-{}", number % 1_000),
            ..crash.clone()
        };
        arbiter.evidence.record_crash(&crash, number);
    }
    let kept = format!("{:?}", arbiter.evidence).matches("Crash {").count();
    assert!(kept <= 256 * 64, "{kept} crashes kept");
}

/// Guards against a part that is refused for ever, and against a trial at each instance.
#[test]
fn one_instance_tries_a_part_after_its_term() {
    let settings = CrashPartSettings::default();
    let mut parts = RejectedParts::default();
    parts.reject(CRASHING, &settings, 0);
    let term_ms = settings.term_ms;
    let mut seen = Vec::new();
    for (now_ms, may_try) in [
        (term_ms - 1, true),
        (term_ms + 1, false),
        (term_ms + 1, true),
        (term_ms + 2, true),
        (term_ms + 1 + settings.trial_interval_ms, true),
        (10 * term_ms, false),
    ] {
        let is_rejected = parts.rejects(CRASHING, may_try, &settings, now_ms);
        seen.push((now_ms, may_try, is_rejected));
    }
    insta::assert_debug_snapshot!(seen, @"
    [
        (
            59999,
            true,
            true,
        ),
        (
            60001,
            false,
            true,
        ),
        (
            60001,
            true,
            false,
        ),
        (
            60002,
            true,
            true,
        ),
        (
            120001,
            true,
            false,
        ),
        (
            600000,
            false,
            false,
        ),
    ]
    ");
    let names = ["m0", "m1", "m2"];
    let trying = names.iter().filter(|own| {
        let peers = names.iter().filter(|name| name != own).copied();
        is_trial_instance(CRASHING, own, peers)
    });
    assert_eq!(trying.count(), 1);
}

/// Guards against a trial that crashes an engine each minute.
#[test]
fn a_part_that_crashes_an_engine_in_a_trial_is_rejected_for_longer() {
    let settings = CrashPartSettings::default();
    let mut parts = RejectedParts::default();
    let mut now_ms = 0;
    let mut terms_ms = Vec::new();
    for _ in 0..6 {
        parts.reject(CRASHING, &settings, now_ms);
        let term_ms = parts
            .report(CRASHING, now_ms)
            .map_or(0, |part| part.term_ms);
        terms_ms.push(term_ms);
        now_ms += term_ms + 1;
    }
    assert_eq!(
        terms_ms,
        [60_000, 120_000, 240_000, 480_000, 960_000, 1_920_000]
    );
}

/// Guards against an older message that brings back a part that was found to be sound.
#[test]
fn the_latest_word_on_a_part_holds_in_any_order() {
    let settings = CrashPartSettings::default();
    let mut teller = RejectedParts::default();
    teller.reject(CRASHING, &settings, 1_000);
    let rejected = teller.reports(1_100);
    teller.accept(CRASHING, 2_000);
    let accepted = teller.reports(2_100);
    let merged = |told: [&[RejectedPart]; 2]| {
        let mut parts = RejectedParts::default();
        for told in told {
            // Both arrive at about the time at which they were written.
            let now_ms = if told[0].is_rejected { 1_100 } else { 2_100 };
            parts.merge(told, now_ms);
        }
        parts.rejects(CRASHING, false, &settings, 3_000)
    };
    assert!(!merged([&rejected, &accepted]));
    assert!(!merged([&accepted, &rejected]));
    assert!(merged([&rejected, &rejected]));
}

/// Guards against arbiters that change for all services when one instance leaves.
#[test]
fn the_others_stay_arbiters_when_one_leaves() {
    let names: Vec<String> = (0..50).map(|number| format!("m{number}")).collect();
    let of = |left: &str| {
        let names = names.iter().map(String::as_str);
        arbiters("llm", names.filter(|name| *name != left), 3)
    };
    let before = of("");
    let after = of(before[0]);
    assert_eq!(after[..2], before[1..]);
}

/// Guards against a prompt of many parts whose first one isn't reported, or whose own last
/// part is.
#[test]
fn the_first_and_last_shared_parts_of_a_long_prompt_are_reported() {
    let prompt = |count: u64| EngineRequirements {
        service: "llm".to_owned(),
        model: Some("model".to_owned()),
        memory_tokens: 0,
        prompt_tokens: 0,
        parts: (0..count).map(|id| PromptPart { id, tokens: 1 }).collect(),
        isolation_salt: 7,
        domain: "a".to_owned(),
    };
    let reported = |count: u64| reported_parts(&prompt(count));
    insta::assert_debug_snapshot!(
        [reported(0), reported(1), reported(3), reported(500)].map(|parts| format!("{parts:?}")),
        @r#"
    [
        "[]",
        "[]",
        "[0, 1]",
        "[0, 1, 2, 3, 4, 5, 6, 7, 491, 492, 493, 494, 495, 496, 497, 498]",
    ]
    "#
    );
}
