use {
    super::CrashSight,
    std::collections::{HashMap, HashSet},
};

/// Crashes after which a request is refused. One or two may be the upstream's
/// own or a neighbour's; three different upstreams or starts are no accident.
pub const MOST_CRASHES: usize = 3;

/// Time after which a crash counts no longer: an upstream's own fault, mended
/// meanwhile, must not condemn a request for ever.
pub const FORGET_MS: u64 = 600_000;

/// Requests that are remembered.
const MOST_REQUESTS: usize = 4_096;

/// Crashes that are remembered of one request.
const MOST_CHARGES: usize = 16;

/// Crashes that are told to a peer at once.
const MOST_TOLD: usize = 512;

#[derive(Debug, Clone, Copy)]
struct Charge {
    crash: u64,
    forget_ms: u64,
    cleared: bool,
}

/// Crashes by request, those of other instances included.
#[derive(Debug, Clone, Default)]
pub struct PoisonLedger {
    charges: HashMap<u64, Vec<Charge>>,
}

impl PoisonLedger {
    /// Charges a request with a crash.
    pub fn charge(&mut self, request: u64, crash: u64, now_ms: u64) {
        let sight = CrashSight {
            request,
            crash,
            age_ms: 0,
            cleared: false,
        };
        self.merge(&[sight], now_ms);
    }

    /// Returns whether no crash is remembered.
    pub fn is_empty(&self) -> bool {
        self.charges.is_empty()
    }

    /// Clears a request that completed of all crashes known by now. A crash
    /// that comes later counts.
    pub fn clear(&mut self, request: u64) {
        let charges = self.charges.get_mut(&request);
        for charge in charges.into_iter().flatten() {
            charge.cleared = true;
        }
    }

    /// Returns for how many different crashes a request answers: those that it
    /// is charged with while no other request charged with them is more
    /// suspect.
    ///
    /// Each instance charges what it runs itself, so requests that only stood
    /// beside the one to blame are charged where that one is not known. Once
    /// instances have told each other, its higher count clears them.
    pub fn crashes(&self, request: u64, now_ms: u64) -> usize {
        let own = self.charged(request, now_ms);
        if own == 0 {
            return 0;
        }
        let more_suspect: HashSet<u64> = self
            .charges
            .keys()
            .filter(|other| self.charged(**other, now_ms) > own)
            .flat_map(|other| self.live(*other, now_ms))
            .collect();
        self.live(request, now_ms)
            .filter(|crash| !more_suspect.contains(crash))
            .count()
    }

    /// Returns how many crashes a request is charged with, whoever else is.
    fn charged(&self, request: u64, now_ms: u64) -> usize {
        self.live(request, now_ms).count()
    }

    fn live(&self, request: u64, now_ms: u64) -> impl Iterator<Item = u64> + '_ {
        let charges = self.charges.get(&request).into_iter().flatten();
        charges
            .filter(move |c| !c.cleared && c.forget_ms > now_ms)
            .map(|c| c.crash)
    }

    /// Returns what to tell a peer, the latest first.
    pub fn sights(&self, now_ms: u64) -> Vec<CrashSight> {
        let mut sights: Vec<CrashSight> = self
            .charges
            .iter()
            .flat_map(|(request, charges)| charges.iter().map(|c| (*request, c)))
            .filter(|(_, charge)| charge.forget_ms > now_ms)
            .map(|(request, charge)| CrashSight {
                request,
                crash: charge.crash,
                age_ms: (now_ms + FORGET_MS).saturating_sub(charge.forget_ms),
                cleared: charge.cleared,
            })
            .collect();
        sights.sort_by_key(|sight| sight.age_ms);
        sights.truncate(MOST_TOLD);
        sights
    }

    /// Takes what a peer told. Clearing wins over charging, in whichever
    /// order both come.
    pub fn merge(&mut self, sights: &[CrashSight], now_ms: u64) {
        for sight in sights.iter().filter(|s| s.age_ms < FORGET_MS) {
            let charges = self.charges.entry(sight.request).or_default();
            if let Some(held) = charges.iter_mut().find(|c| c.crash == sight.crash) {
                held.cleared |= sight.cleared;
                continue;
            }
            charges.push(Charge {
                crash: sight.crash,
                forget_ms: now_ms + FORGET_MS - sight.age_ms,
                cleared: sight.cleared,
            });
            if charges.len() > MOST_CHARGES {
                charges.remove(0);
            }
        }
        self.forget(now_ms);
    }

    /// Forgets what is old, and of the rest what is oldest if it is too much.
    fn forget(&mut self, now_ms: u64) {
        self.charges.retain(|_, charges| {
            charges.retain(|c| c.forget_ms > now_ms);
            !charges.is_empty()
        });
        while self.charges.len() > MOST_REQUESTS {
            let latest = |charges: &Vec<Charge>| charges.iter().map(|c| c.forget_ms).max();
            let oldest = self.charges.iter().min_by_key(|(_, c)| latest(c));
            let Some(request) = oldest.map(|(request, _)| *request) else {
                return;
            };
            self.charges.remove(&request);
        }
    }
}
