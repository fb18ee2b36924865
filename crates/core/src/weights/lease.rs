use crate::mesh::Heartbeat;

/// Durations of the lease under which orders are sent to engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderLeaseSettings {
    /// Minimum time between orders of two different instances, in milliseconds.
    pub exclusion_ms: u64,
    /// Time after sending a renewal during which orders may be sent, in
    /// milliseconds. Short, because a new holder waits for it to pass and a
    /// renewal takes only one call; but long enough for a renewal that takes
    /// half a second in a slow store.
    pub valid_ms: u64,
    /// Allowance for the delivery of an order and for clock drift, in
    /// milliseconds.
    pub margin_ms: u64,
    /// Time, in milliseconds, for which a record must be unchanged before it is
    /// taken from a holder that reports that it does not hold the lease. Three
    /// heartbeats, within which an instance that has just written the record
    /// reports that it holds the lease.
    pub released_wait_ms: u64,
}

impl OrderLeaseSettings {
    /// Returns the time, in milliseconds, for which a record must be unchanged
    /// before it is taken without a [`HolderReport`] that counts, as from a holder
    /// that is silent.
    ///
    /// The holder may be behind a partition, waiting for the exclusion time of
    /// the previous holder; taking the lease from it would start that wait
    /// anew. The wait costs no time, because a new holder could not send orders
    /// earlier anyway.
    pub fn silent_wait_ms(&self) -> u64 {
        self.valid_ms + self.exclusion_ms
    }
}

impl Default for OrderLeaseSettings {
    fn default() -> OrderLeaseSettings {
        OrderLeaseSettings {
            exclusion_ms: 3_000,
            valid_ms: 900,
            margin_ms: 400,
            released_wait_ms: 600,
        }
    }
}

/// State of a lease that this instance does not hold.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Vacant;

/// State of a lease that this instance holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderLeaseHeld {
    /// Fencing number that is sent with each order.
    pub fence: u64,
    /// Revision of the record, which the next renewal is conditional on.
    pub revision: u64,
    /// Whether the record says that the exclusion time of earlier holders has passed.
    is_settled: bool,
    renewal_sent_ms: u64,
    earliest_order_ms: u64,
}

/// What the record of a lease says about its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LeaseClaim {
    /// Incarnation of the holder when it took the lease.
    pub incarnation: u64,
    /// Whether the holder has renewed the lease, which it does only after the exclusion
    /// time of all earlier holders.
    pub is_settled: bool,
    /// Age of the last order of any earlier holder when the record was written, in
    /// milliseconds; `None` if the record doesn't tell.
    pub quiet_ms: Option<u64>,
    /// Sequence number of the holder's last heartbeat before it last wrote the record;
    /// `None` if the record doesn't tell.
    pub heartbeat: Option<u64>,
}

/// Record of another holder, as observed by this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObservedRecord {
    /// Revision of the record.
    pub revision: u64,
    /// When it was first read at this revision, in milliseconds.
    pub first_seen_ms: u64,
    /// What the record says about its holder.
    pub claim: LeaseClaim,
}

/// Lease under which orders are sent to engines, as a state machine.
///
/// Engines don't check the sender of an order, so the record alone doesn't
/// exclude two concurrent senders: an instance that was frozen, or lost the
/// answer to a renewal, may still act as the holder. Therefore orders are sent
/// only for a short time after a renewal was *sent*, measured by a clock that
/// advances while the machine is suspended, and a new holder waits until no
/// order of the previous one can still be in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderLease<S> {
    settings: OrderLeaseSettings,
    state: S,
}

/// Report of a record's holder that it does not hold the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HolderReport {
    /// Time since which it has sent no order, in milliseconds.
    pub no_orders_since_ms: u64,
    /// When the report was received, in milliseconds.
    pub received_ms: u64,
    /// Whether it has restarted since it wrote the record.
    pub is_restarted: bool,
    /// Whether it was sent after the holder took the lease, by the record's own word.
    /// `no_orders_since_ms` then holds for all earlier holders, too.
    pub is_after_claim: bool,
}

impl HolderReport {
    /// Returns the report in the last heartbeat of a record's holder; `None` if the
    /// holder still has the lease.
    ///
    /// If the holder has restarted or has sent no order since its start, its start
    /// counts as the time of its last order: the process that sent earlier orders is gone.
    pub fn new(claim: &LeaseClaim, last: &Heartbeat, received_ms: u64) -> Option<HolderReport> {
        if last.holds_lease {
            return None;
        }
        let is_restarted = last.incarnation != claim.incarnation;
        let ago_ms = match last.ordered_ago_ms {
            Some(ago_ms) if !is_restarted => ago_ms,
            _ => last.up_ms,
        };
        let is_later = claim
            .heartbeat
            .is_some_and(|claimed| last.sequence > claimed);
        Some(HolderReport {
            no_orders_since_ms: received_ms.saturating_sub(u64::from(ago_ms)),
            received_ms,
            is_restarted,
            is_after_claim: !is_restarted && is_later,
        })
    }
}

impl ObservedRecord {
    /// Returns the time from which the record's holder can send no order, in
    /// milliseconds, provided that the record is unchanged: the holder's last
    /// renewal happened before the record was first read at this revision.
    pub fn no_orders_since_ms(&self, settings: &OrderLeaseSettings) -> u64 {
        self.first_seen_ms + settings.valid_ms
    }

    /// Returns the latest time, in milliseconds, at which an order may have been sent, as
    /// far as a record tells whose holder has not settled. Such a holder has sent none
    /// itself, so its own reports say nothing about earlier ones.
    fn recorded_orders_ms(&self) -> Option<u64> {
        let quiet_ms = self.claim.quiet_ms.filter(|_| !self.claim.is_settled)?;
        // The record was written before it was first read.
        Some(self.first_seen_ms.saturating_sub(quiet_ms))
    }

    /// Returns the time since which the holder and all earlier ones have sent no order, in
    /// milliseconds, if the record may be taken from it; `None` if it may not.
    ///
    /// Acting on a report that is older than the record, instances would keep taking the
    /// lease from each other, each waiting for the exclusion time of the one before, and no
    /// orders would be sent; or two would send them at once.
    pub fn check_takeover(
        &self,
        report: Option<HolderReport>,
        settings: &OrderLeaseSettings,
        now_ms: u64,
    ) -> Option<u64> {
        let report = report.filter(|report| self.is_older_than(report));
        let wait_ms = match report {
            Some(_) => settings.released_wait_ms,
            None => settings.silent_wait_ms(),
        };
        let no_orders_since_ms = match (report, self.recorded_orders_ms()) {
            (Some(report), _) if report.is_after_claim => report.no_orders_since_ms,
            (_, Some(recorded_ms)) => recorded_ms,
            (Some(report), None) => self.reported_orders_ms(&report),
            (None, None) => self.no_orders_since_ms(settings),
        };
        let takeover_ms = self.first_seen_ms + wait_ms;
        (now_ms >= takeover_ms).then_some(no_orders_since_ms)
    }

    /// Returns whether the record was written before a report was sent.
    ///
    /// Without the sequence number in the record, or if the holder has restarted, the time
    /// of receipt decides, although a heartbeat takes up to a second to reach all instances
    /// of a large fleet. That the reporting process differs from the record's writer doesn't
    /// make it the later one: the clock by which incarnations are numbered can be set back.
    fn is_older_than(&self, report: &HolderReport) -> bool {
        let is_ordered = self.claim.heartbeat.is_some() && !report.is_restarted;
        report.is_after_claim || !is_ordered && report.received_ms >= self.first_seen_ms
    }

    /// Returns the time of the last order by a report that may leave out earlier holders. A
    /// record that doesn't tell their age may have been written just after an order.
    fn reported_orders_ms(&self, report: &HolderReport) -> u64 {
        match self.claim.is_settled {
            true => report.no_orders_since_ms,
            false => report.no_orders_since_ms.max(self.first_seen_ms),
        }
    }
}

impl OrderLease<Vacant> {
    /// Returns a lease that is not held.
    pub fn new(settings: OrderLeaseSettings) -> OrderLease<Vacant> {
        OrderLease {
            settings,
            state: Vacant,
        }
    }

    /// Takes the lease after the store has accepted the record.
    ///
    /// `sent_ms` is the time when the write was sent. `no_orders_since_ms` is the
    /// time since which the previous holder has sent no order; `None` if there
    /// was no previous holder or it was this instance.
    pub fn take(
        self,
        fence: u64,
        revision: u64,
        no_orders_since_ms: Option<u64>,
        sent_ms: u64,
    ) -> OrderLease<OrderLeaseHeld> {
        let settings = self.settings;
        let earliest_order_ms = no_orders_since_ms.map_or(sent_ms, |no_orders_since_ms| {
            no_orders_since_ms + settings.exclusion_ms + settings.margin_ms
        });
        OrderLease {
            settings,
            state: OrderLeaseHeld {
                fence,
                revision,
                is_settled: no_orders_since_ms.is_none(),
                renewal_sent_ms: sent_ms,
                earliest_order_ms,
            },
        }
    }
}

impl OrderLease<OrderLeaseHeld> {
    /// Records a renewal that the store has accepted; `sent_ms` is the time when
    /// it was sent.
    pub fn record_renewal(&mut self, revision: u64, sent_ms: u64) {
        self.state.revision = revision;
        self.state.is_settled = true;
        self.state.renewal_sent_ms = sent_ms;
    }

    /// Adopts the revision of a renewal whose answer was lost. It does not extend
    /// the lease, because the time when it took effect is unknown.
    pub fn adopt_revision(&mut self, revision: u64) {
        self.state.revision = revision;
    }

    /// Returns whether an order may be sent now.
    ///
    /// A lease that was taken from another instance has to be renewed first: the next holder
    /// takes it from the record that this one has sent no order before.
    pub fn may_order(&self, now_ms: u64) -> bool {
        self.state.is_settled
            && now_ms >= self.state.earliest_order_ms
            && now_ms < self.state.renewal_sent_ms + self.settings.valid_ms
    }

    /// Returns whether orders must wait until the exclusion time of the previous
    /// holder has passed.
    pub fn is_waiting(&self, now_ms: u64) -> bool {
        now_ms < self.state.earliest_order_ms
    }

    /// Returns the fencing number and revision for orders and renewals.
    pub fn state(&self) -> &OrderLeaseHeld {
        &self.state
    }
}
