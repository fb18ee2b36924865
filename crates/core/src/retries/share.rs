use {super::RetrySettings, std::collections::HashMap};

/// Part of the bounds that an instance may use by itself.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct BudgetShare {
    /// Fraction of the slack; 0 if the instance knows nothing of the fleet.
    pub slack_fraction: f64,
    /// Time since the start of the instance; `None` if the whole fleet started with it for
    /// the first time, so that nothing was spent before.
    pub up_ms: Option<u64>,
}

impl BudgetShare {
    /// Returns whether all that the instance and its predecessors have spent within the
    /// window is known.
    pub fn knows_spending(&self, settings: &RetrySettings) -> bool {
        self.up_ms.is_none_or(|up_ms| up_ms >= settings.window_ms)
    }

    /// Returns how many peers to ask for a loan: so many that their parts of the slack are
    /// one retry, within bounds.
    pub fn lenders(&self, settings: &RetrySettings) -> usize {
        let part = settings.usable_fraction * settings.slack * self.slack_fraction;
        // The cast saturates where the part is zero.
        let needed = (1.0 / part).ceil() as usize;
        needed.clamp(settings.lenders, settings.max_lenders.max(settings.lenders))
    }

    /// Returns how many retries the instance may send in a window with this many requests.
    ///
    /// Without knowledge of what was spent before, the slack grows with time: the parts of
    /// any number of starts within a window add up to no more than that of one.
    pub(super) fn allowed(&self, settings: &RetrySettings, requests: f64) -> f64 {
        let earned = settings.ratio * requests;
        let slack = settings.slack * self.slack_fraction;
        match self.up_ms.filter(|_| !self.knows_spending(settings)) {
            None => settings.usable_fraction * (earned + slack),
            Some(up_ms) => {
                let grown = up_ms as f64 / settings.window_ms as f64;
                settings.restart_fraction * (earned + slack * grown)
            }
        }
    }
}

/// The instances among which the slack is divided.
#[derive(Debug, Clone, Default)]
pub struct SlackSharers {
    /// Peers that fell silent without having stopped, and when they were given up.
    lost_ms: HashMap<String, u64>,
    is_fleet_known: bool,
}

impl SlackSharers {
    /// Records that the addresses of all instances were read, so that an instance without
    /// peers is the only one.
    pub fn record_fleet_known(&mut self) {
        self.is_fleet_known = true;
    }

    /// Returns whether the addresses of all instances were read.
    pub fn is_fleet_known(&self) -> bool {
        self.is_fleet_known
    }

    /// Records that a peer was given up after a long silence.
    pub fn record_lost(&mut self, peer: &str, now_ms: u64) {
        self.lost_ms.insert(peer.to_owned(), now_ms);
    }

    /// Records that a peer sends heartbeats or has stopped.
    pub fn record_heard(&mut self, peer: &str) {
        self.lost_ms.remove(peer);
    }

    /// Returns the names of the peers that were given up and may still be running.
    pub fn lost(&self) -> impl Iterator<Item = &str> {
        self.lost_ms.keys().map(String::as_str)
    }

    /// Returns whether this instance, with this many known peers, has never heard of others
    /// and doesn't know that it is the only one.
    pub fn knows_nobody(&self, peers: usize) -> bool {
        peers + self.lost_ms.len() == 0 && !self.is_fleet_known
    }

    /// Returns the fraction of the slack for one instance with this many known peers.
    pub fn fraction(&mut self, peers: usize, settings: &RetrySettings, now_ms: u64) -> f64 {
        self.lost_ms
            .retain(|_, lost_ms| now_ms < *lost_ms + settings.lost_peer_ms);
        match self.knows_nobody(peers) {
            true => 0.0,
            false => 1.0 / (peers + self.lost_ms.len() + 1) as f64,
        }
    }
}
