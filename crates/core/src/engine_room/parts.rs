/// Returns the tokens that are an instance's own, of memory that is divided into parts. The
/// parts go round the instances in the order of their ranks at the engine, so that nobody's
/// parts overlap; the last one may be smaller.
pub fn fixed_part(tokens: u64, part_tokens: u64, rank: usize, instances: usize) -> u64 {
    let part_tokens = part_tokens.max(1);
    let begins = (rank as u64..)
        .step_by(instances.max(1))
        .map(|part| part.saturating_mul(part_tokens));
    begins
        .take_while(|begin| *begin < tokens)
        .map(|begin| part_tokens.min(tokens - begin))
        .sum()
}
