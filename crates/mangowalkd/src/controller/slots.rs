use {
    super::Controller,
    crate::shared_state::SharedState,
    log::{info, warn},
    mangowalk_core::{
        edge::{Clock, Edges, Platform, PlatformError},
        limits::{
            ListSchedule, ListedSlot, SLOTS, SlotBody, SlotList, SlotWrite, WriteStop, jittered,
        },
        platform::{Object, ObjectKey, Precondition, system_kind},
    },
    std::{marker::PhantomData, ops::ControlFlow},
};

/// Interval between two checks of the slots. A check makes no call to the
/// platform.
const PERIOD_MS: u64 = 1_000;

/// Pause between two batches of writes.
const BATCH_PAUSE_MS: u64 = 20;

/// Maximum number of writes in one batch. The pause between batches lets other
/// instances that start at the same time take their share.
const BATCH_WRITES: usize = 32;

/// Pause after a failed call.
const RETRY_MS: u64 = 2_000;

/// Acquires, renews and releases this instance's share of the slots.
pub struct SlotHolder<E> {
    schedule: ListSchedule,
    edges: PhantomData<fn() -> E>,
}

impl<E> Default for SlotHolder<E> {
    fn default() -> SlotHolder<E> {
        SlotHolder {
            schedule: ListSchedule::default(),
            edges: PhantomData,
        }
    }
}

impl<E: Edges> SlotHolder<E> {
    fn list(&mut self, edges: &E, shared: &SharedState, now_ms: u64) -> Result<(), PlatformError> {
        if !self.schedule.is_due(now_ms) {
            return Ok(());
        }
        let reply = edges.platform().list(&[system_kind::SLOT])?;
        let list = SlotList {
            revision: reply.revision,
            slots: reply.objects.iter().filter_map(parse_slot).collect(),
        };
        let seen_ms = edges.clock().now_ms();
        shared.limits.apply_list(&list, seen_ms);
        self.schedule.record_list(rand::random(), seen_ms);
        Ok(())
    }
}

impl<E: Edges> Controller for SlotHolder<E> {
    type Edges = E;

    const NAME: &'static str = "slots";

    fn step(&mut self, edges: &E, shared: &SharedState, now_ms: u64) -> u64 {
        if shared.limits.is_closed() {
            return PERIOD_MS;
        }
        let view = shared.config.view();
        if view.revision > 0 {
            shared.limits.retain(|team| view.rates.contains_key(team));
        }
        let live = live_instances(shared);
        self.schedule
            .set_live_instances(live, rand::random(), now_ms);
        if let Err(error) = self.list(edges, shared, now_ms) {
            warn!("limits: The slots were not listed. {error}");
            return jittered(RETRY_MS, rand::random());
        }
        let now_ms = edges.clock().now_ms();
        let writes = shared.limits.plan(live, BATCH_WRITES, now_ms);
        if writes.is_empty() {
            return PERIOD_MS;
        }
        let sent = writes
            .iter()
            .try_for_each(|write| execute(edges, shared, *write));
        info!(
            "limits: Holding {} of {SLOTS} slots among {} instances.",
            shared.limits.slots(now_ms),
            live
        );
        match sent {
            ControlFlow::Break(WriteStop::LostRace) => {
                self.schedule.record_lost_race(rand::random(), now_ms)
            }
            ControlFlow::Break(WriteStop::Failed) => {
                self.schedule.record_failure(rand::random(), now_ms);
                jittered(PERIOD_MS, rand::random())
            }
            ControlFlow::Continue(()) => {
                self.schedule.record_writes();
                BATCH_PAUSE_MS
            }
        }
    }
}

/// Releases every slot during shutdown, so that other instances can take them
/// immediately. Stops at the first failure, because the leases expire anyway.
pub fn release_slots<E: Edges>(edges: &E, shared: &SharedState) {
    for write in shared.limits.close() {
        if execute(edges, shared, write).is_break() {
            warn!("limits: Some slots were not released; they expire with their leases.");
            return;
        }
    }
}

fn execute<E: Edges>(edges: &E, shared: &SharedState, write: SlotWrite) -> ControlFlow<WriteStop> {
    match write {
        SlotWrite::Create { slot } => put(edges, shared, slot, Precondition::Absent),
        SlotWrite::Replace { slot, version } => {
            put(edges, shared, slot, Precondition::Version(version))
        }
        SlotWrite::Release { slot, version } => release(edges, shared, slot, version),
    }
}

/// Writes a slot. Its lease starts at the time before the write is sent.
fn put<E: Edges>(
    edges: &E,
    shared: &SharedState,
    slot: u32,
    expect: Precondition,
) -> ControlFlow<WriteStop> {
    let key = slot_key(slot);
    let started_ms = edges.clock().now_ms();
    let body = shared.limits.slot_body(slot, rand::random());
    let value = serde_json::to_value(&body).unwrap_or_default();
    let result = match edges.platform().put(&key, expect, &value) {
        Err(PlatformError::Lost) => read_back(edges, &key, &body),
        result => result,
    };
    if let Err(error) = &result {
        warn!("limits: Slot {slot} was not written. {error}");
    }
    let now_ms = edges.clock().now_ms();
    shared
        .limits
        .apply_write_result(slot, started_ms, &result, now_ms)
}

/// Reads whether a write whose reply was lost took effect. The nonce must match
/// this write: an older write of this process has a lease that expires earlier.
fn read_back<E: Edges>(edges: &E, key: &ObjectKey, body: &SlotBody) -> Result<u64, PlatformError> {
    let object = edges.platform().get(key).map_err(|_| PlatformError::Lost)?;
    let held = object.filter(|o| slot_body(o).is_some_and(|b| b.nonce == body.nonce));
    held.map(|o| o.version).ok_or(PlatformError::Lost)
}

fn release<E: Edges>(
    edges: &E,
    shared: &SharedState,
    slot: u32,
    version: u64,
) -> ControlFlow<WriteStop> {
    shared.limits.stop_refill(slot, edges.clock().now_ms());
    let expect = Precondition::Version(version);
    let result = edges.platform().delete(&slot_key(slot), expect);
    let now_ms = edges.clock().now_ms();
    shared.limits.apply_release_result(slot, &result, now_ms)
}

fn slot_key(slot: u32) -> ObjectKey {
    ObjectKey::new(system_kind::SLOT, &slot.to_string())
}

fn slot_body(object: &Object) -> Option<SlotBody> {
    serde_json::from_value(object.body.clone()).ok()
}

fn parse_slot(object: &Object) -> Option<ListedSlot> {
    let slot = object.key.name.parse().ok().filter(|slot| *slot < SLOTS)?;
    Some(ListedSlot {
        slot,
        version: object.version,
        body: slot_body(object),
    })
}

fn live_instances(shared: &SharedState) -> u32 {
    shared.peers.live().len() as u32 + 1
}
