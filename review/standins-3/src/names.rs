//! Names on the wire.

/// Returns the name on the wire that is meant by `key`.
///
/// # Panics
///
/// Panics if `names.txt` doesn't hold it.
pub fn wire(key: &str) -> &'static str {
    include_str!("../names.txt")
        .lines()
        .find_map(|line| line.split_once('=').filter(|(name, _)| *name == key))
        .map(|(_, value)| value)
        .expect("the name is in names.txt")
}
