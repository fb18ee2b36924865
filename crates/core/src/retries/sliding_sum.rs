use std::collections::VecDeque;

/// Number of slots in a window. It bounds the memory of a sum, whatever is added.
const SLOTS: u64 = 50;

/// Sum of the amounts that were added within a sliding window.
#[derive(Debug, Clone, Default)]
pub(super) struct SlidingSum {
    slots: VecDeque<Slot>,
    total: f64,
}

#[derive(Debug, Clone, Copy)]
struct Slot {
    start_ms: u64,
    amount: f64,
}

/// What becomes of amounts whose slot has left the window in part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Rounding {
    /// They are counted.
    Up,
    /// They aren't counted.
    Down,
}

impl SlidingSum {
    /// Adds an amount.
    pub(super) fn add(&mut self, amount: f64, window_ms: u64, now_ms: u64) {
        let slot_ms = slot_ms(window_ms);
        let start_ms = now_ms / slot_ms * slot_ms;
        self.total += amount;
        match self.slots.back_mut() {
            Some(slot) if slot.start_ms >= start_ms => slot.amount += amount,
            _ => self.slots.push_back(Slot { start_ms, amount }),
        }
    }

    /// Returns the sum over the window that ends now.
    pub(super) fn get(&mut self, window_ms: u64, rounding: Rounding, now_ms: u64) -> f64 {
        let kept_ms = match rounding {
            Rounding::Up => window_ms + slot_ms(window_ms),
            Rounding::Down => window_ms,
        };
        while let Some(slot) = self.slots.front().copied() {
            if now_ms < slot.start_ms + kept_ms {
                break;
            }
            self.slots.pop_front();
            self.total -= slot.amount;
        }
        if self.slots.is_empty() {
            self.total = 0.0;
        }
        self.total
    }
}

fn slot_ms(window_ms: u64) -> u64 {
    (window_ms / SLOTS).max(1)
}
