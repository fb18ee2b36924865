//! Counts the calls with current state that fleets of several sizes make.

use {
    insta::assert_snapshot,
    mangowalk_core::confirmation::{
        ConfirmationBound, ConfirmationReport, ConfirmationSettings, Confirmations, FollowedKind,
        KnownState,
    },
    std::fmt::Write,
};

const KIND: FollowedKind = FollowedKind::Configuration;
const READERS: usize = 2;
const STEP_MS: u64 = 5;

/// A fleet in which changes have to apply in time.
struct Fleet {
    instances: usize,
    /// Time within which a change must apply.
    apply_ms: u64,
    /// Time until all others have a report.
    report_ms: u64,
}

/// Fleets of the deployments' sizes. Instances of large ones take datagrams in turns.
const FLEETS: [Fleet; 4] = [
    Fleet {
        instances: 5,
        apply_ms: 2_000,
        report_ms: 5,
    },
    Fleet {
        instances: 100,
        apply_ms: 4_000,
        report_ms: 5,
    },
    Fleet {
        instances: 354,
        apply_ms: 4_000,
        report_ms: 60,
    },
    Fleet {
        instances: 987,
        apply_ms: 5_000,
        report_ms: 110,
    },
];

/// What the calls of a fleet come to.
#[derive(Default)]
struct Calls {
    /// Number of calls.
    count: u64,
    /// Largest number within a tenth of a second.
    most_at_once: u64,
    /// Longest time for which an instance had no confirmation.
    max_age_ms: u64,
}

/// Plays ten seconds in which the readers answer, or are cut off from the store for good.
/// Nobody takes their place, and the others confirm nothing to each other if `is_told` doesn't
/// hold, like the engine list in a large fleet.
fn play(fleet: &Fleet, readers_answer: bool, is_told: bool) -> Calls {
    let settings = ConfirmationSettings {
        configuration: ConfirmationBound::within(fleet.apply_ms),
        ..ConfirmationSettings::default()
    };
    let state = KnownState::default();
    let mut instances: Vec<Confirmations> = (0..fleet.instances)
        .map(|_| Confirmations::default())
        .collect();
    for instance in &mut instances {
        instance.record_current(0, 0);
    }
    let mut reports: Vec<(u64, ConfirmationReport)> = Vec::new();
    let mut sequence = 0;
    let mut calls_at = vec![0; 101];
    let mut max_age_ms = 0;
    for now_ms in (0..10_000).step_by(STEP_MS as usize) {
        let (due, later) = reports.into_iter().partition(|(at_ms, _)| *at_ms <= now_ms);
        reports = later;
        for (_, report) in due {
            for instance in &mut instances {
                instance.receive(&report, &state, now_ms);
            }
        }
        for (number, instance) in instances.iter_mut().enumerate() {
            let is_reader = number < READERS;
            if is_reader && !readers_answer {
                continue;
            }
            let place = number as f64 / fleet.instances as f64;
            max_age_ms = max_age_ms.max(instance.age_ms(KIND, now_ms).unwrap_or(now_ms));
            // The watches of two readers don't begin together.
            let interval_ms = settings.interval_ms() / STEP_MS * STEP_MS;
            let phase_ms = interval_ms * number as u64 / READERS as u64 / STEP_MS * STEP_MS;
            let asks = match is_reader {
                true => (now_ms + phase_ms).is_multiple_of(interval_ms),
                false => now_ms >= instance.unconfirmed_at_ms(KIND, &settings, 0, place),
            };
            if !asks {
                continue;
            }
            calls_at[(now_ms / 100) as usize] += 1;
            instance.record_current(0, now_ms);
            if is_told || is_reader {
                sequence += 1;
                let report = ConfirmationReport {
                    author: number.to_string(),
                    incarnation: 1,
                    sequence,
                    state: state.clone(),
                    ages: vec![(KIND, fleet.report_ms as u32)],
                };
                reports.push((now_ms + fleet.report_ms, report));
            }
        }
    }
    Calls {
        count: calls_at.iter().sum(),
        most_at_once: calls_at.iter().copied().max().unwrap_or(0),
        max_age_ms,
    }
}

/// The store's rate is shared by all instances, and each call has a price. Guards against a
/// fleet that reads current state all at once when its readers are lost.
#[test]
fn few_instances_read_current_state_at_any_size() {
    let mut table = String::from(
        "instances  case                               calls/s  within 0.1 s  oldest, ms\n",
    );
    for fleet in &FLEETS {
        let cases = [
            ("at rest", true, true),
            ("readers cut off", false, true),
            ("readers cut off, others can't tell", false, false),
        ];
        for (name, readers_answer, is_told) in cases {
            let calls = play(fleet, readers_answer, is_told);
            writeln!(
                table,
                "{:>9}  {name:<34} {:>8.1} {:>13} {:>11}",
                fleet.instances,
                calls.count as f64 / 10.0,
                calls.most_at_once,
                calls.max_age_ms,
            )
            .expect("a string takes all text");
            assert!(calls.max_age_ms < fleet.apply_ms);
        }
    }
    assert_snapshot!(table);
}
