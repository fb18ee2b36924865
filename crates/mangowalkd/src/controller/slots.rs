use {
    super::Controller,
    crate::board::Board,
    log::info,
    mangowalk_core::{
        edge::{Edges, Platform},
        limits::SLOTS,
        platform::{Expect, ObjectKey, own_kind},
    },
    serde_json::json,
    std::{collections::HashSet, marker::PhantomData},
};

/// Pause between two looks at the slots.
const PERIOD_MS: u64 = 1_000;

/// Time for which a slot is held without renewal.
const LEASE_MS: u64 = 3_600_000;

/// Holds this instance's share of the slots.
pub struct SlotHolder<E> {
    held: u32,
    edges: PhantomData<fn() -> E>,
}

impl<E> Default for SlotHolder<E> {
    fn default() -> SlotHolder<E> {
        SlotHolder {
            held: 0,
            edges: PhantomData,
        }
    }
}

impl<E: Edges> Controller for SlotHolder<E> {
    type Edges = E;

    const NAME: &'static str = "slots";

    fn step(&mut self, edges: &E, board: &Board, now_ms: u64) -> u64 {
        let instances = board.peers.sights().len() as u32 + 1;
        let share = SLOTS.div_ceil(instances);
        if self.held >= share {
            return PERIOD_MS;
        }
        let Ok(list) = edges.platform().list(&[own_kind::SLOT]) else {
            return PERIOD_MS;
        };
        let taken: HashSet<&str> = list.objects.iter().map(|o| o.key.name.as_str()).collect();
        let body = json!({ "schema": 1, "holder": board.identity.caller_address });
        for slot in 0..SLOTS {
            let name = slot.to_string();
            if self.held >= share || taken.contains(name.as_str()) {
                continue;
            }
            let key = ObjectKey::new(own_kind::SLOT, &name);
            if edges.platform().put(&key, Expect::Absent, &body).is_ok() {
                self.held += 1;
            }
        }
        info!("slots: Holding {} of {SLOTS}.", self.held);
        board.limits.hold(self.held, now_ms + LEASE_MS);
        PERIOD_MS
    }
}
