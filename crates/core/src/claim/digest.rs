/// Returns a digest of parts, as 64 hexadecimal digits.
///
/// Each part is preceded by its length, so that no two lists of parts run
/// into the same bytes: a team `a` with key `b/c` is not team `a/b` with `c`.
pub fn digest_of_parts(parts: &[&[u8]]) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().to_hex().to_string()
}
