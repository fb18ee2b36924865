/// Returns a BLAKE3 digest of a list of parts, as 64 hexadecimal digits.
///
/// Each part is preceded by its length, so that different lists never hash the
/// same bytes: team `a` with key `b/c` differs from team `a/b` with key `c`.
pub fn digest_of_parts(parts: &[&[u8]]) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().to_hex().to_string()
}
