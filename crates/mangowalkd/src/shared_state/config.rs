use {
    super::lock,
    arc_swap::ArcSwap,
    mangowalk_core::config::{Freshness, Store, View},
    std::sync::{Arc, Mutex},
};

/// Records in force.
#[derive(Debug, Default)]
pub struct SharedConfig {
    store: Mutex<Store>,
    view: ArcSwap<View>,
    freshness: Mutex<Freshness>,
}

impl SharedConfig {
    /// Returns the view that requests use.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Reads the store.
    pub fn read<T>(&self, reader: impl FnOnce(&Store) -> T) -> T {
        reader(&lock(&self.store))
    }

    /// Changes the store and publishes the view that follows from it.
    pub fn update<T>(&self, writer: impl FnOnce(&mut Store) -> T) -> T {
        let mut store = lock(&self.store);
        let result = writer(&mut store);
        self.view.store(Arc::new(View::of(&store)));
        result
    }

    /// Sets for how long the records may be used without a confirmation.
    pub fn set_stale_after(&self, limit_ms: u64) {
        lock(&self.freshness).limit_ms = limit_ms;
    }

    /// Notes that the platform, or enough peers, answered.
    pub fn confirm(&self, now_ms: u64) {
        lock(&self.freshness).confirm(now_ms);
    }

    /// Returns how long the records may be relied on.
    pub fn freshness(&self) -> Freshness {
        *lock(&self.freshness)
    }
}
