use {
    super::jittered_ms,
    crate::{cli::Settings, shared_state::SharedState},
    mangowalk_core::{
        edge::{Clock, Edges},
        refusal::Refusal,
    },
    std::sync::Arc,
};

/// When a caller should retry if this instance has no usable records.
const NO_RECORDS_RETRY_MS: u64 = 1_000;

/// Minimum time after which a caller of a stopping instance may retry. It is short, as
/// the caller connects to another instance.
const STOPPING_RETRY_MS: u64 = 20;

/// Serves the requests of callers, using the shared state and the edges.
pub struct Router<E: Edges> {
    pub(crate) edges: Arc<E>,
    pub(super) shared: Arc<SharedState>,
    pub(super) settings: Settings,
}

impl<E: Edges> Router<E> {
    /// Returns a router that uses the given edges, shared state and settings.
    pub fn new(edges: Arc<E>, shared: Arc<SharedState>, settings: Settings) -> Router<E> {
        Router {
            edges,
            shared,
            settings,
        }
    }

    /// Returns the state that is shared with controllers.
    pub fn shared(&self) -> &SharedState {
        &self.shared
    }

    /// Returns the settings of the process.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the team that an API key authenticates.
    ///
    /// # Errors
    ///
    /// Fails if the key is missing, wrong or withdrawn, or if the records of
    /// this instance are not usable.
    pub fn authenticate(&self, key: Option<&str>) -> Result<String, Refusal> {
        self.check_records()?;
        let view = self.shared.config.view();
        key.and_then(|key| view.team_of_key(key))
            .map(str::to_owned)
            .ok_or(Refusal::Unauthorized)
    }

    /// Returns the current time, in milliseconds.
    pub(crate) fn now_ms(&self) -> u64 {
        self.edges.clock().now_ms()
    }

    /// Checks that a request is answered before this instance exits.
    ///
    /// # Errors
    ///
    /// Refuses it if the instance drains and may exit before.
    pub(super) fn check_time_to_exit(&self, may_run_again: bool) -> Result<(), Refusal> {
        let timeout_ms = self.settings.request_timeout_ms;
        let lifecycle = &self.shared.lifecycle;
        match lifecycle.can_finish(timeout_ms, may_run_again, self.now_ms()) {
            true => Ok(()),
            false => Err(Refusal::Unavailable {
                reason: "This instance is stopping; connect to another one",
                retry_ms: jittered_ms(STOPPING_RETRY_MS),
            }),
        }
    }

    /// Returns whether a key still authenticates a team. Called again right
    /// before a queued request is sent, as the key may have been withdrawn
    /// meanwhile.
    pub fn still_authorized(&self, team: &str, key_digest: &str) -> bool {
        let view = self.shared.config.view();
        view.team_of_digest(key_digest) == Some(team)
    }

    /// Checks that the configuration records may be used.
    ///
    /// # Errors
    ///
    /// Fails while there are no records, while they are compared with those of
    /// peers after the start, and while they were not confirmed for too long.
    fn check_records(&self) -> Result<(), Refusal> {
        let now_ms = self.now_ms();
        let reason = if self.shared.config.view().revision == 0 {
            "This instance has no configuration yet"
        } else if self.shared.lifecycle.is_starting() {
            "This instance compares its configuration with its peers"
        } else if !self.shared.config.freshness().is_usable(now_ms) {
            "This instance is cut off, and can't tell which keys are withdrawn"
        } else {
            return Ok(());
        };
        Err(Refusal::Unavailable {
            reason,
            retry_ms: NO_RECORDS_RETRY_MS,
        })
    }
}
