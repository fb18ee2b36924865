use {
    crate::{
        clock::now_ms,
        instance::{Drain, Instance},
        store::CallClient,
    },
    mangowalk_core::weights::{
        HolderReport, LeaseClaim, ObservedRecord, OrderLease, OrderLeaseHeld, Vacant,
    },
    mangowalk_platform::{
        Call, LeaseRecord, ObjectKind, StoredObject, decode_object, encode_create, encode_replace,
        path_of_object,
    },
    std::rc::Rc,
};

/// Name of the store record that holds the lease.
const RECORD_NAME: &str = "orders";

/// Delay, in milliseconds, between the takeover attempts of consecutive
/// instances.
const TAKEOVER_STAGGER_MS: u64 = 700;

/// Time for which an instance does not try to take the lease after failing to
/// renew it, in milliseconds, so that another instance can.
const RENEWAL_FAILURE_BACKOFF_MS: u64 = 3_000;

/// Duration of failed renewals after which the lease is released, in
/// milliseconds.
const MAX_RENEWAL_FAILURE_MS: u64 = 450;

/// Minimum interval between two reads of the record, in milliseconds.
const RECORD_READ_INTERVAL_MS: u64 = 300;

/// Time for which a stopping instance continues the orders it has sent, in
/// milliseconds.
const DRAIN_TIMEOUT_MS: u64 = 2_500;

enum LeaseState {
    Vacant(OrderLease<Vacant>),
    Held(OrderLease<OrderLeaseHeld>),
}

/// Previous holder of a record, as far as it affects a takeover.
enum PreviousHolder {
    /// This machine, in this or an earlier incarnation. Orders of one machine
    /// never conflict with each other.
    OwnRecord,
    /// Another instance. Neither it nor an earlier holder has sent an order since this
    /// time, in milliseconds.
    Replaceable(u64),
    /// Another instance, which may still hold the lease.
    MayBeActive,
}

/// The lease under which orders are sent, and the store calls to take and renew
/// it.
pub(super) struct OrderLeaseManager {
    instance: Rc<Instance>,
    store: Rc<CallClient>,
    state: LeaseState,
    observed_record: Option<ObservedRecord>,
    /// Earliest time of the next attempt to take the lease, in milliseconds.
    next_attempt_ms: u64,
    failing_since_ms: Option<u64>,
    /// Start of the last period with outdated engines in which the record was
    /// read, in milliseconds.
    record_read_for_ms: Option<u64>,
    draining_since_ms: Option<u64>,
}

impl OrderLeaseManager {
    pub(super) fn new(instance: Rc<Instance>, store: Rc<CallClient>) -> OrderLeaseManager {
        OrderLeaseManager {
            state: LeaseState::Vacant(OrderLease::new(instance.settings.lease)),
            instance,
            store,
            observed_record: None,
            next_attempt_ms: 0,
            failing_since_ms: None,
            record_read_for_ms: None,
            draining_since_ms: None,
        }
    }

    /// Returns the lease if this instance holds it.
    pub(super) fn held(&self) -> Option<&OrderLease<OrderLeaseHeld>> {
        match &self.state {
            LeaseState::Held(lease) => Some(lease),
            LeaseState::Vacant(_) => None,
        }
    }

    /// Releases the lease, and sends a heartbeat to inform the peers.
    fn release(&mut self, reason: &'static str) {
        if self.held().is_some() {
            log::warn!("event=lease_left reason={reason}");
            self.instance.counters.count("lease_left", reason);
        }
        self.state = LeaseState::Vacant(OrderLease::new(self.instance.settings.lease));
        self.failing_since_ms = None;
        self.instance.holds_lease.set(false);
        self.instance.wake_ups.heartbeat.notify_one();
    }

    /// Releases the lease when the instance is stopping: as soon as no order is
    /// open, and after [`DRAIN_TIMEOUT_MS`] at the latest.
    pub(super) fn release_when_draining(&mut self, is_busy: bool) {
        if *self.instance.drain.borrow() == Drain::Serving {
            return;
        }
        let now_ms = now_ms();
        let since_ms = *self.draining_since_ms.get_or_insert(now_ms);
        if self.held().is_some() && (!is_busy || now_ms >= since_ms + DRAIN_TIMEOUT_MS) {
            self.release("stopping");
        }
    }

    /// Releases the lease when no engine can be reached: the orders of an instance that
    /// is cut off arrive nowhere, while its peers could send them.
    pub(super) fn release_without_path(&mut self) {
        if self.held().is_some() && self.instance.reaches_no_engine() {
            self.release("path_lost");
        }
    }

    /// Returns whether another instance reports that it holds the lease.
    fn is_held_elsewhere(&self) -> bool {
        let members = self.instance.members.borrow();
        let mut responsive = members.live(&self.instance.settings.mesh, now_ms());
        responsive.any(|member| member.last_heartbeat.holds_lease)
    }

    /// Returns whether this instance may now try to take the lease if the record
    /// is not its own.
    ///
    /// Instances try one after another, the most recently started first: during a
    /// rolling restart, the instance that has just started is the last to be
    /// restarted again.
    fn is_own_turn(&self, since_ms: u64) -> bool {
        let members = self.instance.members.borrow();
        let peer_paths = self.instance.peer_paths.borrow();
        let services = self.instance.routed_services();
        let now_ms = now_ms();
        let own = (self.instance.incarnation, &self.instance.machine().name);
        let instances_ahead = members
            .live(&self.instance.settings.mesh, now_ms)
            .filter(|member| member.last_heartbeat.ready)
            .filter(|member| {
                let name = &member.last_heartbeat.name;
                let mut services = services.iter();
                services.any(|service| !peer_paths.is_cut(name, service, now_ms))
            })
            .filter(|member| {
                (
                    member.last_heartbeat.incarnation,
                    &member.last_heartbeat.name,
                ) > own
            })
            .count() as u64;
        now_ms >= since_ms + instances_ahead * TAKEOVER_STAGGER_MS
    }

    /// Takes the lease if it is available and this instance may try. `since_ms` is
    /// the time since which engines are outdated.
    pub(super) async fn acquire_if_due(&mut self, since_ms: u64) {
        let now = now_ms();
        let reaches_engines = !self.instance.reaches_no_engine();
        let may_try = now >= self.next_attempt_ms && self.instance.is_ready() && reaches_engines;
        if self.held().is_some() || !may_try || self.is_held_elsewhere() {
            return;
        }
        // Every instance reads the record once per period with outdated engines
        // to determine its holder, and takes its own record at once. Further reads
        // are left to the instances whose turn it is.
        let was_read = self.record_read_for_ms == Some(since_ms);
        if was_read && !self.is_own_turn(since_ms) {
            return;
        }
        self.record_read_for_ms = Some(since_ms);
        self.next_attempt_ms = now + RECORD_READ_INTERVAL_MS;
        self.try_acquire(since_ms).await;
    }

    /// Reads the record and takes the lease if its holder permits it.
    async fn try_acquire(&mut self, since_ms: u64) {
        let within_ms = self.instance.settings.store_call_timeout_ms;
        let call = Call::get(path_of_object(ObjectKind::Leases, RECORD_NAME));
        let (no_orders_since_ms, write) = match self.store.call(&call, within_ms).await {
            Ok((404, _)) if self.is_own_turn(since_ms) => (
                None,
                encode_create(ObjectKind::Leases, RECORD_NAME, &self.settled_record(1, 1)),
            ),
            Ok((200, body)) => {
                let Ok(stored) = decode_object(&body) else {
                    log::warn!("event=lease_unreadable record={RECORD_NAME}");
                    return;
                };
                match self.previous_holder(&stored, now_ms()) {
                    PreviousHolder::OwnRecord => (None, self.replacement(&stored, None)),
                    PreviousHolder::Replaceable(no_orders_since_ms)
                        if self.is_own_turn(since_ms) =>
                    {
                        let since_ms = Some(no_orders_since_ms);
                        (since_ms, self.replacement(&stored, since_ms))
                    }
                    PreviousHolder::Replaceable(_) | PreviousHolder::MayBeActive => return,
                }
            }
            _ => return,
        };
        self.write_record(write, no_orders_since_ms).await;
    }

    /// Writes the record, and holds the lease if the store accepts it.
    async fn write_record(&mut self, write: Call, no_orders_since_ms: Option<u64>) {
        // Set before the write: its answer may be lost, and the next holder then goes by
        // the heartbeats of this instance.
        if let Some(no_orders_since_ms) = no_orders_since_ms {
            self.instance.record_earlier_orders(no_orders_since_ms);
        }
        let sent_ms = now_ms();
        let within_ms = self.instance.settings.store_call_timeout_ms;
        let Ok((200 | 201, body)) = self.store.call(&write, within_ms).await else {
            return;
        };
        let Some((stored, record)) = decode_record(&body) else {
            return;
        };
        if let LeaseState::Vacant(vacant) = &self.state {
            let vacant = vacant.clone();
            let held = vacant.take(record.fence, stored.revision, no_orders_since_ms, sent_ms);
            self.state = LeaseState::Held(held);
        }
        self.instance.holds_lease.set(true);
        self.instance.wake_ups.heartbeat.notify_one();
        let no_orders_ms = no_orders_since_ms.map(|since_ms| now_ms().saturating_sub(since_ms));
        log::info!(
            "event=lease_taken fence={} revision={} quiet_ms={no_orders_ms:?}",
            record.fence,
            stored.revision,
        );
    }

    /// Returns the holder of a record, and remembers when its revision was first
    /// read.
    fn previous_holder(&mut self, stored: &StoredObject, now_ms: u64) -> PreviousHolder {
        let record: Option<LeaseRecord> = serde_json::from_value(stored.spec.clone()).ok();
        let claim = record.as_ref().map(claim).unwrap_or_default();
        let seen = self
            .observed_record
            .filter(|seen| seen.revision == stored.revision);
        let seen = seen.unwrap_or(ObservedRecord {
            revision: stored.revision,
            first_seen_ms: now_ms,
            claim,
        });
        self.observed_record = Some(seen);
        let own = &self.instance.machine().name;
        let is_own = record.as_ref().is_some_and(|record| record.holder == *own);
        // A record of this machine that is not settled was taken from another
        // instance by a write whose answer was lost, or just before a restart;
        // the exclusion time of that instance may not have passed.
        let is_settled = claim.is_settled;
        if is_own && is_settled {
            return PreviousHolder::OwnRecord;
        }
        let report = record
            .filter(|_| !is_own)
            .and_then(|record| self.holder_report(&record.holder, &claim));
        let settings = &self.instance.settings.lease;
        let no_orders_since_ms = seen.check_takeover(report, settings, now_ms);
        if let Some(no_orders_since_ms) = no_orders_since_ms {
            log::info!(
                "event=lease_available revision={} settled={is_settled} own={is_own} \
                 reported={} restarted={} quiet_ms={} seen_ms={}",
                stored.revision,
                report.is_some(),
                report.is_some_and(|report| report.is_restarted),
                now_ms.saturating_sub(no_orders_since_ms),
                now_ms.saturating_sub(seen.first_seen_ms),
            );
        }
        no_orders_since_ms.map_or(PreviousHolder::MayBeActive, PreviousHolder::Replaceable)
    }

    /// Returns the report of a record's holder that it does not hold the lease; `None` if
    /// there is no such report.
    fn holder_report(&self, holder: &str, claim: &LeaseClaim) -> Option<HolderReport> {
        let members = self.instance.members.borrow();
        let mut members = members.iter();
        let holder = members.find(|member| member.last_heartbeat.name == holder)?;
        HolderReport::new(claim, &holder.last_heartbeat, holder.received_ms)
    }

    /// Returns the record of a holder that owes no earlier one any time.
    fn settled_record(&self, fence: u64, renewals: u64) -> LeaseRecord {
        LeaseRecord {
            holder: self.instance.machine().name.clone(),
            incarnation: self.instance.incarnation,
            fence,
            is_settled: true,
            quiet_ms: None,
            heartbeat: Some(self.instance.heartbeat_sequence.get()),
            renewals,
        }
    }

    /// Returns the write that replaces the record of another holder, or one of this
    /// machine if `no_orders_since_ms` is `None`.
    fn replacement(&self, stored: &StoredObject, no_orders_since_ms: Option<u64>) -> Call {
        let previous: Option<LeaseRecord> = serde_json::from_value(stored.spec.clone()).ok();
        let (fence, renewals) =
            previous.map_or((1, 1), |record| (record.fence + 1, record.renewals + 1));
        let mut record = self.settled_record(fence, renewals);
        if let Some(no_orders_since_ms) = no_orders_since_ms {
            record.is_settled = false;
            record.quiet_ms = Some(now_ms().saturating_sub(no_orders_since_ms));
        }
        encode_replace(ObjectKind::Leases, RECORD_NAME, stored.revision, &record)
    }

    /// Renews the lease, so that orders may be sent for a short time. Returns
    /// whether it was renewed.
    pub(super) async fn renew(&mut self) -> bool {
        let Some(lease) = self.held() else {
            return false;
        };
        let (fence, revision) = (lease.state().fence, lease.state().revision);
        let record = self.settled_record(fence, revision);
        let call = encode_replace(ObjectKind::Leases, RECORD_NAME, revision, &record);
        let sent_ms = now_ms();
        match self
            .store
            .call(&call, self.instance.settings.store_call_timeout_ms)
            .await
        {
            Ok((200, body)) => self.apply_renewal(&body, sent_ms),
            Ok((404 | 409, body)) => {
                self.handle_conflict(&body, fence);
                false
            }
            _ => {
                self.handle_failure();
                false
            }
        }
    }

    fn apply_renewal(&mut self, body: &[u8], sent_ms: u64) -> bool {
        let (Some((stored, _)), LeaseState::Held(lease)) = (decode_record(body), &mut self.state)
        else {
            return false;
        };
        lease.record_renewal(stored.revision, sent_ms);
        self.failing_since_ms = None;
        true
    }

    /// Handles a rejected renewal: either another instance has taken the lease, or
    /// an earlier renewal took effect and its answer was lost.
    fn handle_conflict(&mut self, body: &[u8], fence: u64) {
        let found = decode_record(body);
        let own = found.filter(|(_, record)| {
            record.fence == fence && record.holder == self.instance.machine().name
        });
        match (own, &mut self.state) {
            (Some((stored, _)), LeaseState::Held(lease)) => lease.adopt_revision(stored.revision),
            _ => self.release("taken"),
        }
    }

    /// Handles a renewal that failed for any other reason.
    fn handle_failure(&mut self) {
        let now_ms = now_ms();
        let since_ms = *self.failing_since_ms.get_or_insert(now_ms);
        log::warn!("event=lease_not_renewed failing_ms={}", now_ms - since_ms);
        if now_ms >= since_ms + MAX_RENEWAL_FAILURE_MS {
            self.next_attempt_ms = now_ms + RENEWAL_FAILURE_BACKOFF_MS;
            self.release("store_lost");
        }
    }
}

fn claim(record: &LeaseRecord) -> LeaseClaim {
    LeaseClaim {
        incarnation: record.incarnation,
        is_settled: record.is_settled,
        quiet_ms: record.quiet_ms,
        heartbeat: record.heartbeat,
    }
}

fn decode_record(body: &[u8]) -> Option<(StoredObject, LeaseRecord)> {
    let stored = decode_object(body).ok()?;
    let record = serde_json::from_value(stored.spec.clone()).ok()?;
    Some((stored, record))
}
