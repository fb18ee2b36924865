use {
    crate::shared_state::SharedState,
    log::info,
    mangowalk_core::{
        edge::{Clock, Edges, Platform, PlatformError},
        membership::{ControllerLease, ControllerLeaseHeld, ControllerLeaseSettings, Watching},
        peer::InstanceView,
        platform::{ObjectKey, Precondition, system_kind},
        record::digest_of,
    },
    serde_json::json,
    std::net::SocketAddr,
};

/// Instances that try to get a lease. More would cause useless reads; with
/// fewer, nobody would take it after two instances died at the same time.
const CANDIDATES: usize = 3;

/// Interval between two reads of a lease that another instance holds.
const POLL_INTERVAL_MS: u64 = 1_000;

#[derive(Debug, Clone, Copy)]
enum State {
    Watching(ControllerLease<Watching>),
    Held(ControllerLease<ControllerLeaseHeld>),
}

/// Acquires, renews and releases one lease in the platform.
pub(super) struct LeaseManager {
    name: String,
    nonce: u64,
    state: State,
    /// Time of the next read while another instance holds the lease.
    next_poll_ms: u64,
}

impl LeaseManager {
    /// Returns a manager of the lease with this name.
    pub(super) fn new(name: &str, now_ms: u64) -> LeaseManager {
        LeaseManager {
            name: name.to_owned(),
            nonce: rand::random(),
            state: State::Watching(ControllerLease::watching(
                ControllerLeaseSettings::default(),
                now_ms,
            )),
            next_poll_ms: 0,
        }
    }

    /// Acquires or renews the lease if that is due, and returns it if it is held.
    pub(super) fn maintain<E: Edges>(
        &mut self,
        edges: &E,
        shared: &SharedState,
    ) -> Option<ControllerLease<ControllerLeaseHeld>> {
        let now_ms = edges.clock().now_ms();
        match self.state {
            State::Held(held) if !held.is_valid(now_ms) => {
                info!("lease: {} expired.", self.name);
                self.state = State::Watching(held.lost(now_ms));
            }
            State::Held(held) if held.needs_renewal(now_ms) => {
                self.renew(edges, shared, held, now_ms);
            }
            State::Held(_) => {}
            State::Watching(watching) if now_ms >= self.next_poll_ms => {
                self.next_poll_ms = now_ms + POLL_INTERVAL_MS;
                self.try_acquire(edges, shared, watching);
            }
            State::Watching(_) => {}
        }
        self.held(edges.clock().now_ms())
    }

    /// Returns the lease if it is held at this time.
    pub(super) fn held(&self, now_ms: u64) -> Option<ControllerLease<ControllerLeaseHeld>> {
        match self.state {
            State::Held(held) if held.is_valid(now_ms) => Some(held),
            _ => None,
        }
    }

    /// Releases the lease, so that another instance can take it immediately.
    pub(super) fn release<E: Edges>(&mut self, edges: &E) {
        let now_ms = edges.clock().now_ms();
        if let State::Held(held) = self.state {
            let expect = Precondition::Version(held.fencing());
            let _ = edges.platform().delete(&self.key(), expect);
            self.state = State::Watching(held.lost(now_ms));
        }
    }

    fn key(&self) -> ObjectKey {
        ObjectKey::new(system_kind::LEASE, &self.name)
    }

    fn renew<E: Edges>(
        &mut self,
        edges: &E,
        shared: &SharedState,
        held: ControllerLease<ControllerLeaseHeld>,
        requested_ms: u64,
    ) {
        // Without a reply the outcome is unknown, and the lease lasts until its
        // current expiry.
        if let Some(version) = self.write(edges, shared, Precondition::Version(held.fencing())) {
            self.state = State::Held(held.renewed(version, requested_ms));
        }
    }

    /// Reads the lease, and acquires it if it is free.
    fn try_acquire<E: Edges>(
        &mut self,
        edges: &E,
        shared: &SharedState,
        mut watching: ControllerLease<Watching>,
    ) {
        let Ok(object) = edges.platform().get(&self.key()) else {
            return;
        };
        let now_ms = edges.clock().now_ms();
        watching.observe(object.map_or(0, |o| o.version), now_ms);
        self.state = State::Watching(watching);
        let Some(version) = watching.free_version(now_ms) else {
            return;
        };
        let expect = match version {
            0 => Precondition::Absent,
            version => Precondition::Version(version),
        };
        if let Some(version) = self.write(edges, shared, expect) {
            info!(
                "lease: Holding {} with fencing number {version}.",
                self.name
            );
            self.state = State::Held(watching.acquired(version, now_ms));
        }
    }

    /// Writes the lease and returns its version. After a lost reply the lease is
    /// read, and the nonce shows whether this write took effect.
    fn write<E: Edges>(
        &mut self,
        edges: &E,
        shared: &SharedState,
        expect: Precondition,
    ) -> Option<u64> {
        self.nonce = rand::random();
        let body = json!({
            "schema": 1,
            "holder": shared.identity.caller_address,
            "nonce": self.nonce,
        });
        match edges.platform().put(&self.key(), expect, &body) {
            Ok(version) => Some(version),
            Err(PlatformError::Lost) => self.read_back(edges),
            Err(_) => None,
        }
    }

    fn read_back<E: Edges>(&self, edges: &E) -> Option<u64> {
        let object = edges.platform().get(&self.key()).ok()??;
        (object.body["nonce"].as_u64() == Some(self.nonce)).then_some(object.version)
    }
}

/// Returns whether this instance is among those that try to get a lease. The
/// choice uses rendezvous hashing, so that instances with the same set of live
/// peers agree without communication.
pub(super) fn is_candidate(shared: &SharedState, lease: &str) -> bool {
    let weight = |address: SocketAddr| digest_of(&format!("{lease}/{address}"));
    let own = weight(shared.identity.caller_address);
    let lower = |v: &InstanceView| weight(v.caller_address) < own;
    let before = shared.peers.live().into_iter().filter(lower).count();
    !shared.lifecycle.is_starting() && !shared.lifecycle.is_departing() && before < CANDIDATES
}
