/// Times of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Time for which a lease holds without renewal.
    pub lease_ms: u64,
    /// Time before its end at which it is renewed.
    pub renew_before_ms: u64,
    /// Time that others wait beyond `lease_ms`, for clocks that run at
    /// different rates and for an order that was sent just before the end.
    pub allowance_ms: u64,
}

impl Default for LeaseSettings {
    fn default() -> LeaseSettings {
        LeaseSettings {
            lease_ms: 6_000,
            renew_before_ms: 4_000,
            allowance_ms: 2_000,
        }
    }
}

/// Another instance may hold the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Watching {
    version: u64,
    version_since_ms: u64,
}

/// This instance holds the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    fencing: u64,
    until_ms: u64,
}

/// A lease that one instance at a time holds, kept by conditional writes of
/// one object.
///
/// For the holder it runs from before the write was sent; for everyone else
/// from after the write was seen. So it has ended for the holder before
/// anyone else may take it, without comparing clocks. The object's version is
/// the fencing number: it grows with every write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease<S> {
    settings: LeaseSettings,
    state: S,
}

impl Lease<Watching> {
    /// Returns a lease of which nothing is known yet.
    pub fn watching(settings: LeaseSettings, now_ms: u64) -> Lease<Watching> {
        let state = Watching {
            version: u64::MAX,
            version_since_ms: now_ms,
        };
        Lease { settings, state }
    }

    /// Notes the version that was read, 0 if there is no object.
    pub fn observe(&mut self, version: u64, now_ms: u64) {
        if version != self.state.version {
            self.state = Watching {
                version,
                version_since_ms: now_ms,
            };
        }
    }

    /// Returns the version that a write must replace, if the lease is free.
    ///
    /// A lease that was read once may just have been renewed: it is free only
    /// after its version stood still for its whole time.
    pub fn free_version(&self, now_ms: u64) -> Option<u64> {
        let wait_ms = self.settings.lease_ms + self.settings.allowance_ms;
        let expired = now_ms.saturating_sub(self.state.version_since_ms) >= wait_ms;
        (self.state.version == 0 || (self.state.version != u64::MAX && expired))
            .then_some(self.state.version)
    }

    /// Takes the lease by a write that was sent at `sent_ms`.
    pub fn acquired(self, version: u64, sent_ms: u64) -> Lease<Held> {
        Lease {
            settings: self.settings,
            state: Held {
                fencing: version,
                until_ms: sent_ms + self.settings.lease_ms,
            },
        }
    }
}

impl Lease<Held> {
    /// Returns the fencing number.
    pub fn fencing(&self) -> u64 {
        self.state.fencing
    }

    /// Returns whether the lease still holds. A holder that was paused learns
    /// from this that it no longer is one, so it is asked right before each
    /// act that needs the lease.
    pub fn is_valid(&self, now_ms: u64) -> bool {
        now_ms < self.state.until_ms
    }

    /// Returns whether to renew.
    pub fn needs_renewal(&self, now_ms: u64) -> bool {
        now_ms + self.settings.renew_before_ms >= self.state.until_ms
    }

    /// Renews by a write that was sent at `sent_ms`.
    pub fn renewed(self, version: u64, sent_ms: u64) -> Lease<Held> {
        Lease {
            settings: self.settings,
            state: Held {
                fencing: version,
                until_ms: sent_ms + self.settings.lease_ms,
            },
        }
    }

    /// Gives the lease up.
    pub fn lost(self, now_ms: u64) -> Lease<Watching> {
        Lease::watching(self.settings, now_ms)
    }
}
