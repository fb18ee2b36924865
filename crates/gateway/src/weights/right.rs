use {
    crate::{
        clock::now_ms,
        instance::{Drain, Instance},
        store::CallClient,
    },
    mangowalk_core::weights::{Held, HolderReport, Lease, ObservedRecord, Vacant},
    mangowalk_platform::{
        Call, Kind, LeaseRecord, Stored, decode_object, encode_create, encode_replace,
        path_of_object,
    },
    std::rc::Rc,
};

/// Name of the record that says who orders.
const RECORD: &str = "orders";

/// Time for which each instance waits for the one before it to begin.
const TURN_MS: u64 = 700;

/// Time for which an instance that could not renew the lease leaves it to
/// others.
const UNABLE_MS: u64 = 3_000;

/// Time of failed renewals after which the lease is left to others.
const FAILING_MS: u64 = 450;

/// Pause between two looks at the record.
const LOOK_AGAIN_MS: u64 = 300;

/// Time for which a stopping instance goes on with orders that it has begun.
const DEPARTING_MS: u64 = 2_500;

enum Hold {
    Vacant(Lease<Vacant>),
    Held(Lease<Held>),
}

/// Whose a record was that this instance takes over.
enum Before {
    /// Its own, from this start or one before. Orders of one machine never
    /// clash with each other.
    Own,
    /// Another's, who gave no order from this time on.
    Left(u64),
    /// Another's, who may hold the lease.
    Fresh,
}

/// The right to give orders, and the calls to the store that it takes.
pub(super) struct Right {
    instance: Rc<Instance>,
    store: Rc<CallClient>,
    hold: Hold,
    seen: Option<ObservedRecord>,
    /// Until then this instance leaves the lease to others.
    unable_until_ms: u64,
    failing_since_ms: Option<u64>,
    /// Episode of lacking weights in which the record was looked at.
    looked_since_ms: Option<u64>,
    departing_since_ms: Option<u64>,
}

impl Right {
    pub(super) fn new(instance: Rc<Instance>, store: Rc<CallClient>) -> Right {
        Right {
            hold: Hold::Vacant(Lease::new(instance.settings.lease)),
            instance,
            store,
            seen: None,
            unable_until_ms: 0,
            failing_since_ms: None,
            looked_since_ms: None,
            departing_since_ms: None,
        }
    }

    /// Returns the lease, where it is held here.
    pub(super) fn held(&self) -> Option<&Lease<Held>> {
        match &self.hold {
            Hold::Held(lease) => Some(lease),
            Hold::Vacant(_) => None,
        }
    }

    /// Leaves the lease to others.
    fn leave(&mut self, reason: &'static str) {
        if self.held().is_some() {
            log::warn!("event=lease_left reason={reason}");
            self.instance.counters.count("lease_left", reason);
        }
        self.hold = Hold::Vacant(Lease::new(self.instance.settings.lease));
        self.failing_since_ms = None;
        self.instance.holds_lease.set(false);
        self.instance.notes.heartbeat.notify_one();
    }

    /// Leaves the lease when the instance stops: at once if nothing is begun,
    /// else a little later.
    pub(super) fn look_at_drain(&mut self, is_busy: bool) {
        if *self.instance.drain.borrow() == Drain::Serving {
            return;
        }
        let now_ms = now_ms();
        let since_ms = *self.departing_since_ms.get_or_insert(now_ms);
        if self.held().is_some() && (!is_busy || now_ms >= since_ms + DEPARTING_MS) {
            self.leave("stopping");
        }
    }

    /// Returns whether another instance says that it holds the lease.
    fn is_held_elsewhere(&self) -> bool {
        let members = self.instance.members.borrow();
        let mut heard = members.live(&self.instance.settings.mesh, now_ms());
        heard.any(|member| member.last_heartbeat.holds_lease)
    }

    /// Returns whether it is this instance's turn to take the lease from
    /// another.
    ///
    /// Instances take turns by the time of their start, the youngest first:
    /// while instances are restarted one after the other, the one that has
    /// just started is the last to be restarted again.
    fn is_turn(&self, since_ms: u64) -> bool {
        let members = self.instance.members.borrow();
        let now_ms = now_ms();
        let own = (self.instance.incarnation, &self.instance.machine().name);
        let before = members
            .live(&self.instance.settings.mesh, now_ms)
            .filter(|member| member.last_heartbeat.ready)
            .filter(|member| {
                (
                    member.last_heartbeat.incarnation,
                    &member.last_heartbeat.name,
                ) > own
            })
            .count() as u64;
        now_ms >= since_ms + before * TURN_MS
    }

    /// Takes the lease if it is this instance's turn. `since_ms` is when
    /// engines began to lack weights.
    pub(super) async fn seek(&mut self, since_ms: u64) {
        let now = now_ms();
        let is_able = now >= self.unable_until_ms && self.instance.is_ready();
        if self.held().is_some() || !is_able || self.is_held_elsewhere() {
            return;
        }
        // Only the first look tells whose the record is; further ones are for
        // those whose turn it is.
        let looked = self.looked_since_ms == Some(since_ms);
        if looked && !self.is_turn(since_ms) {
            return;
        }
        self.looked_since_ms = Some(since_ms);
        self.unable_until_ms = now + LOOK_AGAIN_MS;
        self.try_to_take(since_ms).await;
    }

    async fn try_to_take(&mut self, since_ms: u64) {
        let within_ms = self.instance.settings.store_ms;
        let call = Call::get(path_of_object(Kind::Leases, RECORD));
        let (quiet_since_ms, write) = match self.store.call(&call, within_ms).await {
            Ok((404, _)) if self.is_turn(since_ms) => (
                None,
                encode_create(Kind::Leases, RECORD, &self.record(1, 1, true)),
            ),
            Ok((200, body)) => {
                let Ok(stored) = decode_object(&body) else {
                    log::warn!("event=lease_unreadable record={RECORD}");
                    return;
                };
                match self.before(&stored, now_ms()) {
                    Before::Own => (None, self.replacement(&stored, true)),
                    Before::Left(quiet_since_ms) if self.is_turn(since_ms) => {
                        (Some(quiet_since_ms), self.replacement(&stored, false))
                    }
                    Before::Left(_) | Before::Fresh => return,
                }
            }
            _ => return,
        };
        self.write(write, quiet_since_ms).await;
    }

    async fn write(&mut self, write: Call, quiet_since_ms: Option<u64>) {
        let sent_ms = now_ms();
        let within_ms = self.instance.settings.store_ms;
        let Ok((200 | 201, body)) = self.store.call(&write, within_ms).await else {
            return;
        };
        let Some((stored, record)) = written(&body) else {
            return;
        };
        if let Hold::Vacant(vacant) = &self.hold {
            let vacant = vacant.clone();
            let held = vacant.take(record.fence, stored.revision, quiet_since_ms, sent_ms);
            self.hold = Hold::Held(held);
        }
        self.instance.holds_lease.set(true);
        self.instance.notes.heartbeat.notify_one();
        let waits_ms = quiet_since_ms.map(|quiet_ms| now_ms().saturating_sub(quiet_ms));
        log::info!(
            "event=lease_taken fence={} revision={} quiet_ms={waits_ms:?}",
            record.fence,
            stored.revision,
        );
    }

    /// Returns whose a record is.
    fn before(&mut self, stored: &Stored, now_ms: u64) -> Before {
        let seen = self.seen.filter(|seen| seen.revision == stored.revision);
        let seen = seen.unwrap_or(ObservedRecord {
            revision: stored.revision,
            first_ms: now_ms,
        });
        self.seen = Some(seen);
        let record: Option<LeaseRecord> = serde_json::from_value(stored.spec.clone()).ok();
        let own = &self.instance.machine().name;
        let is_own = record.as_ref().is_some_and(|record| record.holder == *own);
        // Its own, but taken from another by a write whose answer was lost, or
        // just before a restart: that other's orders may be too fresh still.
        let is_settled = record.as_ref().is_some_and(|record| record.is_settled);
        if is_own && is_settled {
            return Before::Own;
        }
        let told = record
            .filter(|_| !is_own)
            .and_then(|record| self.told(&record));
        let settings = &self.instance.settings.lease;
        let quiet_since_ms = seen.check_takeover(told, settings, now_ms);
        quiet_since_ms.map_or(Before::Fresh, Before::Left)
    }

    /// Returns when the holder of a record gave its last order, if that can be
    /// told: it has left the lease and says when, or it has started again,
    /// and what ordered before it did so is gone.
    fn told(&self, record: &LeaseRecord) -> Option<HolderReport> {
        let members = self.instance.members.borrow();
        let mut members = members.iter();
        let holder = members.find(|member| member.last_heartbeat.name == record.holder)?;
        let last = &holder.last_heartbeat;
        if last.holds_lease {
            return None;
        }
        let up_ms = u64::from(last.up_ms);
        let is_restarted = last.incarnation != record.incarnation;
        let ago_ms = match last.ordered_ago_ms {
            Some(ago_ms) if !is_restarted => u64::from(ago_ms),
            _ => up_ms,
        };
        Some(HolderReport {
            quiet_since_ms: holder.received_ms.saturating_sub(ago_ms),
            heard_ms: holder.received_ms,
            is_restarted,
        })
    }

    fn record(&self, fence: u64, renewals: u64, is_settled: bool) -> LeaseRecord {
        LeaseRecord {
            holder: self.instance.machine().name.clone(),
            incarnation: self.instance.incarnation,
            fence,
            is_settled,
            renewals,
        }
    }

    fn replacement(&self, stored: &Stored, is_own: bool) -> Call {
        let before: Option<LeaseRecord> = serde_json::from_value(stored.spec.clone()).ok();
        let (fence, renewals) =
            before.map_or((1, 1), |record| (record.fence + 1, record.renewals + 1));
        let record = self.record(fence, renewals, is_own);
        encode_replace(Kind::Leases, RECORD, stored.revision, &record)
    }

    /// Renews the lease, so that orders may leave for a moment.
    pub(super) async fn renew(&mut self) -> bool {
        let Some(lease) = self.held() else {
            return false;
        };
        let (fence, revision) = (lease.held().fence, lease.held().revision);
        let record = self.record(fence, revision, true);
        let call = encode_replace(Kind::Leases, RECORD, revision, &record);
        let sent_ms = now_ms();
        match self
            .store
            .call(&call, self.instance.settings.store_ms)
            .await
        {
            Ok((200, body)) => self.renewed(&body, sent_ms),
            Ok((404 | 409, body)) => {
                self.refused(&body, fence);
                false
            }
            _ => {
                self.failed();
                false
            }
        }
    }

    fn renewed(&mut self, body: &[u8], sent_ms: u64) -> bool {
        let (Some((stored, _)), Hold::Held(lease)) = (written(body), &mut self.hold) else {
            return false;
        };
        lease.renewed(stored.revision, sent_ms);
        self.failing_since_ms = None;
        true
    }

    /// Either another has taken the lease, or an earlier renewal took effect
    /// and its answer was lost.
    fn refused(&mut self, body: &[u8], fence: u64) {
        let found = written(body);
        let own = found.filter(|(_, record)| {
            record.fence == fence && record.holder == self.instance.machine().name
        });
        match (own, &mut self.hold) {
            (Some((stored, _)), Hold::Held(lease)) => lease.adopt(stored.revision),
            _ => self.leave("taken"),
        }
    }

    fn failed(&mut self) {
        let now_ms = now_ms();
        let since_ms = *self.failing_since_ms.get_or_insert(now_ms);
        log::warn!("event=lease_not_renewed failing_ms={}", now_ms - since_ms);
        if now_ms >= since_ms + FAILING_MS {
            self.unable_until_ms = now_ms + UNABLE_MS;
            self.leave("store_lost");
        }
    }
}

fn written(body: &[u8]) -> Option<(Stored, LeaseRecord)> {
    let stored = decode_object(body).ok()?;
    let record = serde_json::from_value(stored.spec.clone()).ok()?;
    Some((stored, record))
}
