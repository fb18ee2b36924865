use std::marker::PhantomData;

/// Phase of an instance that has no records yet or has not compared them with a
/// peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Starting;

/// Phase of an instance that accepts callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ready;

/// Phase of an instance that is leaving: it still serves requests, and directs
/// callers to other instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Draining;

/// Phase of an instance that has no open request and accepts none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stopped;

/// Life cycle of an instance, with the phase as a type parameter. Only the
/// transitions below exist, so no code path can make a draining instance ready
/// again or stop one that still serves requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Instance<P> {
    since_ms: u64,
    phase: PhantomData<P>,
}

/// Conditions for a starting instance to become ready.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StartingFacts {
    /// Whether every record up to some revision is stored.
    pub has_records: bool,
    /// Whether a peer has answered.
    pub compared: bool,
    /// Whether any peer is known that could answer.
    pub knows_peers: bool,
}

/// Maximum time for which a starting instance waits for a peer's records.
///
/// A list may lag behind the records that peers have in force. A restarted
/// instance that served from such a list would accept a key that the others
/// already refuse. The wait is bounded so that peers that are all down do not
/// keep the instance from serving.
const MAX_COMPARE_WAIT_MS: u64 = 1_500;

impl Instance<Starting> {
    /// Returns an instance in its starting phase since `now_ms`.
    pub fn starting(now_ms: u64) -> Instance<Starting> {
        Instance::entered_at(now_ms)
    }

    /// Becomes ready if the records are there and were compared with a peer, no
    /// peer is known, or the wait for one has timed out.
    ///
    /// # Errors
    ///
    /// Returns the instance unchanged if it has to wait longer.
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

    /// Starts to drain without having been ready.
    pub fn drain(self, now_ms: u64) -> Instance<Draining> {
        Instance::entered_at(now_ms)
    }
}

impl Instance<Ready> {
    /// Starts to drain.
    pub fn drain(self, now_ms: u64) -> Instance<Draining> {
        Instance::entered_at(now_ms)
    }
}

impl Instance<Draining> {
    /// Stops if no request is open and the instance has drained for `grace_ms`,
    /// in which callers learn of it.
    ///
    /// # Errors
    ///
    /// Returns the instance unchanged if it has to serve longer.
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

    /// Returns when the instance entered this phase.
    pub fn since_ms(&self) -> u64 {
        self.since_ms
    }
}
