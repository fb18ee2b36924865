use {
    super::{Placement, PlacementRequest, PrefixCheckpoint, fleet::ModelEngines, ring::mix},
    rand::Rng,
};

/// Number of candidates from which on no further holders are added.
const MAX_HOLDER_CANDIDATES: usize = 6;

/// Maximum number of prefix levels whose homes are candidates.
const MAX_HOME_LEVELS: usize = 3;

/// Random candidates. Two are enough to keep the longest queue short (power of
/// two choices); with more, instances would all follow the same outdated load
/// reports to the same engines.
const RANDOM_DRAWS: usize = 2;

/// Random candidates for a prompt without a full block, which has no homes.
const DRAWS_WITHOUT_HOMES: usize = 4;

/// Maximum number of engines tried per random draw, starting at the drawn one.
const MAX_RANDOM_STEPS: usize = 8;

/// Share of a prefix that its home is expected to have cached when nothing more
/// exact is known: other instances send their requests there too.
const HOME_HIT_SHARE: f64 = 0.9;

/// Share of a prompt that its home is expected to have cached if this instance
/// has seen no part of it. Small: it only makes the home win among engines of
/// nearly equal cost.
const UNSEEN_HOME_HIT_SHARE: f64 = 0.1;

/// Age from which on the block index takes precedence over the requests that
/// this instance sent itself. Cache events arrive late.
const EVENT_LAG_MS: u64 = 1_000;

/// An engine that may take the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Candidate {
    pub(super) slot: usize,
    /// Leading blocks that the engine is known to have cached.
    pub(super) held_blocks: usize,
    /// Expected number of cached leading blocks, fractional.
    pub(super) expected_blocks: f64,
    /// Time since the engine last used the held blocks.
    pub(super) age_ms: u64,
}

/// Collects the candidates of one request. Their number is bounded, whatever
/// the size of the fleet.
pub(super) struct Candidates<'a> {
    placement: &'a Placement,
    model: &'a ModelEngines,
    request: &'a PlacementRequest<'a>,
    found: Vec<Candidate>,
}

impl Candidates<'_> {
    /// Returns the candidates for a request: holders, homes and random engines.
    pub(super) fn collect(
        placement: &mut Placement,
        request: &PlacementRequest<'_>,
        checkpoints: &[PrefixCheckpoint],
        now_ms: u64,
    ) -> Vec<Candidate> {
        let random = if checkpoints.is_empty() {
            DRAWS_WITHOUT_HOMES
        } else {
            RANDOM_DRAWS
        };
        let draws: Vec<u64> = (0..random + 1).map(|_| placement.rng.random()).collect();
        let Some(model) = placement.fleet.model(request.model) else {
            return Vec::new();
        };
        let mut candidates = Candidates {
            placement,
            model,
            request,
            found: Vec::with_capacity(MAX_HOLDER_CANDIDATES + 2 * MAX_HOME_LEVELS + RANDOM_DRAWS),
        };
        candidates.add_holders(checkpoints, draws[0], now_ms);
        candidates.add_homes(checkpoints, draws[0], now_ms);
        for draw in &draws[1..] {
            candidates.add_random(*draw);
        }
        candidates.found
    }

    fn eligible(&self, slot: usize) -> bool {
        let engine = self.placement.fleet.get(slot);
        engine.serves(self.request.model, self.request.version)
            && (self.request.avoid.is_empty() || !self.request.avoid.contains(&engine.spec.name))
            && (self.request.is_usable)(&engine.spec.name)
    }

    fn is_found(&self, slot: usize) -> bool {
        self.found.iter().any(|c| c.slot == slot)
    }

    /// Adds a candidate. If the engine is one already, keeps the higher
    /// expectation.
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

    /// Adds engines known to hold the deepest cached prefixes of the prompt.
    fn add_holders(&mut self, checkpoints: &[PrefixCheckpoint], draw: u64, now_ms: u64) {
        for checkpoint in checkpoints.iter().rev() {
            if self.found.len() >= MAX_HOLDER_CANDIDATES {
                return;
            }
            self.add_recorded_holders(checkpoint, now_ms);
            self.add_indexed_holders(checkpoint, draw);
        }
    }

    /// Adds engines to which this instance has sent the prefix.
    fn add_recorded_holders(&mut self, checkpoint: &PrefixCheckpoint, now_ms: u64) {
        let Some(prefix) = self.placement.table.get(checkpoint.digest) else {
            return;
        };
        for holder in prefix.holders.iter().rev() {
            let engine = self.placement.fleet.get(holder.slot);
            let age_ms = now_ms.saturating_sub(holder.used_ms);
            let indexed = self.placement.index.is_synced(holder.slot);
            let held = if indexed && age_ms > EVENT_LAG_MS {
                self.placement.index.holds(holder.slot, checkpoint.digest)
            } else {
                engine.retains(age_ms)
            };
            if held && engine.generation == holder.generation && self.eligible(holder.slot) {
                self.add_holder(holder.slot, checkpoint.depth_blocks, age_ms);
            }
        }
    }

    /// Adds engines that hold the prefix according to cache events. Starts at a
    /// random slot, so that requests for a prefix that is cached everywhere are
    /// not sent to the same few engines.
    fn add_indexed_holders(&mut self, checkpoint: &PrefixCheckpoint, draw: u64) {
        let draw = (draw % 64) as u32;
        let mut bits = self
            .placement
            .index
            .holders(checkpoint.digest)
            .rotate_right(draw);
        while bits != 0 && self.found.len() < MAX_HOLDER_CANDIDATES {
            let slot = ((bits.trailing_zeros() + draw) % 64) as usize;
            bits &= bits - 1;
            if self.eligible(slot) {
                self.add_holder(slot, checkpoint.depth_blocks, 0);
            }
        }
    }

    fn add_holder(&mut self, slot: usize, depth_blocks: usize, age_ms: u64) {
        self.add(Candidate {
            slot,
            held_blocks: depth_blocks,
            expected_blocks: depth_blocks as f64,
            age_ms,
        });
    }

    /// Adds the homes of the levels of the prompt. A level is a checkpoint at
    /// which the prefix is shared by more load than the deeper ones, so that it
    /// has more homes.
    fn add_homes(&mut self, checkpoints: &[PrefixCheckpoint], draw: u64, now_ms: u64) {
        let mut levels = 0;
        let mut deeper_homes = 0;
        let mut deeper_digest = checkpoints.last().map_or(draw, |c| c.digest);
        for (index, checkpoint) in checkpoints.iter().enumerate().rev() {
            let prefix = self.placement.table.get(checkpoint.digest);
            if prefix.is_none() && index > 0 {
                continue;
            }
            if prefix.is_none() {
                self.add_unseen_home(checkpoint);
                return;
            }
            let load = prefix.map_or(0.0, |p| p.load(now_ms));
            let homes = self.homes(load);
            if homes > deeper_homes && levels < MAX_HOME_LEVELS {
                self.add_home(checkpoint, deeper_digest % homes);
                self.add_home(checkpoint, draw % homes);
                deeper_homes = homes;
                levels += 1;
                deeper_digest = checkpoint.digest;
            }
        }
    }

    /// Returns the number of engines over which a prefix is spread. The load of
    /// the other instances is assumed to equal that of this one.
    fn homes(&self, load: f64) -> u64 {
        let settings = &self.placement.settings;
        let extra_homes = load * f64::from(settings.instances) / settings.max_load_per_home;
        (1 + extra_homes as u64).min(u64::from(settings.max_homes))
    }

    /// Adds the home of a prompt that this instance has never seen. Other
    /// instances may have sent it there before; if none has, later requests
    /// with this prompt will find it there.
    fn add_unseen_home(&mut self, checkpoint: &PrefixCheckpoint) {
        let key = mix(checkpoint.digest, 0);
        if let Some(slot) = self.model.ring.find(key, |slot| self.eligible(slot)) {
            self.add(Candidate {
                slot,
                held_blocks: 0,
                expected_blocks: self.request.chain.len() as f64 * UNSEEN_HOME_HIT_SHARE,
                age_ms: 0,
            });
        }
    }

    fn add_home(&mut self, checkpoint: &PrefixCheckpoint, home: u64) {
        let key = mix(checkpoint.digest, home);
        let Some(slot) = self.model.ring.find(key, |slot| self.eligible(slot)) else {
            return;
        };
        let synced = self.placement.index.is_synced(slot);
        let expected_blocks = if synced {
            0.0
        } else {
            checkpoint.depth_blocks as f64 * HOME_HIT_SHARE
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
        let slot = (0..slots.len().min(MAX_RANDOM_STEPS))
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
