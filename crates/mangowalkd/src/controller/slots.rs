use {
    super::Controller,
    crate::shared_state::SharedState,
    log::{info, warn},
    mangowalk_core::{
        edge::{Clock, Edges, Platform, PlatformError},
        limits::{ListedSlot, SLOTS, SlotBody, SlotList, SlotWrite},
        platform::{Expect, Object, ObjectKey, own_kind},
    },
    std::{marker::PhantomData, ops::ControlFlow},
};

/// Pause between two looks at the slots. A look costs the platform nothing.
const PERIOD_MS: u64 = 1_000;

/// Pause between two batches of writes.
const BATCH_PAUSE_MS: u64 = 20;

/// Writes in one batch. In between, other instances that start at the same
/// time come to their share.
const BATCH: usize = 32;

/// Shortest and longest time between two lists. An instance that lacks slots
/// starts with the shortest and doubles it each time.
const LEAST_LIST_MS: u64 = 1_000;
const MOST_LIST_MS: u64 = 30_000;

/// Instances for which the longest time holds. A list takes about 77 KB, every
/// 30 s more than half of what an instance may spend on all its control. In a
/// larger fleet one instance holds less, so that its slots may stay longer
/// with no one.
const LIST_INSTANCES: u32 = 32;

/// Most by which a larger fleet lengthens that time.
const MOST_LIST_FACTOR: u32 = 10;

/// Pause after a failed call.
const RETRY_MS: u64 = 2_000;

/// Holds this instance's share of the slots.
pub struct SlotHolder<E> {
    next_list_ms: u64,
    list_pause_ms: u64,
    live: u32,
    edges: PhantomData<fn() -> E>,
}

impl<E> Default for SlotHolder<E> {
    fn default() -> SlotHolder<E> {
        SlotHolder {
            next_list_ms: 0,
            list_pause_ms: LEAST_LIST_MS,
            live: 1,
            edges: PhantomData,
        }
    }
}

impl<E: Edges> SlotHolder<E> {
    fn list(&mut self, edges: &E, board: &SharedState, now_ms: u64) -> Result<(), PlatformError> {
        if now_ms < self.next_list_ms {
            return Ok(());
        }
        let reply = edges.platform().list(&[own_kind::SLOT])?;
        let list = SlotList {
            revision: reply.revision,
            slots: reply.objects.iter().filter_map(listed).collect(),
        };
        let seen_ms = edges.clock().now_ms();
        board.limits.apply_list(&list, seen_ms);
        self.next_list_ms = seen_ms + jittered(self.list_pause_ms);
        self.list_pause_ms = (self.list_pause_ms * 2).min(most_list_ms(self.live));
        Ok(())
    }

    /// Lists soon again after the number of instances changed: others give
    /// slots back or lack some.
    fn count_live(&mut self, board: &SharedState, now_ms: u64) {
        let live = live_instances(board);
        if live != self.live {
            self.live = live;
            self.list_soon(now_ms);
        }
    }

    fn list_soon(&mut self, now_ms: u64) {
        self.list_pause_ms = LEAST_LIST_MS;
        self.next_list_ms = self.next_list_ms.min(now_ms + jittered(LEAST_LIST_MS));
    }
}

impl<E: Edges> Controller for SlotHolder<E> {
    type Edges = E;

    const NAME: &'static str = "slots";

    fn step(&mut self, edges: &E, board: &SharedState, now_ms: u64) -> u64 {
        if board.limits.is_closed() {
            return PERIOD_MS;
        }
        let view = board.config.view();
        if view.revision > 0 {
            board.limits.retain(|team| view.rates.contains_key(team));
        }
        self.count_live(board, now_ms);
        if let Err(error) = self.list(edges, board, now_ms) {
            warn!("limits: The slots were not listed. {error}");
            return jittered(RETRY_MS);
        }
        let now_ms = edges.clock().now_ms();
        let writes = board.limits.plan(self.live, BATCH, now_ms);
        if writes.is_empty() {
            return PERIOD_MS;
        }
        let sent = writes
            .iter()
            .try_for_each(|write| send(edges, board, *write));
        info!(
            "limits: Holding {} of {SLOTS} slots among {} instances.",
            board.limits.slots(now_ms),
            self.live
        );
        if sent.is_break() {
            self.list_soon(now_ms);
            return jittered(PERIOD_MS);
        }
        BATCH_PAUSE_MS
    }
}

/// Releases every slot at a shutdown, so that others take them at once. Stops
/// at the first failure: the leases end by themselves.
pub fn release_slots<E: Edges>(edges: &E, board: &SharedState) {
    for write in board.limits.close() {
        if send(edges, board, write).is_break() {
            warn!("limits: Some slots were not released; they lapse with their leases.");
            return;
        }
    }
}

fn send<E: Edges>(edges: &E, board: &SharedState, write: SlotWrite) -> ControlFlow<()> {
    match write {
        SlotWrite::Create { slot } => put(edges, board, slot, Expect::Absent),
        SlotWrite::Replace { slot, version } => put(edges, board, slot, Expect::Version(version)),
        SlotWrite::Release { slot, version } => release(edges, board, slot, version),
    }
}

/// Writes a slot. The lease counts from before the write is sent.
fn put<E: Edges>(edges: &E, board: &SharedState, slot: u32, expect: Expect) -> ControlFlow<()> {
    let key = key_of(slot);
    let begun_ms = edges.clock().now_ms();
    let body = board.limits.body(slot, rand::random());
    let value = serde_json::to_value(&body).unwrap_or_default();
    let result = match edges.platform().put(&key, expect, &value) {
        Err(PlatformError::Lost) => read_back(edges, &key, &body),
        result => result,
    };
    if let Err(error) = &result {
        warn!("limits: Slot {slot} was not written. {error}");
    }
    let now_ms = edges.clock().now_ms();
    board
        .limits
        .apply_write_result(slot, begun_ms, &result, now_ms)
}

/// Finds out whether a write whose reply was lost took effect. Only the very
/// write counts: an older one of this process has a lease that ends earlier.
fn read_back<E: Edges>(edges: &E, key: &ObjectKey, body: &SlotBody) -> Result<u64, PlatformError> {
    let object = edges.platform().get(key).map_err(|_| PlatformError::Lost)?;
    let held = object.filter(|o| body_of(o).is_some_and(|b| b.nonce == body.nonce));
    held.map(|o| o.version).ok_or(PlatformError::Lost)
}

fn release<E: Edges>(edges: &E, board: &SharedState, slot: u32, version: u64) -> ControlFlow<()> {
    board.limits.stop_refill(slot, edges.clock().now_ms());
    let expect = Expect::Version(version);
    let result = edges.platform().delete(&key_of(slot), expect);
    let now_ms = edges.clock().now_ms();
    board.limits.apply_release_result(slot, &result, now_ms)
}

fn key_of(slot: u32) -> ObjectKey {
    ObjectKey::new(own_kind::SLOT, &slot.to_string())
}

fn body_of(object: &Object) -> Option<SlotBody> {
    serde_json::from_value(object.body.clone()).ok()
}

fn listed(object: &Object) -> Option<ListedSlot> {
    let slot = object.key.name.parse().ok().filter(|slot| *slot < SLOTS)?;
    Some(ListedSlot {
        slot,
        version: object.version,
        body: body_of(object),
    })
}

fn live_instances(board: &SharedState) -> u32 {
    board.peers.live().len() as u32 + 1
}

/// Returns a pause between three quarters and five quarters of the given one.
fn jittered(pause_ms: u64) -> u64 {
    pause_ms * 3 / 4 + rand::random_range(0..=pause_ms / 2)
}

/// Returns the longest time between two lists in a fleet of a size.
fn most_list_ms(live: u32) -> u64 {
    let factor = live.div_ceil(LIST_INSTANCES).clamp(1, MOST_LIST_FACTOR);
    MOST_LIST_MS * u64::from(factor)
}
