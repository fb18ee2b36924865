//! Where streams began: what is recorded, who keeps it, and what follows from it.

mod fleet;
mod knowledge;
mod lanes;

use mangowalk_core::origin::EngineBuild;

fn build(software: &str) -> EngineBuild {
    EngineBuild::new("llm", software).expect("the version is named")
}
