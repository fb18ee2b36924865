use super::{KnownEngine, PrefillRate};

/// Returns whether a request whose answer has not begun is better sent to another engine.
///
/// Load: more work than the engines of a service take, for seconds. Answers begin late at all
/// of them, and a request that leaves an engine's queue is read again behind the queue of
/// another one and uses a retry that lost requests need. So it stays unless half of `others`
/// are predicted to read its prompt within the target, and a retry is left: the choice looks
/// at few engines, so one with room would not help.
pub fn is_worth_abandoning<'a>(
    others: impl Iterator<Item = &'a KnownEngine>,
    rate: &PrefillRate,
    prompt_tokens: u64,
    target_ms: u64,
    remaining_retries: u32,
) -> bool {
    let wait_ms = |engine: &KnownEngine| {
        rate.prefill_ms(f64::from(engine.load().prefill_tokens) + prompt_tokens as f64)
    };
    let (all, in_time) = others.fold((0_usize, 0_usize), |(all, in_time), engine| {
        let is_in_time = wait_ms(engine) <= target_ms as f64;
        (all + 1, in_time + usize::from(is_in_time))
    });
    remaining_retries > 0 && in_time > 0 && in_time * 2 >= all
}
