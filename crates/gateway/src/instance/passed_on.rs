use std::{cell::RefCell, collections::HashMap, rc::Rc};

/// Requests that this instance has passed on to its peers, by the peer's name.
#[derive(Debug, Default)]
pub struct PassedOn(Rc<RefCell<HashMap<String, PeerState>>>);

#[derive(Debug, Clone, Copy, Default)]
struct PeerState {
    open: u32,
    paused_until_ms: u64,
}

impl PassedOn {
    /// Returns the number of open requests at a peer.
    pub fn open_at(&self, peer: &str) -> u32 {
        self.0.borrow().get(peer).map_or(0, |state| state.open)
    }

    /// Returns whether a peer has failed lately and gets no request.
    pub fn is_paused(&self, peer: &str, now_ms: u64) -> bool {
        let states = self.0.borrow();
        states
            .get(peer)
            .is_some_and(|state| now_ms < state.paused_until_ms)
    }

    /// Keeps requests from a peer that has failed.
    pub fn pause(&self, peer: &str, until_ms: u64) {
        let mut states = self.0.borrow_mut();
        states.entry(peer.to_owned()).or_default().paused_until_ms = until_ms;
    }

    /// Counts a request as open at a peer until the guard is dropped.
    pub fn begin(&self, peer: &str) -> OpenPassGuard {
        let mut states = self.0.borrow_mut();
        states.entry(peer.to_owned()).or_default().open += 1;
        OpenPassGuard {
            states: self.0.clone(),
            peer: peer.to_owned(),
        }
    }

    /// Forgets peers without open requests for which `is_known` is false.
    pub fn retain(&self, is_known: impl Fn(&str) -> bool) {
        let mut states = self.0.borrow_mut();
        states.retain(|peer, state| state.open > 0 || is_known(peer));
    }
}

/// Counts a request as open at a peer.
#[derive(Debug)]
pub struct OpenPassGuard {
    states: Rc<RefCell<HashMap<String, PeerState>>>,
    peer: String,
}

impl Drop for OpenPassGuard {
    fn drop(&mut self) {
        if let Some(state) = self.states.borrow_mut().get_mut(&self.peer) {
            state.open = state.open.saturating_sub(1);
        }
    }
}
