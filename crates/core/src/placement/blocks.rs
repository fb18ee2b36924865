/// Bytes of prompt text in one cached block.
pub const BLOCK_BYTES: usize = 256;

/// Bytes of text per token, an estimate used where no engine has counted the
/// tokens.
pub const TOKEN_BYTES: usize = 4;

/// Returns the chained digests of the full blocks of a prompt.
///
/// Each digest covers the salt and all blocks before it, so two prompts share a
/// digest only if they share the whole prefix under the same salt. The salt
/// contains team, model and weights version: a digest computed for one team or
/// for older weights never matches another.
pub fn block_chain(salt: &str, prompt: &str) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(salt.len() as u64).to_le_bytes());
    hasher.update(salt.as_bytes());
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            hasher.update(block);
            let digest = hasher.finalize();
            let mut head = [0; 8];
            head.copy_from_slice(&digest.as_bytes()[..8]);
            u64::from_le_bytes(head)
        })
        .collect()
}

/// Returns the estimated number of tokens in a text, at least 1.
pub fn estimate_tokens(text: &str) -> u64 {
    (text.len().div_ceil(TOKEN_BYTES) as u64).max(1)
}
