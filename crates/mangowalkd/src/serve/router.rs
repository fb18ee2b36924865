use {
    crate::{cli::Settings, shared_state::SharedState},
    mangowalk_core::{
        edge::{Clock, Edges},
        refusal::Refusal,
    },
    std::sync::Arc,
};

/// When a caller should come back to an instance without usable records.
const NO_RECORDS_RETRY_MS: u64 = 1_000;

/// Serves requests with what the board knows.
pub struct Router<E: Edges> {
    pub(crate) edges: Arc<E>,
    pub(super) board: Arc<SharedState>,
    pub(super) settings: Settings,
}

impl<E: Edges> Router<E> {
    /// Returns a router over a board.
    pub fn new(edges: Arc<E>, board: Arc<SharedState>, settings: Settings) -> Router<E> {
        Router {
            edges,
            board,
            settings,
        }
    }

    /// Returns the board.
    pub fn shared(&self) -> &SharedState {
        &self.board
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the team that a key authenticates.
    ///
    /// # Errors
    ///
    /// Fails where the key is wrong or withdrawn, or no record is held yet.
    pub fn authenticate(&self, key: Option<&str>) -> Result<String, Refusal> {
        self.records_usable()?;
        let view = self.board.config.view();
        key.and_then(|key| view.team_of_key(key))
            .map(str::to_owned)
            .ok_or(Refusal::Unauthorized)
    }

    /// Returns the present time.
    pub(crate) fn now_ms(&self) -> u64 {
        self.edges.clock().now_ms()
    }

    /// Returns whether a key still authenticates a team. A request that waited
    /// asks again right before it is sent: the key may be withdrawn by now.
    pub fn still_authorized(&self, team: &str, key_digest: &str) -> bool {
        let view = self.board.config.view();
        view.team_of_digest(key_digest) == Some(team)
    }

    /// Refuses while the records held can't be relied on.
    fn records_usable(&self) -> Result<(), Refusal> {
        let now_ms = self.now_ms();
        let reason = if self.board.config.view().revision == 0 {
            "This instance has no configuration yet"
        } else if self.board.lifecycle.is_starting() {
            "This instance compares its configuration with its peers"
        } else if !self.board.config.freshness().is_usable(now_ms) {
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
