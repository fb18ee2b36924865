use {
    super::lock,
    arc_swap::ArcSwap,
    mangowalk_core::config::{Store, View},
    std::sync::{Arc, Mutex},
};

/// Records in force.
#[derive(Debug, Default)]
pub struct ConfigBoard {
    store: Mutex<Store>,
    view: ArcSwap<View>,
}

impl ConfigBoard {
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
}
