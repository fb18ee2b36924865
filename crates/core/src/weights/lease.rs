/// Times of the lease under which orders are given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Time for which two instances may not both have given orders.
    pub exclusion_ms: u64,
    /// Time after a renewal was sent within which orders may leave. Short:
    /// whoever takes over waits it out, and a renewal takes only one call.
    /// Long enough for a renewal that a slow store takes half a second for.
    pub valid_ms: u64,
    /// What an order may be on its way, and clocks may differ in speed.
    pub margin_ms: u64,
    /// Time for which a record must have been as it is before it is taken from
    /// a holder that says that it has left: three heartbeats, within which
    /// whoever has just written it is heard to hold the lease.
    pub released_wait_ms: u64,
}

impl LeaseSettings {
    /// Returns the time for which a record must have been as it is before it is
    /// taken from a holder that isn't heard.
    ///
    /// It may live behind a cut, waiting for the holder before it; taking the
    /// lease from it then would make everybody wait again. No time is lost by
    /// it: whoever takes over could not order sooner anyway.
    pub fn silent_wait_ms(&self) -> u64 {
        self.valid_ms + self.exclusion_ms
    }
}

impl Default for LeaseSettings {
    fn default() -> LeaseSettings {
        LeaseSettings {
            exclusion_ms: 3_000,
            valid_ms: 900,
            margin_ms: 400,
            released_wait_ms: 600,
        }
    }
}

/// The lease is not held here.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Vacant;

/// The lease is held here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Held {
    /// Number that goes with each order.
    pub fence: u64,
    /// Revision of the record, for the next renewal.
    pub revision: u64,
    renewed_ms: u64,
    first_order_ms: u64,
}

/// What this instance saw of the record that another holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObservedRecord {
    /// Revision of the record.
    pub revision: u64,
    /// When it was first seen at this revision.
    pub first_ms: u64,
}

/// The right to give orders to engines, in one of its states.
///
/// Engines don't check who orders, so the record alone doesn't keep two
/// instances apart: an instance that was frozen, or whose renewal's answer
/// was lost, may believe that it still holds the lease. Therefore an order
/// leaves only shortly after a renewal was *sent*, by a clock that counts
/// while the machine is suspended, and whoever takes over waits until the
/// holder before can have no order under way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease<S> {
    settings: LeaseSettings,
    state: S,
}

/// What a record's holder says of itself: it doesn't hold the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HolderReport {
    /// From when on it gave no order.
    pub quiet_since_ms: u64,
    /// When that was heard.
    pub heard_ms: u64,
    /// Whether it has started again since it wrote the record.
    pub is_restarted: bool,
}

impl ObservedRecord {
    /// Returns from when on the record's holder can give no order, if the
    /// record is still as it was seen: it may have renewed just before the
    /// record was seen at this revision, not later.
    pub fn quiet_since_ms(&self, settings: &LeaseSettings) -> u64 {
        self.first_ms + settings.valid_ms
    }

    /// Returns whether the record may be taken from its holder, and from when
    /// on that gave no order.
    ///
    /// What was heard before the record was seen may be older than the record:
    /// in a large fleet a heartbeat takes a second to reach everyone. Instances
    /// that believed it would take the lease from each other as fast as they
    /// can; each waits for the one before to be quiet, and nobody orders.
    pub fn check_takeover(
        &self,
        told: Option<HolderReport>,
        settings: &LeaseSettings,
        now_ms: u64,
    ) -> Option<u64> {
        let told = told.filter(|told| told.is_restarted || told.heard_ms >= self.first_ms);
        let (settled_ms, quiet_since_ms) = match told {
            Some(told) => (
                self.first_ms + settings.released_wait_ms,
                told.quiet_since_ms,
            ),
            None => (
                self.first_ms + settings.silent_wait_ms(),
                self.quiet_since_ms(settings),
            ),
        };
        (now_ms >= settled_ms).then_some(quiet_since_ms)
    }
}

impl Lease<Vacant> {
    /// Returns a lease that isn't held.
    pub fn new(settings: LeaseSettings) -> Lease<Vacant> {
        Lease {
            settings,
            state: Vacant,
        }
    }

    /// Takes the lease over, once the store has accepted the record.
    ///
    /// `sent_ms` is when the write was sent. `quiet_since_ms` is from when on
    /// the holder before gave no order, `None` where there was none or it was
    /// this instance.
    pub fn take(
        self,
        fence: u64,
        revision: u64,
        quiet_since_ms: Option<u64>,
        sent_ms: u64,
    ) -> Lease<Held> {
        let settings = self.settings;
        let first_order_ms = quiet_since_ms.map_or(sent_ms, |quiet_since_ms| {
            quiet_since_ms + settings.exclusion_ms + settings.margin_ms
        });
        Lease {
            settings,
            state: Held {
                fence,
                revision,
                renewed_ms: sent_ms,
                first_order_ms,
            },
        }
    }
}

impl Lease<Held> {
    /// Notes a renewal that the store has accepted.
    pub fn renewed(&mut self, revision: u64, sent_ms: u64) {
        self.state.revision = revision;
        self.state.renewed_ms = sent_ms;
    }

    /// Takes over the revision of a renewal whose answer was lost. It doesn't
    /// count as a renewal: when it took effect isn't known.
    pub fn adopt(&mut self, revision: u64) {
        self.state.revision = revision;
    }

    /// Returns whether an order may leave now.
    pub fn may_order(&self, now_ms: u64) -> bool {
        now_ms >= self.state.first_order_ms
            && now_ms < self.state.renewed_ms + self.settings.valid_ms
    }

    /// Returns whether orders have to wait for the holder before.
    pub fn is_waiting(&self, now_ms: u64) -> bool {
        now_ms < self.state.first_order_ms
    }

    /// Returns the state, for the next write and for orders.
    pub fn held(&self) -> &Held {
        &self.state
    }
}
