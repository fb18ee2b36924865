/// Longest identity that is taken over from a caller.
const MAX_BYTES: usize = 64;

/// Returns the caller's identity of a request if it can be repeated in a
/// header and a log line as it is.
///
/// It is only shown. Between router and engines each request has an identity
/// drawn here: two callers may send the same one, and the answer of one would
/// then be taken for the other's.
pub(super) fn accepted(text: &str) -> Option<&str> {
    let is_valid = !text.is_empty()
        && text.len() <= MAX_BYTES
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.'));
    is_valid.then_some(text)
}

/// Draws an identity.
pub(super) fn generate() -> String {
    format!("req-{:016x}", rand::random::<u64>())
}
