use super::StreamKey;

/// Returns the `count` instances that keep the record of a stream.
///
/// Instances that leave move up those behind them and nothing else, so who is asked
/// includes each survivor of those who were told.
pub fn owners<'a>(
    key: StreamKey,
    instances: impl Iterator<Item = &'a str>,
    count: usize,
) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> = instances.map(|name| (key.rank(name), name)).collect();
    let count = count.min(ranked.len());
    if count < ranked.len() {
        ranked.select_nth_unstable_by(count, |a, b| b.cmp(a));
        ranked.truncate(count);
    }
    ranked.into_iter().map(|(_, name)| name).collect()
}
