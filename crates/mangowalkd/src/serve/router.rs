use {
    crate::{board::Board, cli::Settings},
    mangowalk_core::{edge::Edges, refusal::Refusal},
    std::sync::Arc,
};

/// Serves requests with what the board knows.
pub struct Router<E: Edges> {
    pub(crate) edges: Arc<E>,
    pub(super) board: Arc<Board>,
    pub(super) settings: Settings,
}

impl<E: Edges> Router<E> {
    /// Returns a router over a board.
    pub fn new(edges: Arc<E>, board: Arc<Board>, settings: Settings) -> Router<E> {
        Router {
            edges,
            board,
            settings,
        }
    }

    /// Returns the board.
    pub fn board(&self) -> &Board {
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
        let view = self.board.config.view();
        if view.revision == 0 {
            return Err(Refusal::Unavailable {
                reason: "This instance has no configuration yet",
                retry_ms: 1_000,
            });
        }
        key.and_then(|key| view.team_of_key(key))
            .map(str::to_owned)
            .ok_or(Refusal::Unauthorized)
    }
}
