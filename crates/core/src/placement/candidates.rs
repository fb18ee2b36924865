use {
    super::{Ask, Mark, Placement, fleet::ModelEngines, ring::mix},
    rand::Rng,
};

/// Engines known to hold part of the prompt that are weighed.
const MOST_HELD: usize = 6;

/// Levels of the prompt whose homes are weighed.
const MOST_LEVELS: usize = 3;

/// Engines drawn at random. Two are enough to keep the longest queue short
/// (power of two choices); more would follow lagging reports into herds.
const RANDOM_DRAWS: usize = 2;

/// Engines drawn for a prompt without a full block, which has no homes.
const DRAWS_WITHOUT_HOMES: usize = 4;

/// Looks for an eligible engine behind a random one.
const RANDOM_STEPS: usize = 8;

/// Share of a prefix that a home is expected to hold if other instances send
/// their requests there too and nothing better is known.
const HOME_BELIEF: f64 = 0.9;

/// Share of a prompt that its home is expected to hold if this instance never
/// saw any of it: enough to prefer the home among engines as good as equal.
const COLD_BELIEF: f64 = 0.1;

/// Age from which a small fleet's event index is trusted over what this
/// instance sent itself; events come late.
const EVENT_LAG_MS: u64 = 1_000;

/// An engine that may take the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Candidate {
    pub(super) slot: usize,
    /// Blocks that the engine is known to hold.
    pub(super) held_blocks: usize,
    /// Blocks that the engine is expected to hold.
    pub(super) expected_blocks: f64,
    /// Time since the engine used what it is known to hold.
    pub(super) age_ms: u64,
}

/// The candidates of one request: bounded, whatever the size of the fleet.
pub(super) struct Candidates<'a> {
    placement: &'a Placement,
    model: &'a ModelEngines,
    ask: &'a Ask<'a>,
    found: Vec<Candidate>,
}

impl Candidates<'_> {
    pub(super) fn gather(
        placement: &mut Placement,
        ask: &Ask<'_>,
        marks: &[Mark],
        now_ms: u64,
    ) -> Vec<Candidate> {
        let random = if marks.is_empty() {
            DRAWS_WITHOUT_HOMES
        } else {
            RANDOM_DRAWS
        };
        let draws: Vec<u64> = (0..random + 1).map(|_| placement.rng.random()).collect();
        let Some(model) = placement.fleet.model(ask.model) else {
            return Vec::new();
        };
        let mut candidates = Candidates {
            placement,
            model,
            ask,
            found: Vec::with_capacity(MOST_HELD + 2 * MOST_LEVELS + RANDOM_DRAWS),
        };
        candidates.add_holders(marks, draws[0], now_ms);
        candidates.add_homes(marks, draws[0], now_ms);
        for draw in &draws[1..] {
            candidates.add_random(*draw);
        }
        candidates.found
    }

    fn eligible(&self, slot: usize) -> bool {
        let engine = self.placement.fleet.get(slot);
        engine.serves(self.ask.model, self.ask.version)
            && (self.ask.avoid.is_empty() || !self.ask.avoid.contains(&engine.spec.name))
            && (self.ask.fit)(&engine.spec.name)
    }

    fn is_found(&self, slot: usize) -> bool {
        self.found.iter().any(|c| c.slot == slot)
    }

    fn add(&mut self, candidate: Candidate) {
        let known = self.found.iter_mut().find(|c| c.slot == candidate.slot);
        match known {
            Some(known) if candidate.expected_blocks > known.expected_blocks => {
                known.expected_blocks = candidate.expected_blocks;
            }
            Some(_) => {}
            None => self.found.push(candidate),
        }
    }

    /// Adds engines known to hold the deepest part of the prompt.
    fn add_holders(&mut self, marks: &[Mark], turn: u64, now_ms: u64) {
        for mark in marks.iter().rev() {
            if self.found.len() >= MOST_HELD {
                return;
            }
            self.add_noted(mark, now_ms);
            self.add_indexed(mark, turn);
        }
    }

    /// Adds holders that this instance sent the prefix to.
    fn add_noted(&mut self, mark: &Mark, now_ms: u64) {
        let Some(prefix) = self.placement.table.get(mark.digest) else {
            return;
        };
        for holder in prefix.holders.iter().rev() {
            let engine = self.placement.fleet.get(holder.slot);
            let age_ms = now_ms.saturating_sub(holder.used_ms);
            let indexed = self.placement.index.is_synced(holder.slot);
            let held = if indexed && age_ms > EVENT_LAG_MS {
                self.placement.index.holds(holder.slot, mark.digest)
            } else {
                engine.keeps(age_ms)
            };
            if held && engine.generation == holder.generation && self.eligible(holder.slot) {
                self.add_held(holder.slot, mark.depth_blocks, age_ms);
            }
        }
    }

    /// Adds holders that cache events told of, from a random one on, so that
    /// a prefix held everywhere is not sent to the same few engines.
    fn add_indexed(&mut self, mark: &Mark, turn: u64) {
        let turn = (turn % 64) as u32;
        let mut bits = self.placement.index.holders(mark.digest).rotate_right(turn);
        while bits != 0 && self.found.len() < MOST_HELD {
            let slot = ((bits.trailing_zeros() + turn) % 64) as usize;
            bits &= bits - 1;
            if self.eligible(slot) {
                self.add_held(slot, mark.depth_blocks, 0);
            }
        }
    }

    fn add_held(&mut self, slot: usize, depth_blocks: usize, age_ms: u64) {
        self.add(Candidate {
            slot,
            held_blocks: depth_blocks,
            expected_blocks: depth_blocks as f64,
            age_ms,
        });
    }

    /// Adds homes of the prompt's levels. A level is a mark from which on the
    /// prefix is shared by more load, so that it has more homes.
    fn add_homes(&mut self, marks: &[Mark], draw: u64, now_ms: u64) {
        let mut levels = 0;
        let mut homes_below = 0;
        let mut deeper = marks.last().map_or(draw, |m| m.digest);
        for (at, mark) in marks.iter().enumerate().rev() {
            let prefix = self.placement.table.get(mark.digest);
            if prefix.is_none() && at > 0 {
                continue;
            }
            if prefix.is_none() {
                self.add_cold_home(mark);
                return;
            }
            let load = prefix.map_or(0.0, |p| p.load(now_ms));
            let homes = self.homes(load);
            if homes > homes_below && levels < MOST_LEVELS {
                self.add_home(mark, deeper % homes);
                self.add_home(mark, draw % homes);
                homes_below = homes;
                levels += 1;
                deeper = mark.digest;
            }
        }
    }

    /// Returns over how many engines a prefix is spread. The load that this
    /// instance sees stands for that of the others.
    fn homes(&self, load: f64) -> u64 {
        let settings = &self.placement.settings;
        let whole = load * f64::from(settings.instances) / settings.home_load;
        (1 + whole as u64).min(u64::from(settings.most_homes))
    }

    /// Adds the home of a prompt that this instance never saw. Other instances
    /// may have, and have sent it there; where they have not, the next one
    /// shall find it there.
    fn add_cold_home(&mut self, mark: &Mark) {
        let key = mix(mark.digest, 0);
        if let Some(slot) = self.model.ring.find(key, |slot| self.eligible(slot)) {
            self.add(Candidate {
                slot,
                held_blocks: 0,
                expected_blocks: self.ask.chain.len() as f64 * COLD_BELIEF,
                age_ms: 0,
            });
        }
    }

    fn add_home(&mut self, mark: &Mark, home: u64) {
        let key = mix(mark.digest, home);
        let Some(slot) = self.model.ring.find(key, |slot| self.eligible(slot)) else {
            return;
        };
        let synced = self.placement.index.is_synced(slot);
        let expected_blocks = if synced {
            0.0
        } else {
            mark.depth_blocks as f64 * HOME_BELIEF
        };
        self.add(Candidate {
            slot,
            held_blocks: 0,
            expected_blocks,
            age_ms: 0,
        });
    }

    fn add_random(&mut self, draw: u64) {
        let slots = &self.model.slots;
        let slot = (0..slots.len().min(RANDOM_STEPS))
            .map(|step| slots[(draw as usize).wrapping_add(step) % slots.len()])
            .find(|slot| !self.is_found(*slot) && self.eligible(*slot));
        if let Some(slot) = slot {
            self.add(Candidate {
                slot,
                held_blocks: 0,
                expected_blocks: 0.0,
                age_ms: 0,
            });
        }
    }
}
