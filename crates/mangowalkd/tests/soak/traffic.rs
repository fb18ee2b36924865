use {
    mangowalk_platform_standins::{Caller, KEY, KeptConnection, Reply, RouteKind},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        net::SocketAddr,
        sync::atomic::{AtomicBool, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

/// Key of the team that is withdrawn at times.
pub(crate) const WITHDRAWN_KEY: &str = "key-of-walled";

/// One request, and what its caller got.
#[derive(Debug)]
pub(crate) struct Asked {
    pub(crate) id: String,
    pub(crate) machine: usize,
    pub(crate) kind: RouteKind,
    pub(crate) is_walled: bool,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
    pub(crate) reply: Reply,
}

/// Time that callers give their requests.
const DEADLINE_MS: u64 = 3_000;

/// Lets one caller ask until it is told to stop. It keeps a connection to each
/// machine, until that closes it.
pub(crate) fn ask(seed: u64, machines: &[SocketAddr], stop: &AtomicBool) -> Vec<Asked> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut kept: Vec<KeptConnection> = Vec::new();
    kept.resize_with(machines.len(), KeptConnection::default);
    let mut asked = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let machine = random.random_range(0..machines.len());
        let kind = match random.random_range(0..5) {
            0 | 1 => RouteKind::Once,
            2 => RouteKind::Idempotent,
            3 => RouteKind::Stream,
            _ => RouteKind::Resumable,
        };
        let is_walled = random.random_bool(0.25);
        let key = if is_walled { WITHDRAWN_KEY } else { KEY };
        let caller = Caller {
            deadline_ms: DEADLINE_MS,
            ..Caller::new(machines[machine], key)
        };
        let id = Caller::fresh_id();
        let sent = Instant::now();
        let reply = caller.on_kept(&mut kept[machine], kind.path(), &id);
        asked.push(Asked {
            id,
            machine,
            kind,
            is_walled,
            sent,
            ended: Instant::now(),
            reply,
        });
        thread::sleep(Duration::from_millis(random.random_range(5..60)));
    }
    asked
}
