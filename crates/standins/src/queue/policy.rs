use {
    super::request::Request,
    derive_more::Display,
    mangowalk_core::engine::{CacheEvents, EngineState},
};

/// The policies that are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum PolicyKind {
    /// The router's own decisions.
    #[display("mangowalk")]
    Mangowalk,
    /// The router's own decisions without cache events, as in a large fleet.
    #[display("mangowalk, no events")]
    NoEvents,
    /// The router's own decisions with the store of kept pieces.
    #[display("mangowalk, import")]
    Import,
    /// One engine after the other.
    #[display("round robin")]
    RoundRobin,
    /// The engine with the least load, by lagging reports and own requests.
    #[display("least loaded")]
    LeastLoaded,
    /// A hash of the two shared levels, which it is told.
    #[display("prefix hash")]
    PrefixHash,
    /// One queue for all teams, in the order of arrival.
    #[display("one FIFO queue")]
    Fifo,
    /// A fixed share of all slots for each team.
    #[display("static shares")]
    StaticShares,
}

impl PolicyKind {
    /// Every policy, in the order of the table.
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

/// What an instance does with a request.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Action {
    /// Sends it to an engine.
    Send {
        id: u64,
        engine: usize,
        import_blocks: usize,
    },
    /// Refuses it.
    Refuse { id: u64 },
}

/// How one instance decides.
pub(super) trait Policy {
    fn arrive(&mut self, request: &Request, cache_store_blocks: usize, now_ms: u64) -> Vec<Action>;
    /// Places a request whose engine died.
    fn reroute(&mut self, request: &Request, failed_engine: usize, now_ms: u64) -> Vec<Action>;
    fn report(&mut self, engine: usize, state: Option<&EngineState>, now_ms: u64) -> Vec<Action>;
    fn first_token(&mut self, id: u64, now_ms: u64);
    fn ended(
        &mut self,
        id: u64,
        engine: usize,
        cached_blocks: Option<usize>,
        now_ms: u64,
    ) -> Vec<Action>;
    /// Takes out a request whose caller has gone. Returns whether it waited.
    fn cancel(&mut self, id: u64) -> bool;
    fn tick(&mut self, now_ms: u64) -> Vec<Action>;
    fn events_from(&self, _engine: usize) -> Option<u64> {
        None
    }
    fn cache_events(&mut self, _engine: usize, _events: &CacheEvents) {}
}
