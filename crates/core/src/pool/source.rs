use {
    super::{Belief, Need, rendezvous},
    std::net::SocketAddr,
};

/// Another engine that keeps the head of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
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
pub fn holder<'a>(
    chosen: &Belief,
    need: &Need,
    engines: impl Iterator<Item = &'a Belief> + Clone,
    kept_ms: u64,
    draw: u64,
    now_ms: u64,
) -> Option<Holder> {
    let model = need.model.as_ref()?;
    let version = chosen.version(model);
    let others = engines.filter(|belief| {
        belief.entry.incarnation != chosen.entry.incarnation
            && belief.version(model) == version
            && !belief.is_steered(now_ms)
            && !belief.is_silent(now_ms)
    });
    for (part, tokens) in need.shared_parts() {
        if chosen.keeps(part, kept_ms, now_ms) {
            return None;
        }
        let keepers = others.clone();
        // Transfers between failure domains take twice as long.
        let nearest = keepers
            .filter(|belief| belief.keeps(part, kept_ms, now_ms))
            .min_by_key(|belief| {
                let is_far = belief.entry.domain != chosen.entry.domain;
                (is_far, rendezvous(draw, &belief.entry.incarnation.id))
            });
        if let Some(belief) = nearest {
            return Some(Holder {
                address: belief.entry.address,
                tokens,
            });
        }
    }
    None
}
