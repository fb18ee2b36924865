/// Durations of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ControllerLeaseSettings {
    /// Time for which a lease is valid without renewal.
    pub lease_ms: u64,
    /// Time before the end of the lease at which the holder renews it.
    pub renew_before_ms: u64,
    /// Time beyond `lease_ms` that other instances wait before they take the
    /// lease. It covers clocks that run at different rates and an order that
    /// was sent just before the end.
    pub allowance_ms: u64,
}

impl Default for ControllerLeaseSettings {
    fn default() -> ControllerLeaseSettings {
        ControllerLeaseSettings {
            lease_ms: 6_000,
            renew_before_ms: 4_000,
            allowance_ms: 2_000,
        }
    }
}

/// State in which another instance may hold the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Watching {
    version: u64,
    version_since_ms: u64,
}

/// State in which this instance holds the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ControllerLeaseHeld {
    fencing: u64,
    until_ms: u64,
}

/// A lease that at most one instance holds at a time, based on conditional
/// writes of one object.
///
/// For the holder, the lease starts before its write is sent. For all others,
/// it starts after they have read the write. It therefore ends for the holder
/// before anyone else may take it, and no clocks have to be compared. The
/// object's version is the fencing number: it grows with every write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ControllerLease<S> {
    settings: ControllerLeaseSettings,
    state: S,
}

impl ControllerLease<Watching> {
    /// Returns a lease of which no version has been read yet.
    pub fn watching(settings: ControllerLeaseSettings, now_ms: u64) -> ControllerLease<Watching> {
        let state = Watching {
            version: u64::MAX,
            version_since_ms: now_ms,
        };
        ControllerLease { settings, state }
    }

    /// Records the version that was read; 0 if the object does not exist.
    pub fn observe(&mut self, version: u64, now_ms: u64) {
        if version != self.state.version {
            self.state = Watching {
                version,
                version_since_ms: now_ms,
            };
        }
    }

    /// Returns the version that a write must replace if the lease is free; 0 if
    /// the object does not exist. Returns `None` if the lease is not free.
    ///
    /// A lease that was read for the first time may just have been renewed. It
    /// is free only once its version has not changed for `lease_ms` and
    /// `allowance_ms` together.
    pub fn free_version(&self, now_ms: u64) -> Option<u64> {
        let wait_ms = self.settings.lease_ms + self.settings.allowance_ms;
        let expired = now_ms.saturating_sub(self.state.version_since_ms) >= wait_ms;
        (self.state.version == 0 || (self.state.version != u64::MAX && expired))
            .then_some(self.state.version)
    }

    /// Returns the lease as held after a write that created `version`. The
    /// lease runs from `sent_ms`, when the write was sent.
    pub fn acquired(self, version: u64, sent_ms: u64) -> ControllerLease<ControllerLeaseHeld> {
        ControllerLease {
            settings: self.settings,
            state: ControllerLeaseHeld {
                fencing: version,
                until_ms: sent_ms + self.settings.lease_ms,
            },
        }
    }
}

impl ControllerLease<ControllerLeaseHeld> {
    /// Returns the fencing number of the lease.
    pub fn fencing(&self) -> u64 {
        self.state.fencing
    }

    /// Returns whether the lease is still valid.
    ///
    /// A holder that was paused finds out here that its lease has ended, so
    /// this has to be called right before each action that needs the lease.
    pub fn is_valid(&self, now_ms: u64) -> bool {
        now_ms < self.state.until_ms
    }

    /// Returns whether the lease is due for renewal.
    pub fn needs_renewal(&self, now_ms: u64) -> bool {
        now_ms + self.settings.renew_before_ms >= self.state.until_ms
    }

    /// Returns the lease as renewed by a write that created `version`. The
    /// lease runs from `sent_ms`, when the write was sent.
    pub fn renewed(self, version: u64, sent_ms: u64) -> ControllerLease<ControllerLeaseHeld> {
        ControllerLease {
            settings: self.settings,
            state: ControllerLeaseHeld {
                fencing: version,
                until_ms: sent_ms + self.settings.lease_ms,
            },
        }
    }

    /// Returns the lease as no longer held, with no version read.
    pub fn lost(self, now_ms: u64) -> ControllerLease<Watching> {
        ControllerLease::watching(self.settings, now_ms)
    }
}
