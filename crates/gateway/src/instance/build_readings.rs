use {
    mangowalk_core::origin::BuildsByService,
    std::{cell::Cell, rc::Rc},
    tokio::sync::{Notify, watch},
};

/// Readings of the builds that are kept in the store, which requests wait for.
///
/// A request that waits gets a reading that began after it had asked. One that was under way
/// already may lack a build that has been used since. All requests that ask while a reading is
/// under way share the next one.
#[derive(Debug)]
pub struct BuildReadings {
    /// Number of readings that have begun.
    begun: Cell<u64>,
    asked: Notify,
    last: watch::Sender<BuildReading>,
}

/// A reading that has ended.
#[derive(Debug, Clone, Default)]
struct BuildReading {
    number: u64,
    /// `None` if it failed.
    builds: Option<Rc<BuildsByService>>,
}

impl Default for BuildReadings {
    fn default() -> BuildReadings {
        BuildReadings {
            begun: Cell::default(),
            asked: Notify::default(),
            last: watch::Sender::new(BuildReading::default()),
        }
    }
}

impl BuildReadings {
    /// Returns the builds by a reading that begins from now on; `None` if it fails.
    pub async fn next(&self) -> Option<Rc<BuildsByService>> {
        let awaited = self.begun.get() + 1;
        let mut last = self.last.subscribe();
        self.asked.notify_one();
        let reading = last.wait_for(|last| last.number >= awaited).await.ok()?;
        reading.builds.clone()
    }

    /// Waits until a request waits for a reading.
    pub async fn asked(&self) {
        loop {
            self.asked.notified().await;
            if self.last.receiver_count() > 0 {
                return;
            }
        }
    }

    /// Records that a reading begins, and returns its number.
    pub fn begin(&self) -> u64 {
        self.begun.set(self.begun.get() + 1);
        self.begun.get()
    }

    /// Passes what was read on to the requests that wait for it.
    pub fn end(&self, number: u64, builds: Option<BuildsByService>) {
        let builds = builds.map(Rc::new);
        self.last.send_replace(BuildReading { number, builds });
    }
}
