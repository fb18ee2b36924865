use {
    super::{Member, member::precedence},
    crate::peer::InstanceView,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Bounds of what is kept and told of other instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberSettings {
    /// Instances named in one message.
    pub max_updates: usize,
    /// Messages that carry a change before it counts as known. Each message
    /// of a random pair doubles who knows, so three times the logarithm of
    /// the fleet's size reaches everyone but for a rest that later exchanges
    /// bring; 30 serves 1,000 instances.
    pub change_transmissions: u32,
    /// Messages that carry an instance heard of for the first time. After a
    /// restart all are new; they must not hold up the news of a death.
    pub join_transmissions: u32,
    /// Time for which an instance's own answer outweighs a suspicion.
    pub fresh_ms: u64,
    /// Time after which a suspected instance is forgotten.
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

/// Other instances, by their address towards callers.
#[derive(Debug, Clone, Default)]
pub struct Members {
    settings: MemberSettings,
    members: BTreeMap<SocketAddr, Member>,
    /// Those that left and all were told of. One that has not heard it still
    /// tells that they are there.
    departed: BTreeMap<SocketAddr, Member>,
    next_index: usize,
}

impl Members {
    /// Takes what a third instance says of one. What ranks lower than what is
    /// known is older news and dropped. Returns whether it was news.
    pub fn merge_indirect(&mut self, view: &InstanceView, now_ms: u64) -> bool {
        let known = self.members.get(&view.caller_address);
        match known.or_else(|| self.departed.get(&view.caller_address)) {
            // Told on by those who still remember it, an instance that died
            // would never be forgotten.
            None if view.suspected => return false,
            Some(known) if precedence(view) <= precedence(&known.view) => return false,
            Some(known) if view.suspected && self.is_fresh(known, now_ms) => return false,
            _ => {}
        }
        self.insert(view, now_ms);
        true
    }

    /// Returns whether an instance was heard of so lately that a suspicion of
    /// it is the suspecting one's own trouble: one that was cut off suspects
    /// everyone, and tells so when it is back.
    fn is_fresh(&self, known: &Member, now_ms: u64) -> bool {
        !known.view.suspected && now_ms.saturating_sub(known.last_alive_ms) < self.settings.fresh_ms
    }

    /// Takes what an instance says of itself. It counts whatever was known:
    /// an instance whose wall clock went back would otherwise be taken for
    /// the one before it, which is dead.
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

    /// Notes that an instance gave no answer.
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

    /// Returns the news for one message: changes first, the least told among
    /// them before others, and then the others in turn.
    pub fn next_updates(&mut self) -> Vec<InstanceView> {
        let mut changed: Vec<(u32, SocketAddr)> = self
            .members
            .iter()
            .filter(|(_, m)| m.transmissions_left > 0)
            .map(|(address, m)| (m.transmissions_left, *address))
            .collect();
        changed.sort_unstable_by(|a, b| b.cmp(a));
        changed.truncate(self.settings.max_updates);
        let mut named: Vec<SocketAddr> = changed.into_iter().map(|(_, a)| a).collect();
        let known: Vec<SocketAddr> = self.members.keys().copied().collect();
        let rest = known.len().min(self.settings.max_updates) - named.len();
        for _ in 0..rest {
            self.next_index = (self.next_index + 1) % known.len();
            if !named.contains(&known[self.next_index]) {
                named.push(known[self.next_index]);
            }
        }
        named.iter().filter_map(|a| self.transmit(a)).collect()
    }

    fn transmit(&mut self, address: &SocketAddr) -> Option<InstanceView> {
        let member = self.members.get_mut(address)?;
        member.transmissions_left = member.transmissions_left.saturating_sub(1);
        Some(member.view.clone())
    }

    /// Returns every member.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the number of members that answered in this time, and the
    /// number of those known that did not say that they leave.
    pub fn count_alive_within(&self, window_ms: u64, now_ms: u64) -> (usize, usize) {
        let known = self.members.values().filter(|m| !m.view.departing);
        let alive = known
            .clone()
            .filter(|m| !m.view.suspected && now_ms.saturating_sub(m.last_alive_ms) < window_ms);
        (alive.count(), known.count())
    }

    /// Forgets instances that left, once all were told, and those suspected for
    /// long.
    pub fn forget(&mut self, now_ms: u64) {
        let forget_ms = self.settings.forget_ms;
        let is_recent = |member: &Member| {
            let quiet_ms = now_ms.saturating_sub(member.suspected_ms.unwrap_or(now_ms));
            quiet_ms < forget_ms
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

    /// Keeps only the members that the filter accepts.
    pub fn retain(&mut self, keep: impl Fn(&Member) -> bool) {
        self.members.retain(|_, member| keep(member));
    }
}
