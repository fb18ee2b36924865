use {
    crate::shared_state::SharedState,
    log::{info, warn},
    mangowalk_core::{
        edge::{Edges, Platform},
        platform::{ListReply, Object, ObjectKey, Precondition, system_kind},
    },
    rand::Rng,
    serde_json::json,
    std::{collections::HashMap, marker::PhantomData, net::SocketAddr},
};

/// Interval between two reads of the platform's list of instances. Membership
/// updates arrive from peers within seconds; the list only adds instances that
/// no peer knows.
const LIST_INTERVAL_MS: u64 = 60_000;

/// Interval between two reads of the list while no peer is reachable.
const ISOLATED_LIST_INTERVAL_MS: u64 = 2_000;

/// Pause after a failed call.
const RETRY_MS: u64 = 1_000;

/// Time after which the object of an instance that isn't live is deleted.
const REMOVE_AFTER_MS: u64 = 120_000;

/// Registers this instance in the platform's list of instances, and reads the
/// list.
pub(super) struct Registry<E> {
    registered: bool,
    next_put_ms: u64,
    next_list_ms: u64,
    has_list: bool,
    peers: Vec<SocketAddr>,
    /// Listed instances that aren't live, with the time when this was first seen.
    not_live_since_ms: HashMap<String, u64>,
    edges: PhantomData<fn() -> E>,
}

impl<E> Default for Registry<E> {
    fn default() -> Registry<E> {
        Registry {
            registered: false,
            next_put_ms: 0,
            next_list_ms: 0,
            has_list: false,
            peers: Vec::new(),
            not_live_since_ms: HashMap::new(),
            edges: PhantomData,
        }
    }
}

impl<E: Edges> Registry<E> {
    /// Registers the instance and reads the list, each when it is due.
    ///
    /// Registration comes first, so that of two instances that start at the same
    /// time, the one that registers later finds the other. If the list were read
    /// first, neither would find the other and both would serve for seconds as if
    /// isolated: each would claim the slots of a fleet of one, request tokens from
    /// no peer, and report crashes to no peer.
    pub(super) fn step(&mut self, edges: &E, shared: &SharedState, now_ms: u64) {
        if !self.registered && now_ms >= self.next_put_ms {
            self.register(edges, shared, now_ms);
        }
        if now_ms >= self.next_list_ms {
            self.read_list(edges, shared, now_ms);
        }
    }

    /// Returns the peer addresses of the listed instances, without this one.
    pub(super) fn peers(&self) -> &[SocketAddr] {
        &self.peers
    }

    /// Returns whether the list has been read.
    pub(super) fn has_list(&self) -> bool {
        self.has_list
    }

    /// Removes this instance from the list.
    pub(super) fn unregister(&mut self, edges: &E, shared: &SharedState) {
        self.registered = true;
        if let Err(error) = edges.platform().delete(&own_key(shared), Precondition::Any) {
            warn!("peers: This instance could not be removed from the platform's list. {error}");
        }
    }

    fn register(&mut self, edges: &E, shared: &SharedState, now_ms: u64) {
        let body = json!({
            "schema": 1,
            "peer_address": shared.identity.peer_address,
            "failure_domain": shared.identity.failure_domain,
            "operator_address": shared.operator_address,
        });
        // After a lost reply the write is repeated. It is idempotent.
        self.registered = edges
            .platform()
            .put(&own_key(shared), Precondition::Any, &body)
            .is_ok();
        self.next_put_ms = now_ms + jittered_ms(RETRY_MS);
    }

    fn read_list(&mut self, edges: &E, shared: &SharedState, now_ms: u64) {
        self.next_list_ms = now_ms + jittered_ms(RETRY_MS);
        let Ok(list) = edges.platform().list(&[system_kind::INSTANCE]) else {
            return;
        };
        self.has_list = true;
        self.peers = peer_addresses(shared, &list);
        let period_ms = if shared.peers.reachable().is_empty() {
            ISOLATED_LIST_INTERVAL_MS
        } else {
            LIST_INTERVAL_MS
        };
        self.next_list_ms = now_ms + jittered_ms(period_ms);
        let own = own_key(shared);
        self.registered &= list.objects.iter().any(|o| o.key == own);
        self.remove_dead(edges, shared, &list, now_ms);
    }

    /// Deletes the objects of instances that haven't been live for
    /// [`REMOVE_AFTER_MS`]. Only the live instance with the lowest address does
    /// so, and only at the version that it read, so that an instance that
    /// registered again stays.
    fn remove_dead(&mut self, edges: &E, shared: &SharedState, list: &ListReply, now_ms: u64) {
        let live = shared.peers.live();
        let own = shared.identity.caller_address;
        let is_first = live.iter().all(|v| own < v.caller_address);
        let not_live: Vec<&Object> = list
            .objects
            .iter()
            .filter(|o| o.key != own_key(shared))
            .filter(|o| {
                !live
                    .iter()
                    .any(|v| v.caller_address.to_string() == o.key.name)
            })
            .collect();
        self.not_live_since_ms
            .retain(|name, _| not_live.iter().any(|o| &o.key.name == name));
        for object in not_live {
            let since_ms = *self
                .not_live_since_ms
                .entry(object.key.name.clone())
                .or_insert(now_ms);
            if is_first && now_ms.saturating_sub(since_ms) >= REMOVE_AFTER_MS {
                info!("peers: Removing {} from the list.", object.key.name);
                let _ = edges
                    .platform()
                    .delete(&object.key, Precondition::Version(object.version));
            }
        }
    }
}

fn own_key(shared: &SharedState) -> ObjectKey {
    ObjectKey::new(
        system_kind::INSTANCE,
        &shared.identity.caller_address.to_string(),
    )
}

fn peer_addresses(shared: &SharedState, list: &ListReply) -> Vec<SocketAddr> {
    list.objects
        .iter()
        .filter_map(|o| o.body["peer_address"].as_str()?.parse().ok())
        .filter(|address| *address != shared.identity.peer_address)
        .collect()
}

/// Returns a random time between 0.5 and 1.5 times the given one, so that
/// instances that restart at the same time don't call the platform at the same
/// time.
fn jittered_ms(time_ms: u64) -> u64 {
    rand::rng().random_range(time_ms / 2..time_ms * 3 / 2)
}
