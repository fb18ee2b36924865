//! Helpers for tests that simulate a loaded fleet.

use mangowalk_core::pool::{EngineEntry, Incarnation, KnownEngine, Load, ModelVersion};

/// Returns an engine list entry of an engine that serves one model.
pub(crate) fn entry(number: usize, slots: u32) -> EngineEntry {
    EngineEntry {
        incarnation: Incarnation {
            id: format!("e{number}"),
            born_ms: 1,
        },
        revision: 1,
        service: "llm".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: "a".to_owned(),
        slots,
        draining: false,
        models: vec![ModelVersion {
            model: "model".to_owned(),
            version: 1,
        }],
        cold_left_ms: 0,
    }
}

/// Exchanges load reports between all instances: sets the load that each
/// instance knows the others have placed on each engine. `beliefs` is indexed
/// by instance, then by engine.
pub(crate) fn exchange(beliefs: &mut [Vec<KnownEngine>]) {
    for engine in 0..beliefs.first().map_or(0, Vec::len) {
        let own: Vec<Load> = beliefs.iter().map(|belief| belief[engine].own).collect();
        for (at, belief) in beliefs.iter_mut().enumerate() {
            let mut others = Load::default();
            for (other, load) in own.iter().enumerate() {
                if other != at {
                    others.add(*load);
                }
            }
            belief[engine].others = others;
        }
    }
}
