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
        software: String::new(),
    }
}

/// Exchanges load reports between all instances: sets the load that each
/// instance knows the others have placed on each engine. `engines_by_instance`
/// is indexed by instance, then by engine.
pub(crate) fn exchange(engines_by_instance: &mut [Vec<KnownEngine>]) {
    for engine in 0..engines_by_instance.first().map_or(0, Vec::len) {
        let own: Vec<Load> = engines_by_instance
            .iter()
            .map(|engines| engines[engine].own)
            .collect();
        for (at, engines) in engines_by_instance.iter_mut().enumerate() {
            let mut others = Load::default();
            for (other, load) in own.iter().enumerate() {
                if other != at {
                    others.add(*load);
                }
            }
            engines[engine].others = others;
        }
    }
}
