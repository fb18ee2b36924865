use mangowalk_core::{
    admission::{BacklogSettings, WaitingSettings},
    brittle::BrittleSettings,
    capacity::PaceSettings,
    confirmation::ConfirmationSettings,
    crash_part::CrashPartSettings,
    engine_limit::EngineLimitSettings,
    engine_notice::NoticeSettings,
    kv_store::KvStoreSettings,
    mesh::MeshSettings,
    origin::OriginSettings,
    path::PathSettings,
    pool::{AdmitSettings, ChoiceSettings, ListPartSettings},
    stream::{EndWitnessSettings, EventBounds},
    weights::{OrderLeaseSettings, PlanSettings, RollingSettings, WeightsSettings},
};

/// Settings of the router's behavior. The exclusion time of the lease, the bounds on
/// weights and how long knowledge counts as confirmed are set from the platform's settings
/// file at the start; the others don't depend on it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GatewaySettings {
    /// Heartbeats, and when a peer counts as silent or gone.
    pub mesh: MeshSettings,
    /// Choice of an engine for a request.
    pub choice: ChoiceSettings,
    /// Part of the engine list that an instance of a large fleet reads.
    pub list_part: ListPartSettings,
    /// How long reports of KV cache stores hold.
    pub kv_stores: KvStoreSettings,
    /// Refusal of requests that would wait too long.
    pub admission: AdmitSettings,
    /// Protection of urgent requests from the backlog of others.
    pub backlog: BacklogSettings,
    /// Requests that wait for engines.
    pub waiting: WaitingSettings,
    /// Sparing of engines that fall over when they reject too much.
    pub brittle: BrittleSettings,
    /// Rejection of parts of prompts that crash engines.
    pub crash_parts: CrashPartSettings,
    /// Keeping to the limits on requests that engines name.
    pub engine_limits: EngineLimitSettings,
    /// How long what engines say of themselves holds.
    pub notices: NoticeSettings,
    /// How the pace of engines is smoothed, told and forgotten.
    pub paces: PaceSettings,
    /// Loss of the path to the engines, and requests that are passed on to peers then.
    pub path: PathSettings,
    /// How long and where it is known where streams began.
    pub origins: OriginSettings,
    /// Bounds on the age of weights that requests may use.
    pub weights: WeightsSettings,
    /// Pace of a rollout of new weights.
    pub plan: PlanSettings,
    /// Limits for changes of weights whose loads take long.
    pub rolling: RollingSettings,
    /// The lease under which orders are sent to engines.
    pub lease: OrderLeaseSettings,
    /// How long what is known of the store counts as confirmed.
    pub confirmations: ConfirmationSettings,
    /// Timeout for a new connection to an engine. Machines of a deployment are a
    /// few milliseconds apart, so after this time the engine is gone.
    pub connect_timeout_ms: u64,
    /// Time without a byte from an engine with work, after which it is probed for
    /// whether it still accepts connections. A busy engine that prefills one long
    /// prompt sends nothing for about as long.
    pub probe_after_ms: u64,
    /// Time without a byte after which a stream that has begun is moved away from an
    /// engine that accepts no connection. Sound engines may be silent for about a second
    /// and go on, and what they have read of the prompt would be read again elsewhere.
    pub stall_after_ms: u64,
    /// Value of `TCP_USER_TIMEOUT`, after which unacknowledged bytes end a
    /// connection. A partition sends no reset, so nothing else would end it.
    pub tcp_user_timeout_ms: u64,
    /// Longest wait of one watch call to the store. Each call has a price, but a
    /// watch without an answer is noticed only after this time.
    pub max_watch_ms: u64,
    /// Longest wait of one watch call for orders to replace software, of an instance that
    /// reads current state. Shorter than [`Self::max_watch_ms`], as other instances may rely
    /// on it. For the other kinds [`Self::confirmations`] bounds the age of what is known.
    pub max_current_watch_ms: u64,
    /// Time beyond the requested wait within which the answer to a watch must
    /// arrive.
    pub watch_answer_margin_ms: u64,
    /// Number of instances that read current state from the store: the first by
    /// name of those that can reach it. Reads of the others may lag by seconds, at
    /// a tenth of the price, and peers report urgent changes to them. One reader
    /// may be cut off without having noticed, so there must be two.
    pub current_readers: usize,
    /// Time by which a peer may receive a change before this instance's own watch
    /// does. If the peer is still ahead after it, the store is read again.
    pub peer_lead_ms: u64,
    /// Grace period after the recovery of the store in which engines with a missing
    /// entry are still used: their entries expired during the outage, and are
    /// written again within about two seconds.
    pub expired_entry_grace_ms: u64,
    /// Time for which further changes of the engine list are batched after a change.
    /// Each answer to a watch costs every instance one call.
    pub batch_ms: u64,
    /// Timeout of all other calls to the store.
    pub store_call_timeout_ms: u64,
    /// Seconds for which callers may cache the addresses of instances. Some callers
    /// keep them three times as long, and a stopping instance must have that time.
    pub address_ttl_s: u64,
    /// Time that a stopping instance reserves before it is killed, for its last
    /// heartbeat and log lines and for timers that fire 100 ms late. With half of
    /// it some instances were killed before they logged that they had stopped.
    pub exit_margin_ms: u64,
    /// Search for a witness of the end of an answer that ends with its connection.
    pub end_witness: EndWitnessSettings,
    /// Bounds on bytes of a stream that are no event.
    pub event_bounds: EventBounds,
    /// Time without a byte taken by the caller of a stream after which its connection is
    /// closed. Engines abort an answer that stays unread for some seconds, and begin to count
    /// only once the buffers of this instance are full as well.
    pub slow_stream_ms: u64,
    /// Time without a byte taken by the caller of a complete answer after which its connection
    /// is closed. No engine waits, so that the caller may take as long as for an idle
    /// connection.
    pub unread_answer_ms: u64,
    /// Minimum time left until a request's deadline for it to be sent to an engine.
    pub min_remaining_ms: u64,
}

impl Default for GatewaySettings {
    fn default() -> GatewaySettings {
        GatewaySettings {
            mesh: MeshSettings::default(),
            choice: ChoiceSettings::default(),
            list_part: ListPartSettings::default(),
            kv_stores: KvStoreSettings::default(),
            admission: AdmitSettings::default(),
            backlog: BacklogSettings::default(),
            waiting: WaitingSettings::default(),
            brittle: BrittleSettings::default(),
            crash_parts: CrashPartSettings::default(),
            engine_limits: EngineLimitSettings::default(),
            notices: NoticeSettings::default(),
            paces: PaceSettings::default(),
            path: PathSettings::default(),
            origins: OriginSettings::default(),
            weights: WeightsSettings {
                penalty_after_ms: 1_300,
                dispatch_until_ms: 6_500,
                start_until_ms: 7_700,
                unknown_age_grace_ms: 2_600,
            },
            plan: PlanSettings::default(),
            rolling: RollingSettings::default(),
            lease: OrderLeaseSettings::default(),
            confirmations: ConfirmationSettings::default(),
            connect_timeout_ms: 300,
            probe_after_ms: 400,
            stall_after_ms: 1_500,
            tcp_user_timeout_ms: 2_000,
            max_watch_ms: 5_000,
            max_current_watch_ms: 2_500,
            watch_answer_margin_ms: 700,
            current_readers: 2,
            peer_lead_ms: 150,
            expired_entry_grace_ms: 2_000,
            batch_ms: 250,
            store_call_timeout_ms: 1_000,
            address_ttl_s: 1,
            exit_margin_ms: 700,
            end_witness: EndWitnessSettings::default(),
            event_bounds: EventBounds::default(),
            slow_stream_ms: 5_000,
            unread_answer_ms: 10_000,
            min_remaining_ms: 15,
        }
    }
}

impl GatewaySettings {
    /// Returns the age in milliseconds that the engine list doesn't exceed as long
    /// as each watch is answered.
    pub fn max_list_age_ms(&self) -> u64 {
        self.max_watch_ms + self.watch_answer_margin_ms
    }
}
