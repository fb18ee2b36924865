use {
    crate::pool::{EngineEntry, KnownEngine, rendezvous},
    std::collections::HashMap,
};

/// Returns up to `count` engines, from as many services and failure domains as there
/// are. `draw` selects them, so that instances try different ones.
///
/// Engines that peers report as silent go last, as they probably are.
pub fn sample_engines<'a>(
    engines: impl Iterator<Item = &'a KnownEngine>,
    count: usize,
    draw: u64,
    now_ms: u64,
) -> Vec<EngineEntry> {
    let mut drawn: Vec<&KnownEngine> = engines.collect();
    drawn.sort_by_key(|engine| rendezvous(draw, &engine.entry.incarnation.id));
    let mut taken_of: HashMap<(&str, &str), usize> = HashMap::new();
    let mut ranked: Vec<(bool, usize, &KnownEngine)> = drawn
        .into_iter()
        .map(|engine| {
            let group = (engine.entry.service.as_str(), engine.entry.domain.as_str());
            let rank = taken_of.entry(group).or_default();
            *rank += 1;
            let is_reported = now_ms < engine.reported_silent_until_ms;
            (is_reported, *rank, engine)
        })
        .collect();
    ranked.sort_by_key(|(is_reported, rank, _)| (*is_reported, *rank));
    let sampled = ranked.into_iter().take(count);
    sampled.map(|(_, _, engine)| engine.entry.clone()).collect()
}
