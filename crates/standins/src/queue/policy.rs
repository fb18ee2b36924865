use {
    super::request::Request,
    derive_more::Display,
    mangowalk_core::engine::{CacheEvents, EngineState},
};

/// Policies that the model compares.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum PolicyKind {
    /// The router's own decisions.
    #[display("mangowalk")]
    Mangowalk,
    /// The router's own decisions without cache events, as in a large fleet.
    #[display("mangowalk, no events")]
    NoEvents,
    /// The router's own decisions with import from the KV cache store.
    #[display("mangowalk, import")]
    Import,
    /// Engines in turn.
    #[display("round robin")]
    RoundRobin,
    /// The engine with the least load, by lagging reports and the instance's own
    /// requests.
    #[display("least loaded")]
    LeastLoaded,
    /// The engine given by a hash of the shared prefix, whose length the policy
    /// knows from the workload.
    #[display("prefix hash")]
    PrefixHash,
    /// One queue for all teams in the order of arrival.
    #[display("one FIFO queue")]
    Fifo,
    /// A fixed share of all slots for each team.
    #[display("static shares")]
    StaticShares,
}

impl PolicyKind {
    /// Every policy, in the order of the printed table.
    pub const ALL: [PolicyKind; 8] = [
        PolicyKind::Mangowalk,
        PolicyKind::NoEvents,
        PolicyKind::Import,
        PolicyKind::RoundRobin,
        PolicyKind::LeastLoaded,
        PolicyKind::PrefixHash,
        PolicyKind::Fifo,
        PolicyKind::StaticShares,
    ];
}

/// What an instance does with a request that it received.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Action {
    /// Sends the request to an engine, which imports `import_blocks` blocks from
    /// the KV cache store.
    Send {
        id: u64,
        engine: usize,
        import_blocks: usize,
    },
    /// Refuses the request.
    Refuse { id: u64 },
}

/// Decisions of one instance. Methods that return actions may also return those
/// of requests that were queued.
pub(super) trait Policy {
    /// Takes a new request, of which the KV cache store holds
    /// `cache_store_blocks` blocks.
    fn arrive(&mut self, request: &Request, cache_store_blocks: usize, now_ms: u64) -> Vec<Action>;
    /// Sends a request whose engine crashed to another engine.
    fn reroute(&mut self, request: &Request, failed_engine: usize, now_ms: u64) -> Vec<Action>;
    /// Takes the report of an engine, `None` if it did not respond.
    fn report(&mut self, engine: usize, state: Option<&EngineState>, now_ms: u64) -> Vec<Action>;
    /// Records that a request's first token has arrived.
    fn first_token(&mut self, id: u64, now_ms: u64);
    /// Records that a request has ended at an engine; `cached_blocks` is `None`
    /// if it did not complete.
    fn ended(
        &mut self,
        id: u64,
        engine: usize,
        cached_blocks: Option<usize>,
        now_ms: u64,
    ) -> Vec<Action>;
    /// Removes a request whose caller has disconnected from the queue. Returns
    /// whether it was queued.
    fn cancel(&mut self, id: u64) -> bool;
    /// Sends or refuses queued requests.
    fn tick(&mut self, now_ms: u64) -> Vec<Action>;
    /// Returns the sequence number from which to read an engine's cache events,
    /// `None` if the policy does not read them.
    fn events_from(&self, _engine: usize) -> Option<u64> {
        None
    }
    /// Takes the cache events read from an engine.
    fn cache_events(&mut self, _engine: usize, _events: &CacheEvents) {}
}
