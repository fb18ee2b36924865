//! Which answers of a new version count as slow.

use mangowalk_core::canary::{CanarySettings, RouteEvidence, Sample, Samples, VersionSamples};

fn samples(quick: (u32, f64), slow: (u32, f64)) -> Samples {
    let mut samples = Samples::default();
    for (count, took_ms) in [quick, slow] {
        for _ in 0..count {
            samples.record(Sample::Answered {
                took_ms: Some(took_ms),
            });
        }
    }
    samples
}

/// Returns whether a version whose answers take `slow_ms` in half of the cases counts as
/// slow beside one whose answers take `usual_ms`.
fn is_slow(usual_ms: f64, slow_ms: f64) -> bool {
    let results = VersionSamples {
        current: samples((1_000, usual_ms), (0, 0.0)),
        candidate: samples((30, usual_ms), (30, slow_ms)),
    };
    let mut evidence = RouteEvidence::default();
    let alarm = evidence.update(&results, &CanarySettings::default());
    alarm.is_some()
}

/// Guards against rolling back a good version because answers of about a millisecond take
/// a few milliseconds where the machine is busy: no caller notices, and times are measured
/// in whole milliseconds.
#[test]
fn answers_of_a_few_milliseconds_are_not_slow() {
    assert!(!is_slow(1.0, 2.0));
    assert!(!is_slow(1.0, 4.0));
    assert!(!is_slow(2.0, 8.0));
    assert!(is_slow(1.0, 20.0));
    assert!(is_slow(10.0, 30.0));
    assert!(is_slow(30.0, 90.0));
}
