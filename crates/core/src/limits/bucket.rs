use crate::record::Rate;

const MICRO: u128 = 1_000_000;
const MS_PER_S: u128 = 1_000;

/// One instance's tokens of one team.
///
/// Counted in millionths of a token, so that slow rates lose nothing to
/// rounding.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Bucket {
    micro_tokens: u128,
    minted_ms: u64,
}

impl Bucket {
    /// Returns an empty bucket that mints from the given time on.
    ///
    /// A new holder of a slot starts empty: it can't know what the holder
    /// before it has spent, and starting full would hand the burst out again
    /// at each restart.
    pub fn empty(now_ms: u64) -> Bucket {
        Bucket {
            micro_tokens: 0,
            minted_ms: now_ms,
        }
    }

    /// Mints what the held slots allow up to `now_ms`.
    pub fn mint(&mut self, rate: &Rate, slots: u32, total_slots: u32, now_ms: u64) {
        let elapsed_ms = u128::from(now_ms.saturating_sub(self.minted_ms));
        self.minted_ms = self.minted_ms.max(now_ms);
        let share = |tokens: u64| u128::from(tokens) * u128::from(slots) * MICRO;
        let minted = share(rate.tokens_per_s) * elapsed_ms / MS_PER_S / u128::from(total_slots);
        let capacity = share(rate.burst_tokens) / u128::from(total_slots);
        self.micro_tokens = (self.micro_tokens + minted).min(capacity);
    }

    /// Returns the whole tokens held.
    pub fn tokens(&self) -> u64 {
        (self.micro_tokens / MICRO) as u64
    }

    /// Takes tokens out, all or none.
    pub fn take(&mut self, tokens: u64) -> bool {
        let wanted = u128::from(tokens) * MICRO;
        if wanted > self.micro_tokens {
            return false;
        }
        self.micro_tokens -= wanted;
        true
    }

    /// Puts unused tokens back. The next mint cuts what is over the capacity.
    pub fn put_back(&mut self, tokens: u64) {
        self.micro_tokens += u128::from(tokens) * MICRO;
    }
}
