/// Returns the token at a position of the answer to a prompt.
///
/// It depends on the prompt and the position alone, so that every engine
/// resumes an answer with the same tokens.
pub(super) fn token(prompt: &str, index: u64) -> String {
    let sum = prompt.bytes().fold(index.wrapping_add(17), |h, b| {
        h.wrapping_mul(31).wrapping_add(u64::from(b))
    });
    format!("w{index}x{:03x} ", sum % 0x1000)
}
