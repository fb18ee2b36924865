/// Maximum length of a caller's request ID that is echoed.
const MAX_BYTES: usize = 64;

/// Returns the caller's request ID if it can be echoed unchanged in a header
/// and a log line.
///
/// It is only echoed. Between router and engines, each request has an ID that
/// is generated here: two callers may send the same ID, and the answer to one
/// would then be taken for the answer to the other.
pub(super) fn accepted(text: &str) -> Option<&str> {
    let is_valid = !text.is_empty()
        && text.len() <= MAX_BYTES
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.'));
    is_valid.then_some(text)
}

/// Generates a random request ID.
pub(super) fn generate() -> String {
    format!("req-{:016x}", rand::random::<u64>())
}
