use {super::Instance, mangowalk_platform::Freshness};

/// Time after the start in which an instance hears of its peers, and of those of a large
/// fleet.
const SETTLING_MS: u64 = 1_000;
const LARGE_FLEET_SETTLING_MS: u64 = 3_000;

/// Interval at which an instance asks for changes of the engine list, for each instance
/// of a large fleet: all together make 500 calls a second.
const POLL_MS_PER_INSTANCE: u64 = 2;

/// Maximum of that interval. New engines get no work for as long.
const MAX_POLL_INTERVAL_MS: u64 = 2_000;

/// How an instance reads the store, which depends on the size of the fleet.
impl Instance {
    /// Returns the freshness that this instance requires of its reads of the
    /// store.
    ///
    /// The first [`current_readers`](super::GatewaySettings::current_readers) live instances with access to
    /// the store, by name, read current state. An instance that receives no
    /// heartbeats from instances with earlier names counts as the first, so one
    /// that is isolated doesn't depend on reports of peers.
    ///
    /// An instance that has just started doesn't know yet who these are. If all read
    /// current state until they hear of each other, the calls would cost as much as those
    /// of the readers for the rest of the day.
    pub fn freshness(&self, now_ms: u64) -> Freshness {
        let is_reader = self.readers_before(now_ms) < self.settings.current_readers;
        match is_reader && self.settles_in_ms(now_ms) == 0 {
            true => Freshness::Current,
            false => Freshness::MayLag,
        }
    }

    /// Returns the time until this instance knows which peers read current state.
    pub fn settles_in_ms(&self, now_ms: u64) -> u64 {
        (self.started_ms + self.settling_ms()).saturating_sub(now_ms)
    }

    /// Returns the time from the start after which this instance knows which peers read
    /// current state.
    pub(super) fn settling_ms(&self) -> u64 {
        match self.is_large_fleet() {
            true => LARGE_FLEET_SETTLING_MS,
            false => SETTLING_MS,
        }
    }

    /// Returns whether the fleet is so large that its instances know a part of the
    /// engines each, and of most peers what packs of heartbeats tell.
    pub fn is_large_fleet(&self) -> bool {
        let members = self.members.borrow();
        members.iter().count() > self.settings.mesh.max_relayed_peers
    }

    /// Returns the time after a peer's news of a configuration in which this
    /// instance's own watch is expected to report it. In a large fleet it is spread:
    /// a reading of all instances at once fills the store's link.
    pub fn configuration_lead_ms(&self) -> u64 {
        let lead_ms = self.settings.peer_lead_ms;
        match self.is_large_fleet() {
            true => lead_ms + rand::random_range(0..self.instance_count() as u64),
            false => lead_ms,
        }
    }

    /// Returns the interval at which this instance asks for changes of the engine list;
    /// `None` if it waits for each at the store. If all instances of a large fleet did,
    /// each change would be answered to a thousand waiting calls. Those that read
    /// current state report departures to the others.
    pub fn engine_poll_interval_ms(&self, now_ms: u64) -> Option<u64> {
        if !self.is_large_fleet() || self.freshness(now_ms) == Freshness::Current {
            return None;
        }
        let by_count_ms = self.instance_count() as u64 * POLL_MS_PER_INSTANCE;
        Some(by_count_ms.clamp(self.settings.batch_ms, MAX_POLL_INTERVAL_MS))
    }

    /// Returns the number of live instances with access to the store whose names sort
    /// before that of this one.
    pub fn readers_before(&self, now_ms: u64) -> usize {
        let members = self.members.borrow();
        let own = &self.machine().name;
        members.count_live_before(own, |peer| peer.has_store, &self.settings.mesh, now_ms)
    }
}
