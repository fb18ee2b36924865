//! Plays whole roll-outs of good and bad versions in a simulated fleet.

use {
    super::{
        fleet::{FleetModel, Played, play},
        versions,
    },
    mangowalk_core::canary::{ExposureLimits, Outcome},
};

/// Seeds of each version. The example `canary_outcomes` plays more.
const SEEDS: std::ops::Range<u64> = 0..5;

fn plays(
    models: Vec<(&'static str, FleetModel)>,
) -> impl Iterator<Item = (&'static str, u64, FleetModel, Played)> {
    models.into_iter().flat_map(|(name, model)| {
        SEEDS.map(move |seed| (name, seed, model.clone(), play(&model, seed)))
    })
}

/// A version that fails a fifth of its answers or more, or is three times slower, must
/// not replace a sound one, whenever and wherever it shows.
#[test]
fn bad_versions_are_rolled_back() {
    let is_clear = |name: &str| !name.starts_with("fails 5%");
    for (name, seed, _, played) in plays(versions::bad()).filter(|(name, ..)| is_clear(name)) {
        assert_eq!(played.outcome, Some(Outcome::RolledBack), "{name}, {seed}");
    }
}

/// A bad version gets no more requests than the platform allows, also where messages
/// are lost, instances restart or are cut off.
#[test]
fn bad_versions_get_few_requests() {
    let limits = ExposureLimits::default();
    for (name, seed, _, played) in plays(versions::bad()) {
        if played.outcome == Some(Outcome::RolledBack) {
            let is_over = played.is_over_exposed(&limits);
            assert!(!is_over, "{name}, {seed}: {played:?}");
        }
    }
}

/// An order must end in time, so that operators aren't left with two versions, and no
/// request may run at the old engines when they stop.
#[test]
fn orders_end_in_time_and_cut_off_nothing() {
    for (name, seed, model, played) in plays(versions::good()) {
        assert!(played.outcome.is_some(), "{name}, {seed}");
        if model.troubles.cut_off == 0.0 {
            assert_eq!(played.cut_off, 0, "{name}, {seed}");
        }
    }
}

/// A sound version of a service with a few hundred requests a second replaces the old
/// one: a comparison that never clears it would make orders useless.
#[test]
fn good_versions_of_busy_services_complete() {
    let is_busy = |name: &str| name.contains("model engines") || name.contains("354");
    for (name, seed, model, played) in plays(versions::good()).filter(|(name, ..)| is_busy(name)) {
        assert_eq!(played.outcome, Some(Outcome::Completed), "{name}, {seed}");
        assert!(played.decided_ms <= model.duration_ms, "{name}, {seed}");
    }
}
