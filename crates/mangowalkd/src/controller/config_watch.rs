use {
    super::Controller,
    crate::shared_state::SharedState,
    log::{info, warn},
    mangowalk_core::{
        edge::{Clock, Edges, Platform, PlatformError},
        record::Kind,
    },
    rand::Rng,
    std::marker::PhantomData,
};

/// Maximum wait of one watch call. An idle instance makes one call to the
/// platform in this time.
const WATCH_WAIT_MS: u64 = 10_000;

/// Minimum pause after a failed call. The pause is random between this and four
/// times as long, so that instances that lost the platform at the same time
/// don't all retry at the same time.
const RETRY_MS: u64 = 250;

/// Updates the records in force from the platform, by a list and then watches.
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
    fn list(&mut self, edges: &E, shared: &SharedState) -> Result<(), PlatformError> {
        let list = edges.platform().list(&as_strs(&record_kinds()))?;
        let changed = shared.config.update(|store| store.merge_list(&list));
        info!(
            "config: Listed revision {}, {changed} records changed.",
            list.revision
        );
        self.listed = true;
        Ok(())
    }

    fn watch(&mut self, edges: &E, shared: &SharedState) -> Result<(), PlatformError> {
        let after = shared.config.read(|store| store.revision());
        let kinds = record_kinds();
        // Each answer confirms the records. Several answers must fit into the
        // time for which unconfirmed records may be used.
        let wait_ms = WATCH_WAIT_MS.min(shared.config.freshness().limit_ms / 4);
        let reply = edges.platform().watch(&as_strs(&kinds), after, wait_ms)?;
        if reply.compacted {
            info!("config: The platform has compacted revision {after}; listing again.");
            self.listed = false;
            return Ok(());
        }
        let refused = shared.config.update(|store| store.merge_watch(&reply));
        if refused > 0 {
            warn!("config: {refused} records were refused; see their status.");
        }
        Ok(())
    }
}

impl<E: Edges> Controller for ConfigWatch<E> {
    type Edges = E;

    const NAME: &'static str = "config";

    fn step(&mut self, edges: &E, shared: &SharedState, _now_ms: u64) -> u64 {
        let result = if self.listed {
            self.watch(edges, shared)
        } else {
            self.list(edges, shared)
        };
        match result {
            Ok(()) => {
                shared.config.confirm(edges.clock().now_ms());
                0
            }
            Err(error) => {
                warn!("config: {error}");
                rand::rng().random_range(RETRY_MS..RETRY_MS * 4)
            }
        }
    }
}

fn record_kinds() -> Vec<String> {
    Kind::HELD_BY_INSTANCES
        .iter()
        .map(Kind::to_string)
        .collect()
}

fn as_strs(kinds: &[String]) -> Vec<&str> {
    kinds.iter().map(String::as_str).collect()
}
