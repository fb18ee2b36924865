use {
    super::{EngineUse, FleetView, RoomBarrier, RoomNeed, RoomSettings, parts::fixed_part},
    std::collections::HashMap,
};

/// Number of engines from which on those that weren't asked about lately are forgotten.
const MAX_ENGINES: usize = 4_096;

/// Bounds what all instances together have at each engine.
///
/// Load: many long prompts at once, at engines that crash if the requests that they hold exceed
/// their memory.
///
/// The memory of an engine is divided into parts, which go round the instances by their ranks at
/// the engine. An instance uses its own parts only, so that what several instances send at once,
/// unknown to each other, fits together. It also counts what the others have told: ranks shift
/// when instances come or go, and what was sent by the former ones is still at the engine.
#[derive(Debug, Clone, Default)]
pub struct EngineRooms {
    ranks: HashMap<u32, Rank>,
    fleet: Option<(FleetView, u64)>,
}

/// Place of this instance among all in an order that is another one for each engine.
#[derive(Debug, Clone, Copy)]
struct Rank {
    rank: usize,
    until_ms: u64,
}

impl EngineRooms {
    /// Returns the view of the fleet, which is computed anew when it is old.
    pub fn fleet(
        &mut self,
        compute: impl FnOnce() -> FleetView,
        settings: &RoomSettings,
        now_ms: u64,
    ) -> FleetView {
        if let Some((fleet, until_ms)) = self.fleet
            && now_ms < until_ms
        {
            return fleet;
        }
        let fleet = compute();
        self.fleet = Some((fleet, now_ms + settings.fleet_valid_ms));
        fleet
    }

    /// Returns the rank of this instance at the engine with a name hash, which is computed anew
    /// when it is old.
    pub fn rank(
        &mut self,
        engine: u32,
        compute: impl FnOnce() -> usize,
        settings: &RoomSettings,
        now_ms: u64,
    ) -> usize {
        let known = self.ranks.get(&engine);
        if let Some(known) = known.filter(|known| now_ms < known.until_ms) {
            return known.rank;
        }
        if self.ranks.len() >= MAX_ENGINES {
            self.ranks.retain(|_, known| now_ms < known.until_ms);
        }
        let rank = compute();
        let until_ms = now_ms + settings.rank_valid_ms;
        self.ranks.insert(engine, Rank { rank, until_ms });
        rank
    }

    /// Returns why an engine has no room for a request, or `None` if it has.
    ///
    /// The slots aren't divided: a request too many waits at the engine.
    pub fn barrier(
        need: RoomNeed,
        engine: &EngineUse,
        fleet: &FleetView,
        settings: &RoomSettings,
    ) -> Option<RoomBarrier> {
        let requests = engine.requests();
        if requests >= engine.slots && !need.is_resumed {
            return Some(RoomBarrier::Slots { requests });
        }
        let used_tokens = engine.used_tokens();
        let usable_tokens = settings.usable_tokens(engine.memory_tokens, need.is_resumed, fleet);
        if used_tokens + need.memory_tokens > usable_tokens {
            return Some(RoomBarrier::Memory {
                used_tokens,
                usable_tokens,
            });
        }
        // A request that is larger than a part takes one that is as large as itself.
        let part_tokens = engine.memory_tokens / settings.parts.max(1) as u64;
        let part_tokens = part_tokens.max(need.memory_tokens);
        let own_tokens = fixed_part(usable_tokens, part_tokens, engine.rank, fleet.instances);
        (engine.own_tokens() + need.memory_tokens > own_tokens)
            .then_some(RoomBarrier::Others { own_tokens })
    }
}
