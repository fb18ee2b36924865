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

/// API key that `Fault::Withdraw` withdraws, of the team `walled`.
pub(crate) const WITHDRAWN_KEY: &str = "key-of-walled";

/// One request of a caller, and its reply.
#[derive(Debug)]
pub(crate) struct SentRequest {
    pub(crate) id: String,
    pub(crate) machine: usize,
    pub(crate) kind: RouteKind,
    pub(crate) uses_withdrawn_key: bool,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
    pub(crate) reply: Reply,
    /// Whether the caller holds several streams at once.
    pub(crate) is_held: bool,
    /// What earlier tries of the caller brought of a stream that it takes up.
    pub(crate) begun: Option<Reply>,
}

impl SentRequest {
    /// Returns all that the caller has of the stream.
    pub(crate) fn stream(&self) -> Reply {
        match &self.begun {
            Some(begun) => begun.followed_by(&self.reply),
            None => self.reply.clone(),
        }
    }

    /// Returns whether the response says that the request was not run.
    pub(crate) fn is_refused(&self) -> bool {
        matches!(self.reply.status, 408 | 421 | 429 | 503)
    }

    /// Returns whether the caller has events of the stream and not its end.
    pub(crate) fn is_broken_stream(&self) -> bool {
        let stream = self.stream();
        self.kind == RouteKind::Resumable
            && !(self.reply.status == 200 && self.reply.is_complete)
            && !stream.event_ids().is_empty()
    }
}

/// Deadline of the requests, in milliseconds.
pub(crate) const DEADLINE_MS: u64 = 3_000;

/// Number of times that a caller takes a broken stream up.
const MAX_TRIES: usize = 2;

/// Sends random requests of one caller to random machines until `stop` is set, and
/// returns them. The caller reuses a connection to each machine until the machine
/// closes it.
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
        let mut request = SentRequest {
            id: id.clone(),
            machine,
            kind,
            uses_withdrawn_key,
            sent,
            ended: Instant::now(),
            reply,
            is_held: false,
            begun: None,
        };
        for _ in 0..MAX_TRIES {
            if !request.is_broken_stream() {
                break;
            }
            let begun = request.stream();
            requests.push(request);
            let machine = random.random_range(0..machines.len());
            let mut caller = caller.taking_up(&id, &begun);
            caller.address = machines[machine];
            let next_id = Caller::new_request_id();
            let sent = Instant::now();
            let reply = caller.send_on(&mut connections[machine], kind.path(), &next_id);
            request = SentRequest {
                id: next_id,
                machine,
                kind,
                uses_withdrawn_key,
                sent,
                ended: Instant::now(),
                reply,
                is_held: false,
                begun: Some(begun),
            };
        }
        requests.push(request);
        thread::sleep(Duration::from_millis(random.random_range(5..60)));
    }
    requests
}
