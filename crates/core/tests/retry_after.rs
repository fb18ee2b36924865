//! Whether callers that are refused and come back as told are served.

use {
    mangowalk_core::admission::{AdmissionSettings, Job, WaitingRoom, WaitingSettings},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::collections::{BTreeMap, HashSet},
};

/// Requests that all engines together can take in a second, and the tokens of each.
const CAPACITY_PER_S: f64 = 700.0;
const TOKENS: u64 = 628;

/// Load relative to the capacity, while it is too much and after that.
const OVERLOAD: f64 = 1.5;
const USUAL_LOAD: f64 = 0.7;
const OVERLOAD_MS: u64 = 6_000;
const UNTIL_MS: u64 = 16_000;

/// A third of the time to the deadline of 15 s: callers come back after no more.
const MAX_RETURN_MS: u64 = 5_000;

/// Most that is added to each delay on its way to the caller.
const JITTER_MS: u64 = 350;

/// Work that a room holds, as time of its instance's part of the capacity.
const ROOM_MS: f64 = 2_000.0;

fn job(id: u64, now_ms: u64) -> Job {
    Job {
        id,
        team: "team".to_owned(),
        weight: 1.0,
        priority: 0,
        tokens: TOKENS,
        arrived_ms: now_ms,
        deadline_ms: Some(15_000),
        model: String::new(),
        version: String::new(),
        chain: Vec::new(),
        avoid: HashSet::new(),
        cache_store_blocks: 0,
    }
}

struct Fleet {
    rooms: Vec<WaitingRoom>,
    random: SmallRng,
    returning: BTreeMap<u64, usize>,
    next_id: u64,
    refused: usize,
    returned: usize,
    served: usize,
}

impl Fleet {
    fn new(instances: usize, fixed_delay_ms: Option<u64>) -> Fleet {
        let per_ms = CAPACITY_PER_S / 1_000.0 / instances as f64;
        let mut settings = WaitingSettings {
            order: AdmissionSettings {
                max_queued: (per_ms * ROOM_MS).ceil() as usize,
                ..AdmissionSettings::default()
            },
            min_walk_interval_ms: 0,
            ..WaitingSettings::default()
        };
        if let Some(delay_ms) = fixed_delay_ms {
            settings.retry.min_delay_ms = delay_ms;
            settings.retry.max_delay_ms = delay_ms;
        }
        Fleet {
            rooms: (0..instances as u64)
                .map(|seed| WaitingRoom::new(settings, seed))
                .collect(),
            random: SmallRng::seed_from_u64(1),
            returning: BTreeMap::new(),
            next_id: 0,
            refused: 0,
            returned: 0,
            served: 0,
        }
    }

    fn arrive(&mut self, has_returned: bool, now_ms: u64) {
        let at = self.random.random_range(0..self.rooms.len());
        let part = TOKENS as f64 * CAPACITY_PER_S / 1_000.0 / self.rooms.len() as f64;
        let room = &mut self.rooms[at];
        self.next_id += 1;
        if room.enter(job(self.next_id, now_ms), 1, now_ms).is_ok() {
            self.served += usize::from(has_returned);
            return;
        }
        if has_returned {
            return;
        }
        self.refused += 1;
        let drain = room.drain_tokens_per_ms(now_ms).unwrap_or(part);
        let delay_ms =
            room.retry_delay_ms(TOKENS, 0, drain, now_ms) + self.random.random_range(0..JITTER_MS);
        if delay_ms <= MAX_RETURN_MS {
            self.returned += 1;
            *self.returning.entry(now_ms + delay_ms).or_default() += 1;
        }
    }

    /// Sends the first request of a random instance in which one waits to an engine.
    fn serve(&mut self, now_ms: u64) {
        let waiting: Vec<usize> = (0..self.rooms.len())
            .filter(|at| !self.rooms[*at].is_empty())
            .collect();
        if waiting.is_empty() {
            return;
        }
        let at = waiting[self.random.random_range(0..waiting.len())];
        let turn = self.rooms[at].begin_walk(now_ms);
        let mut placed = turn.and_then(|id| self.rooms[at].place(id, now_ms));
        while let Some(id) = placed {
            placed = self.rooms[at].pass_turn(id);
        }
    }
}

fn play(instances: usize, fixed_delay_ms: Option<u64>) -> Fleet {
    let mut fleet = Fleet::new(instances, fixed_delay_ms);
    let mut capacity = 0.0;
    for now_ms in 1..UNTIL_MS {
        let load = match now_ms < OVERLOAD_MS {
            true => OVERLOAD,
            false => USUAL_LOAD,
        };
        if fleet.random.random_bool(load * CAPACITY_PER_S / 2_000.0) {
            fleet.arrive(false, now_ms);
        }
        if fleet.random.random_bool(load * CAPACITY_PER_S / 2_000.0) {
            fleet.arrive(false, now_ms);
        }
        for _ in 0..fleet.returning.remove(&now_ms).unwrap_or_default() {
            fleet.arrive(true, now_ms);
        }
        capacity += CAPACITY_PER_S / 1_000.0;
        while capacity >= 1.0 {
            capacity -= 1.0;
            fleet.serve(now_ms);
        }
    }
    fleet
}

/// Guards against refused callers that come back together, or to a room that is still full: at
/// least 0.8 of those that come back are served.
#[test]
fn callers_that_come_back_as_told_are_served() {
    let mut lines = Vec::new();
    for instances in [7, 100, 300] {
        for (name, fixed_delay_ms) in [("as scheduled", None), ("after 200 ms", Some(200))] {
            let fleet = play(instances, fixed_delay_ms);
            let served = fleet.served as f64 / fleet.returned.max(1) as f64;
            lines.push(format!(
                "{instances} instances, {name}: {} refused, {} came back, of these served {served:.2}",
                fleet.refused, fleet.returned,
            ));
            assert!(fixed_delay_ms.is_some() || served >= 0.8, "{lines:?}");
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}
