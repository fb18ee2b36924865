use {
    super::{EngineRequirements, KnownEngine, rendezvous},
    std::net::SocketAddr,
};

/// Another engine that has the start of a prompt cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheSource {
    /// Address on which the engine accepts connections.
    pub address: SocketAddr,
    /// Length of the cached prefix of the prompt.
    pub tokens: u64,
}

/// Returns an engine with the same weights and software that has a longer prefix of
/// the prompt cached than the chosen one. Without such transfers, each engine would
/// read the shared start of all prompts again after a change of weights.
///
/// Of several engines with the longest prefix, one in the failure domain of the
/// chosen engine is preferred. `draw` decides among the rest: the transfers of
/// an engine run one after the other, and all instances that took the first
/// engine would wait for it.
pub fn find_cache_source<'a>(
    chosen: &KnownEngine,
    requirements: &EngineRequirements,
    engines: impl Iterator<Item = &'a KnownEngine> + Clone,
    retention_ms: u64,
    draw: u64,
    now_ms: u64,
) -> Option<CacheSource> {
    let model = requirements.model.as_ref()?;
    let version = chosen.version(model);
    let others = engines.filter(|engine| {
        engine.entry.incarnation != chosen.entry.incarnation
            && engine.version(model) == version
            && engine.build.is_some()
            && engine.build == chosen.build
            && !engine.is_paused(now_ms)
            && !engine.is_silent(now_ms)
    });
    for (part, tokens) in requirements.shared_parts() {
        if chosen.has_cached(part, retention_ms, now_ms) {
            return None;
        }
        let candidates = others.clone();
        // Transfers between failure domains take twice as long.
        let source = candidates
            .filter(|engine| engine.has_cached(part, retention_ms, now_ms))
            .min_by_key(|engine| {
                let is_far = engine.entry.domain != chosen.entry.domain;
                (is_far, rendezvous(draw, &engine.entry.incarnation.id))
            });
        if let Some(engine) = source {
            return Some(CacheSource {
                address: engine.entry.address,
                tokens,
            });
        }
    }
    None
}
