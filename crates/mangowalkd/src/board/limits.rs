use {
    super::lock,
    mangowalk_core::{
        limits::{Bucket, SLOTS},
        record::Rate,
    },
    std::{collections::HashMap, sync::Mutex},
};

/// Tokens of every team that this instance may spend.
#[derive(Debug, Default)]
pub struct LimitBoard {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    slots: u32,
    lease_until_ms: u64,
    buckets: HashMap<String, Bucket>,
}

impl LimitBoard {
    /// Notes how many slots are held, and until when.
    pub fn hold(&self, slots: u32, lease_until_ms: u64) {
        let mut inner = lock(&self.inner);
        inner.slots = slots;
        inner.lease_until_ms = lease_until_ms;
    }

    /// Returns how many slots are held at a time.
    pub fn slots(&self, now_ms: u64) -> u32 {
        let inner = lock(&self.inner);
        if now_ms < inner.lease_until_ms {
            inner.slots
        } else {
            0
        }
    }

    /// Takes tokens of a team, all or none.
    pub fn take(&self, team: &str, rate: &Rate, tokens: u64, now_ms: u64) -> bool {
        let mut inner = lock(&self.inner);
        let until_ms = now_ms.min(inner.lease_until_ms);
        let slots = inner.slots;
        let bucket = inner
            .buckets
            .entry(team.to_owned())
            .or_insert_with(|| Bucket::empty(now_ms));
        bucket.mint(rate, slots, SLOTS, until_ms);
        bucket.take(tokens)
    }

    /// Puts unused tokens of a team back.
    pub fn put_back(&self, team: &str, tokens: u64) {
        if let Some(bucket) = lock(&self.inner).buckets.get_mut(team) {
            bucket.put_back(tokens);
        }
    }
}
