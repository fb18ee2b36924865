use {
    super::lock,
    arc_swap::ArcSwap,
    mangowalk_core::config::{Freshness, Store, View},
    std::sync::{Arc, Mutex},
};

/// Configuration records in force.
#[derive(Debug, Default)]
pub struct SharedConfig {
    store: Mutex<Store>,
    view: ArcSwap<View>,
    freshness: Mutex<Freshness>,
}

impl SharedConfig {
    /// Returns the current view of the records.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Calls `reader` with the store while it is locked.
    pub fn read<T>(&self, reader: impl FnOnce(&Store) -> T) -> T {
        reader(&lock(&self.store))
    }

    /// Changes the store and publishes a new view of it.
    pub fn update<T>(&self, writer: impl FnOnce(&mut Store) -> T) -> T {
        let mut store = lock(&self.store);
        let result = writer(&mut store);
        self.view.store(Arc::new(View::of(&store)));
        result
    }

    /// Sets how long the records may be used without a confirmation, in
    /// milliseconds.
    pub fn set_stale_after(&self, limit_ms: u64) {
        lock(&self.freshness).limit_ms = limit_ms;
    }

    /// Records that the platform, or enough peers, confirmed the records.
    pub fn confirm(&self, now_ms: u64) {
        lock(&self.freshness).confirm(now_ms);
    }

    /// Returns when the records were confirmed and how long they may be used.
    pub fn freshness(&self) -> Freshness {
        *lock(&self.freshness)
    }
}
