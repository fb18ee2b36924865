use {
    super::{EngineRequirements, KnownEngine, rendezvous},
    std::net::SocketAddr,
};

/// Another engine that keeps the head of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheSource {
    /// Where it listens.
    pub address: SocketAddr,
    /// Tokens of the prompt that it keeps.
    pub tokens: u64,
}

/// Returns an engine with the same weights that keeps more of the prompt than
/// the chosen one does, as much of it as any.
///
/// Which of several is left to `draw`: an engine's transfers run one after the
/// other, and all instances that took the first would wait for it.
///
/// After a change of weights each engine would else read the first part of all
/// prompts anew, though others have it.
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
