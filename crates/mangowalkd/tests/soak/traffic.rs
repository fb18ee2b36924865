use {
    mangowalk_platform_standins::{Caller, KEY, KeepAliveConnection, Reply, RouteKind},
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
pub(crate) struct SentRequest {
    pub(crate) id: String,
    pub(crate) machine: usize,
    pub(crate) kind: RouteKind,
    pub(crate) uses_withdrawn_key: bool,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
    pub(crate) reply: Reply,
}

/// Time that callers give their requests.
const DEADLINE_MS: u64 = 3_000;

/// Lets one caller ask until it is told to stop. It keeps a connection to each
/// machine, until that closes it.
pub(crate) fn send_requests(
    seed: u64,
    machines: &[SocketAddr],
    stop: &AtomicBool,
) -> Vec<SentRequest> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut connections: Vec<KeepAliveConnection> = Vec::new();
    connections.resize_with(machines.len(), KeepAliveConnection::default);
    let mut requests = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let machine = random.random_range(0..machines.len());
        let kind = match random.random_range(0..5) {
            0 | 1 => RouteKind::Once,
            2 => RouteKind::Idempotent,
            3 => RouteKind::Stream,
            _ => RouteKind::Resumable,
        };
        let uses_withdrawn_key = random.random_bool(0.25);
        let key = if uses_withdrawn_key {
            WITHDRAWN_KEY
        } else {
            KEY
        };
        let caller = Caller {
            deadline_ms: DEADLINE_MS,
            ..Caller::new(machines[machine], key)
        };
        let id = Caller::new_request_id();
        let sent = Instant::now();
        let reply = caller.send_on(&mut connections[machine], kind.path(), &id);
        requests.push(SentRequest {
            id,
            machine,
            kind,
            uses_withdrawn_key,
            sent,
            ended: Instant::now(),
            reply,
        });
        thread::sleep(Duration::from_millis(random.random_range(5..60)));
    }
    requests
}
