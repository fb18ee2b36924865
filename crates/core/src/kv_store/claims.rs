use std::collections::HashMap;

/// Time during which a part is saved to a store only once. An engine that would
/// wait for the link of the store for more than two seconds does not send the part;
/// after this time another engine is asked.
const SAVE_CLAIM_MS: u64 = 2_500;

/// Number of claims from which on expired ones are removed.
const MAX_CLAIMS: usize = 4_096;

/// Parts that an engine was recently asked to save to a store.
#[derive(Debug, Default)]
pub struct SaveClaims {
    claimed_ms: HashMap<u64, u64>,
}

impl SaveClaims {
    /// Claims the saving of a part. Returns `false` if it was claimed within the
    /// last `SAVE_CLAIM_MS`.
    ///
    /// After a change of weights, many requests read the same part before the
    /// store reports that it has it. If each of them sent the part, the single
    /// link of the store would be taken from requests that wait for other parts.
    pub fn claim(&mut self, part: u64, now_ms: u64) -> bool {
        let claimed_ms = self.claimed_ms.get(&part);
        if claimed_ms.is_some_and(|claimed_ms| now_ms < claimed_ms + SAVE_CLAIM_MS) {
            return false;
        }
        if self.claimed_ms.len() >= MAX_CLAIMS {
            self.claimed_ms
                .retain(|_, claimed_ms| now_ms < *claimed_ms + SAVE_CLAIM_MS);
        }
        self.claimed_ms.insert(part, now_ms);
        true
    }
}
