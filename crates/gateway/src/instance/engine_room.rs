use {
    super::Instance,
    mangowalk_core::{
        engine_room::{
            EngineRooms, EngineUse, FleetView, OtherInstances, RoomBarrier, RoomNeed, RoomSettings,
        },
        pool::{Incarnation, KnownEngine, rendezvous},
    },
};

impl Instance {
    /// Returns what a request of this size needs of an engine's memory; `None` where engines
    /// don't crash beyond it, and for requests without a model.
    pub fn room_need(&self, memory_tokens: u64, is_resumed: bool) -> Option<RoomNeed> {
        let is_limited = self.machine().limits_engine_memory && memory_tokens > 0;
        is_limited.then(|| RoomNeed {
            memory_tokens: self.settings.rooms.in_blocks(memory_tokens),
            is_resumed,
        })
    }

    /// Returns why an engine has no room for a request, or `None` if it has. The choice of an
    /// engine and the send itself ask it. `is_counted` tells whether the request is part of the
    /// known work already.
    pub fn room_barrier(
        &self,
        engine: &KnownEngine,
        need: RoomNeed,
        is_counted: bool,
        now_ms: u64,
    ) -> Option<RoomBarrier> {
        let engine_use = EngineUse {
            counted_tokens: if is_counted { need.memory_tokens } else { 0 },
            ..self.engine_use(engine, now_ms)?
        };
        let fleet = self.fleet_view(now_ms);
        EngineRooms::barrier(need, &engine_use, &fleet, &self.settings.rooms)
    }

    /// Returns why an engine that was chosen has no room any more for a request that is part of
    /// the known work.
    pub fn room_barrier_at_send(
        &self,
        engine: &Incarnation,
        need: RoomNeed,
        now_ms: u64,
    ) -> Option<RoomBarrier> {
        let engines = self.engines.borrow();
        let known = engines.get(&engine.id)?;
        self.room_barrier(known, need, true, now_ms)
    }

    /// Returns the known use of an engine; `None` if the size of its memory isn't known.
    fn engine_use(&self, engine: &KnownEngine, now_ms: u64) -> Option<EngineUse> {
        let routes = self.routes.borrow();
        let limits = routes.service(&engine.entry.service)?.engine?;
        let mut rooms = self.engine_rooms.borrow_mut();
        let hash = engine.name_hash;
        let rank = rooms.rank(
            hash,
            || self.room_rank(hash.into()),
            &self.settings.rooms,
            now_ms,
        );
        Some(EngineUse::of(engine, limits.memory_tokens, rank))
    }

    /// Returns the place of this instance in an order of all that may be running, heard or not,
    /// which depends on the engine only.
    fn room_rank(&self, engine: u64) -> usize {
        let own = rendezvous(engine, &self.machine().name);
        let (members, sharers) = (self.members.borrow(), self.retry_budgets.sharers.borrow());
        let names = members
            .iter()
            .map(|member| member.last_heartbeat.name.as_str());
        let names = names.chain(sharers.lost());
        names.filter(|name| rendezvous(engine, name) > own).count()
    }

    fn fleet_view(&self, now_ms: u64) -> FleetView {
        let mut rooms = self.engine_rooms.borrow_mut();
        rooms.fleet(
            || self.compute_fleet_view(now_ms),
            &self.settings.rooms,
            now_ms,
        )
    }

    fn compute_fleet_view(&self, now_ms: u64) -> FleetView {
        let settings = self.settings.rooms;
        let up_ms = now_ms.saturating_sub(self.started_ms);
        let machine = self.machine();
        // Before the first start of the fleet, no instance has sent anything.
        let has_former = !machine.is_first_start || up_ms >= settings.former_work_ms;
        let settings = RoomSettings {
            former_work_ms: if has_former {
                settings.former_work_ms
            } else {
                0
            },
            ..settings
        };
        let members = self.members.borrow();
        let live = members.live(&self.settings.mesh, now_ms);
        let peers_up_ms: Vec<u64> = live
            .map(|member| {
                let age_ms = now_ms.saturating_sub(member.received_ms);
                u64::from(member.last_heartbeat.up_ms) + age_ms
            })
            .collect();
        let known = members.iter().count();
        let others = OtherInstances {
            silent: known - peers_up_ms.len() + self.retry_budgets.sharers.borrow().lost().count(),
            unknown: members.expected_besides(machine.peer_address) - known,
        };
        FleetView::new(up_ms, peers_up_ms, others, &settings)
    }

    /// Returns metrics of the engines' memory in the Prometheus text format; nothing where
    /// engines don't crash beyond it.
    pub fn render_rooms(&self, now_ms: u64) -> String {
        if !self.machine().limits_engine_memory {
            return String::new();
        }
        let fleet = self.fleet_view(now_ms);
        let (mut used, mut usable, mut own, mut fullest_percent) = (0, 0, 0, 0);
        for engine in self.engines.borrow().staying_engines(now_ms) {
            let Some(engine_use) = self.engine_use(engine, now_ms) else {
                continue;
            };
            let memory_tokens = engine_use.memory_tokens;
            used += engine_use.used_tokens();
            usable += self
                .settings
                .rooms
                .usable_tokens(memory_tokens, false, &fleet);
            own += engine_use.own_tokens();
            let percent = 100 * engine_use.used_tokens() / memory_tokens.max(1);
            fullest_percent = percent.max(fullest_percent);
        }
        format!(
            "mangowalk_engine_room_used_tokens {used}\n\
             mangowalk_engine_room_usable_tokens {usable}\n\
             mangowalk_engine_room_own_tokens {own}\n\
             mangowalk_fullest_engine_percent {fullest_percent}\n",
        )
    }
}
