use {
    super::{Member, member::precedence},
    crate::peer::InstanceView,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Bounds on the state of other instances that is kept and sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberSettings {
    /// Maximum number of instances in one message.
    pub max_updates: usize,
    /// Number of messages that carry a change. Each exchange with a random peer
    /// doubles the number of instances that know of it, so three times the
    /// binary logarithm of the fleet's size reaches all but a few, which later
    /// exchanges reach. 30 is enough for 1,000 instances.
    pub change_transmissions: u32,
    /// Number of messages that carry an instance on its first report. After a
    /// restart all instances are new, and they must not delay the report of a
    /// failure.
    pub join_transmissions: u32,
    /// Time for which a suspicion is rejected after the instance was last known
    /// to be alive.
    pub fresh_ms: u64,
    /// Time after which a suspected instance is removed.
    pub forget_ms: u64,
}

impl Default for MemberSettings {
    fn default() -> MemberSettings {
        MemberSettings {
            max_updates: 6,
            change_transmissions: 30,
            join_transmissions: 4,
            fresh_ms: 1_000,
            forget_ms: 30 * 60 * 1_000,
        }
    }
}

/// Other instances, keyed by their caller address.
#[derive(Debug, Clone, Default)]
pub struct Members {
    settings: MemberSettings,
    members: BTreeMap<SocketAddr, Member>,
    /// Departed instances whose departure was sent often enough. They are kept
    /// because an instance that has not received the departure still reports
    /// them as present.
    departed: BTreeMap<SocketAddr, Member>,
    next_index: usize,
}

impl Members {
    /// Merges a report of an instance by a third one. A report with a lower or
    /// equal precedence than the stored state is dropped. Returns whether the
    /// report was applied.
    pub fn merge_indirect(&mut self, view: &InstanceView, now_ms: u64) -> bool {
        let known = self.members.get(&view.caller_address);
        match known.or_else(|| self.departed.get(&view.caller_address)) {
            // If suspicions of unknown instances were accepted, those that
            // still know a dead instance would bring it back, and it would
            // never be removed.
            None if view.suspected => return false,
            Some(known) if precedence(view) <= precedence(&known.view) => return false,
            Some(known) if view.suspected && self.is_fresh(known, now_ms) => return false,
            _ => {}
        }
        self.insert(view, now_ms);
        true
    }

    /// Returns whether an instance was alive so recently that a suspicion of it
    /// is caused by the network of the suspecting instance. An instance that
    /// was cut off suspects all others, and reports so once it is connected
    /// again.
    fn is_fresh(&self, known: &Member, now_ms: u64) -> bool {
        !known.view.suspected && now_ms.saturating_sub(known.last_alive_ms) < self.settings.fresh_ms
    }

    /// Merges the state that an instance reports of itself. It is accepted
    /// whatever is stored: otherwise an instance whose wall clock went back
    /// would be taken for its previous start, which is dead.
    pub fn merge_direct(&mut self, view: &InstanceView, now_ms: u64) {
        match self.members.get_mut(&view.caller_address) {
            Some(known) if known.view == *view => known.last_alive_ms = now_ms,
            _ => self.insert(view, now_ms),
        }
    }

    fn insert(&mut self, view: &InstanceView, now_ms: u64) {
        let known = self.members.get(&view.caller_address);
        let since_ms = known.and_then(|m| m.suspected_ms).unwrap_or(now_ms);
        let last_alive_ms = known.map_or(now_ms, |m| m.last_alive_ms);
        let member = Member {
            view: view.clone(),
            last_alive_ms: if view.suspected {
                last_alive_ms
            } else {
                now_ms
            },
            suspected_ms: view.suspected.then_some(since_ms),
            transmissions_left: if known.is_some() {
                self.settings.change_transmissions
            } else {
                self.settings.join_transmissions
            },
        };
        self.departed.remove(&view.caller_address);
        self.members.insert(view.caller_address, member);
    }

    /// Marks an instance as suspected because it did not answer.
    pub fn suspect(&mut self, address: SocketAddr, now_ms: u64) {
        let Some(member) = self.members.get(&address) else {
            return;
        };
        if !member.view.suspected {
            let view = InstanceView {
                suspected: true,
                ..member.view.clone()
            };
            self.insert(&view, now_ms);
        }
    }

    /// Returns the updates for one message and counts them as sent: first the
    /// changed instances, with those sent least often at the front, then the
    /// others in rotation.
    pub fn next_updates(&mut self) -> Vec<InstanceView> {
        let mut changed: Vec<(u32, SocketAddr)> = self
            .members
            .iter()
            .filter(|(_, m)| m.transmissions_left > 0)
            .map(|(address, m)| (m.transmissions_left, *address))
            .collect();
        changed.sort_unstable_by(|a, b| b.cmp(a));
        changed.truncate(self.settings.max_updates);
        let mut selected: Vec<SocketAddr> = changed.into_iter().map(|(_, a)| a).collect();
        let known: Vec<SocketAddr> = self.members.keys().copied().collect();
        let remaining = known.len().min(self.settings.max_updates) - selected.len();
        for _ in 0..remaining {
            self.next_index = (self.next_index + 1) % known.len();
            if !selected.contains(&known[self.next_index]) {
                selected.push(known[self.next_index]);
            }
        }
        selected.iter().filter_map(|a| self.transmit(a)).collect()
    }

    fn transmit(&mut self, address: &SocketAddr) -> Option<InstanceView> {
        let member = self.members.get_mut(address)?;
        member.transmissions_left = member.transmissions_left.saturating_sub(1);
        Some(member.view.clone())
    }

    /// Returns all instances, suspected and departing ones included.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the number of instances that were alive within the window, and
    /// the number of known instances. Departing instances are not counted in
    /// either.
    pub fn count_alive_within(&self, window_ms: u64, now_ms: u64) -> (usize, usize) {
        let known = self.members.values().filter(|m| !m.view.departing);
        let alive = known
            .clone()
            .filter(|m| !m.view.suspected && now_ms.saturating_sub(m.last_alive_ms) < window_ms);
        (alive.count(), known.count())
    }

    /// Removes instances that were suspected for `forget_ms`. Moves an instance
    /// to `departed` if it is departing and suspected and this was sent often
    /// enough.
    pub fn forget(&mut self, now_ms: u64) {
        let forget_ms = self.settings.forget_ms;
        let is_recent = |member: &Member| {
            let suspected_for_ms = now_ms.saturating_sub(member.suspected_ms.unwrap_or(now_ms));
            suspected_for_ms < forget_ms
        };
        self.members.retain(|_, member| is_recent(member));
        self.departed.retain(|_, member| is_recent(member));
        let has_departed = |member: &Member| {
            member.view.departing && member.view.suspected && member.transmissions_left == 0
        };
        let members = std::mem::take(&mut self.members);
        let (departed, members) = members
            .into_iter()
            .partition(|(_, member)| has_departed(member));
        self.members = members;
        self.departed
            .extend::<BTreeMap<SocketAddr, Member>>(departed);
    }

    /// Keeps only the members for which `keep` returns `true`.
    pub fn retain(&mut self, keep: impl Fn(&Member) -> bool) {
        self.members.retain(|_, member| keep(member));
    }
}
