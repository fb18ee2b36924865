//! Where streams began: what is recorded, who keeps it, and what follows from it.

mod fleet;
mod knowledge;
mod lanes;
mod refusals;

use mangowalk_core::{
    origin::EngineBuild,
    pool::{EngineEntry, Incarnation},
};

fn build(software: &str) -> EngineBuild {
    EngineBuild::new("llm", software).expect("the version is named")
}

fn entry(id: &str, software: &str) -> EngineEntry {
    EngineEntry {
        incarnation: Incarnation {
            id: id.to_owned(),
            born_ms: 1,
        },
        revision: 1,
        service: "llm".to_owned(),
        software: software.to_owned(),
        address: "127.0.0.1:1".parse().expect("it is an address"),
        domain: "a".to_owned(),
        slots: 8,
        draining: false,
        models: Vec::new(),
        cold_left_ms: 0,
    }
}
