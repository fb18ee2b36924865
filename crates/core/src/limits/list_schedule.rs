/// Bounds of the interval between two lists of the slots. At the start, after a
/// change of the fleet and after a failed write the interval is the minimum, and
/// it doubles with each list.
const MIN_LIST_INTERVAL_MS: u64 = 1_000;
const MAX_LIST_INTERVAL_MS: u64 = 30_000;

/// Fleet size up to which the maximum interval isn't lengthened. A list takes
/// about 77 KB, which every 30 s is more than half of what an instance may use
/// for all its control traffic. In a larger fleet each instance holds fewer
/// slots, so it is acceptable that they stay unheld for longer if it dies.
const INSTANCES_PER_LIST_INTERVAL: u32 = 32;

/// Maximum factor by which a larger fleet lengthens the interval.
const MAX_LIST_INTERVAL_FACTOR: u32 = 10;

/// Time until the next list after a slot was lost to another instance. It doubles
/// with each further loss up to `MIN_LIST_INTERVAL_MS`, since in a herd of starts
/// many instances lose at once.
const LOST_RACE_INTERVAL_MS: u64 = 100;

/// When an instance reads the list of all slots.
#[derive(Debug, Clone)]
pub struct ListSchedule {
    next_ms: u64,
    interval_ms: u64,
    lost_races: u32,
    live_instances: u32,
}

impl Default for ListSchedule {
    fn default() -> ListSchedule {
        ListSchedule {
            next_ms: 0,
            interval_ms: MIN_LIST_INTERVAL_MS,
            lost_races: 0,
            live_instances: 1,
        }
    }
}

impl ListSchedule {
    /// Returns whether the list is due.
    pub fn is_due(&self, now_ms: u64) -> bool {
        now_ms >= self.next_ms
    }

    /// Sets the number of live instances. After a change the list is due soon,
    /// because others then release slots or need more. `draw` is a random number.
    pub fn set_live_instances(&mut self, live_instances: u32, draw: u64, now_ms: u64) {
        if live_instances != self.live_instances {
            self.live_instances = live_instances;
            self.record_failure(draw, now_ms);
        }
    }

    /// Records that the list was read.
    pub fn record_list(&mut self, draw: u64, now_ms: u64) {
        self.next_ms = now_ms + jittered(self.interval_ms, draw);
        self.interval_ms = (self.interval_ms * 2).min(max_list_interval_ms(self.live_instances));
    }

    /// Records that a write failed for another reason than a lost race.
    pub fn record_failure(&mut self, draw: u64, now_ms: u64) {
        self.list_within(MIN_LIST_INTERVAL_MS, draw, now_ms);
    }

    /// Records that all writes of a batch took effect.
    pub fn record_writes(&mut self) {
        self.lost_races = 0;
    }

    /// Records that another instance wrote a slot first, and returns after how many
    /// milliseconds to continue, which is when the list is due.
    ///
    /// An instance that has just started may hold no slot of a team yet, and it
    /// refuses that team until it does.
    pub fn record_lost_race(&mut self, draw: u64, now_ms: u64) -> u64 {
        let interval_ms = LOST_RACE_INTERVAL_MS << self.lost_races.min(8);
        self.lost_races += 1;
        self.list_within(interval_ms.min(MIN_LIST_INTERVAL_MS), draw, now_ms);
        self.next_ms.saturating_sub(now_ms)
    }

    fn list_within(&mut self, interval_ms: u64, draw: u64, now_ms: u64) {
        self.interval_ms = MIN_LIST_INTERVAL_MS;
        self.next_ms = self.next_ms.min(now_ms + jittered(interval_ms, draw));
    }
}

/// Returns a pause between 0.75 and 1.25 times the given one, by the random
/// number `draw`.
pub fn jittered(pause_ms: u64, draw: u64) -> u64 {
    pause_ms * 3 / 4 + draw % (pause_ms / 2 + 1)
}

/// Returns the maximum interval between two lists for this number of live
/// instances.
fn max_list_interval_ms(live_instances: u32) -> u64 {
    let factor = live_instances
        .div_ceil(INSTANCES_PER_LIST_INTERVAL)
        .clamp(1, MAX_LIST_INTERVAL_FACTOR);
    MAX_LIST_INTERVAL_MS * u64::from(factor)
}
