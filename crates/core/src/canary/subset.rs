use crate::pool::rendezvous;

/// Hash key under which the tried engines are chosen. Any constant serves.
const SUBSET_KEY: u64 = 0x6361_6e61_7279;

/// Returns the engines of a new version that are tried with a share of the requests:
/// as large a share of them, at least one. All instances choose the same ones, so that
/// each is as busy as it would be with all requests, and a version that fails only
/// under load shows it.
pub fn tried_engines<'a>(engines: impl Iterator<Item = &'a str>, ratio: f64) -> Vec<&'a str> {
    let mut engines: Vec<&str> = engines.collect();
    engines.sort_by_cached_key(|engine| rendezvous(SUBSET_KEY, engine));
    let count = (engines.len() as f64 * ratio).ceil().max(1.0) as usize;
    engines.truncate(count);
    engines
}
