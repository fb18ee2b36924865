use mangowalk_core::{
    mesh::MeshSettings,
    pool::{AdmitSettings, ChoiceSettings},
    weights::{LeaseSettings, PlanSettings, WeightsSettings},
};

/// How an instance behaves. The platform's own figures are in its settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GatewaySettings {
    /// Heartbeats between instances.
    pub mesh: MeshSettings,
    /// Choice among engines.
    pub choice: ChoiceSettings,
    /// Refusal of requests that would wait too long.
    pub admit: AdmitSettings,
    /// Ages of weights that matter to requests.
    pub weights: WeightsSettings,
    /// Pace of new weights.
    pub plan: PlanSettings,
    /// The lease under which weights are ordered.
    pub lease: LeaseSettings,
    /// Longest time for a new connection within the deployment. Its ends are
    /// a few milliseconds apart; beyond this the other end is gone.
    pub connect_ms: u64,
    /// Silence of an engine with work, after which it is tried whether it
    /// still takes connections. A busy engine that reads one long prompt says
    /// nothing for about as long.
    pub silent_ms: u64,
    /// Time after which the system gives up unacknowledged bytes. A partition
    /// gives no reset, so nothing else ends such a connection.
    pub unacknowledged_ms: u64,
    /// Longest wait of one call for changes in the store. Each call is paid
    /// for; a watch that fell silent is noticed this much later.
    pub watch_ms: u64,
    /// The same for an instance that reads currently for the others. Shorter:
    /// the others may rely on it, and it is one of few.
    pub current_watch_ms: u64,
    /// Time that the answer to a watch may take beyond the wait that it was asked
    /// for.
    pub answer_ms: u64,
    /// Instances that read the store currently, the first by their names of
    /// those that reach it. The others' reading may lag by seconds, at a tenth
    /// of the price, and peers tell them what can't wait. One may be cut off
    /// without knowing it yet, so it takes two.
    pub current_readers: usize,
    /// Time by which a peer may learn of a change before this instance's own
    /// watch does. After it the store is asked for what the peer knows more.
    pub peer_lead_ms: u64,
    /// Time after the store's return in which engines that the list lacks are
    /// used: their entries lapsed meanwhile, and are written again in about two
    /// seconds.
    pub lapsed_ms: u64,
    /// Pause after changes of the list of engines, in which further changes
    /// gather. Each answer to a watch costs a call of every instance.
    pub gather_ms: u64,
    /// Longest time for any other call to the store.
    pub store_ms: u64,
    /// Seconds that callers may keep addresses. Some keep them three times as
    /// long, which has to fit into the time that a stopping instance has.
    pub keep_s: u64,
    /// Time that a stopping instance keeps before it is killed: for its last
    /// heartbeat and log lines, and timers that fire a tenth of a second late.
    /// With half of it some instances were killed, and the log did not say that
    /// they had stopped.
    pub exit_margin_ms: u64,
    /// Least time left for which a request is still sent to an engine.
    pub least_left_ms: u64,
}

impl Default for GatewaySettings {
    fn default() -> GatewaySettings {
        GatewaySettings {
            mesh: MeshSettings::default(),
            choice: ChoiceSettings::default(),
            admit: AdmitSettings::default(),
            weights: WeightsSettings {
                penalty_after_ms: 1_300,
                dispatch_until_ms: 6_500,
                start_until_ms: 7_700,
                unknown_age_grace_ms: 2_600,
            },
            plan: PlanSettings::default(),
            lease: LeaseSettings::default(),
            connect_ms: 300,
            silent_ms: 400,
            unacknowledged_ms: 2_000,
            watch_ms: 5_000,
            current_watch_ms: 2_500,
            answer_ms: 700,
            current_readers: 2,
            peer_lead_ms: 150,
            lapsed_ms: 2_000,
            gather_ms: 250,
            store_ms: 1_000,
            keep_s: 1,
            exit_margin_ms: 700,
            least_left_ms: 15,
        }
    }
}

impl GatewaySettings {
    /// Returns the age beyond which the list of engines is older than a watch
    /// that is answered lets it grow.
    pub fn list_fresh_ms(&self) -> u64 {
        self.watch_ms + self.answer_ms
    }
}
