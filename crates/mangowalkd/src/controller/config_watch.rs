use {
    super::Controller,
    crate::board::Board,
    log::{info, warn},
    mangowalk_core::{
        config::MergeOutcome,
        edge::{Edges, Platform, PlatformError},
        record::Kind,
    },
    std::marker::PhantomData,
};

/// Time that one watch waits. One call in this time is all that an idle
/// instance costs the platform.
const WATCH_WAIT_MS: u64 = 10_000;

/// Pause after a failed call.
const RETRY_MS: u64 = 500;

/// Keeps the records in force up to date with the platform.
pub struct ConfigWatch<E> {
    listed: bool,
    edges: PhantomData<fn() -> E>,
}

impl<E> Default for ConfigWatch<E> {
    fn default() -> ConfigWatch<E> {
        ConfigWatch {
            listed: false,
            edges: PhantomData,
        }
    }
}

impl<E: Edges> ConfigWatch<E> {
    fn list(&mut self, edges: &E, board: &Board) -> Result<(), PlatformError> {
        let kinds: Vec<String> = Kind::ALL.iter().map(Kind::to_string).collect();
        let kinds: Vec<&str> = kinds.iter().map(String::as_str).collect();
        let list = edges.platform().list(&kinds)?;
        let changed = board.config.update(|store| store.merge_list(&list));
        info!(
            "config: Listed revision {}, {changed} records changed.",
            list.revision
        );
        self.listed = true;
        Ok(())
    }

    fn watch(&mut self, edges: &E, board: &Board) -> Result<(), PlatformError> {
        let kinds: Vec<String> = Kind::ALL.iter().map(Kind::to_string).collect();
        let kinds: Vec<&str> = kinds.iter().map(String::as_str).collect();
        let after = board.config.read(|store| store.revision());
        let reply = edges.platform().watch(&kinds, after, WATCH_WAIT_MS)?;
        if reply.compacted {
            self.listed = false;
            return Ok(());
        }
        board.config.update(|store| {
            for change in &reply.changes {
                if store.merge_change(change) == MergeOutcome::Refused {
                    warn!("config: A record was refused; see its status.");
                }
            }
            store.advance(reply.revision);
        });
        Ok(())
    }
}

impl<E: Edges> Controller for ConfigWatch<E> {
    type Edges = E;

    const NAME: &'static str = "config";

    fn step(&mut self, edges: &E, board: &Board, _now_ms: u64) -> u64 {
        let result = if self.listed {
            self.watch(edges, board)
        } else {
            self.list(edges, board)
        };
        match result {
            Ok(()) => 0,
            Err(error) => {
                warn!("config: {error}");
                RETRY_MS
            }
        }
    }
}
