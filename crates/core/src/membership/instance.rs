use std::marker::PhantomData;

/// The instance has no records yet, or did not compare them with a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Starting;

/// The instance takes callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ready;

/// The instance serves who comes, and names others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Draining;

/// No request is open and none is taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stopped;

/// Life cycle of an instance. Only the steps below exist, so that no code
/// path can make a draining instance ready again or stop one that still
/// serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Instance<P> {
    since_ms: u64,
    phase: PhantomData<P>,
}

/// What a starting instance knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StartingFacts {
    /// Whether every record up to some revision is held.
    pub has_records: bool,
    /// Whether a peer answered.
    pub compared: bool,
    /// Whether any peer is known that could answer.
    pub knows_peers: bool,
}

/// Longest time for which a starting instance waits for a peer's records.
///
/// A list may lag behind what peers have in force; a restarted instance that
/// served from it would accept a key that the others refuse already. Peers
/// that are all down must not keep it from serving, hence the bound.
const MAX_COMPARE_WAIT_MS: u64 = 1_500;

impl Instance<Starting> {
    /// Returns an instance that starts.
    pub fn starting(now_ms: u64) -> Instance<Starting> {
        Instance::entered_at(now_ms)
    }

    /// Becomes ready if the facts allow it.
    ///
    /// # Errors
    ///
    /// Returns the instance unchanged if it must still wait.
    pub fn ready(
        self,
        facts: StartingFacts,
        now_ms: u64,
    ) -> Result<Instance<Ready>, Instance<Starting>> {
        let waited_ms = now_ms.saturating_sub(self.since_ms);
        let compared = facts.compared || !facts.knows_peers || waited_ms >= MAX_COMPARE_WAIT_MS;
        if facts.has_records && compared {
            return Ok(Instance::entered_at(now_ms));
        }
        Err(self)
    }

    /// Leaves before it was ready.
    pub fn drain(self, now_ms: u64) -> Instance<Draining> {
        Instance::entered_at(now_ms)
    }
}

impl Instance<Ready> {
    /// Leaves.
    pub fn drain(self, now_ms: u64) -> Instance<Draining> {
        Instance::entered_at(now_ms)
    }
}

impl Instance<Draining> {
    /// Stops if callers had time to learn of it and no request is open.
    ///
    /// # Errors
    ///
    /// Returns the instance unchanged if it must still serve.
    pub fn stop(
        self,
        open_requests: usize,
        grace_ms: u64,
        now_ms: u64,
    ) -> Result<Instance<Stopped>, Instance<Draining>> {
        let waited_ms = now_ms.saturating_sub(self.since_ms);
        if open_requests == 0 && waited_ms >= grace_ms {
            return Ok(Instance::entered_at(now_ms));
        }
        Err(self)
    }
}

impl<P> Instance<P> {
    fn entered_at(since_ms: u64) -> Instance<P> {
        Instance {
            since_ms,
            phase: PhantomData,
        }
    }

    /// Returns since when the instance is in this phase.
    pub fn since_ms(&self) -> u64 {
        self.since_ms
    }
}
