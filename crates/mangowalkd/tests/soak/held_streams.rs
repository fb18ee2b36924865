//! Callers that hold several streams at once and take broken ones up again.

use {
    super::traffic::{DEADLINE_MS, SentRequest},
    mangowalk_platform_standins::{Caller, KEY, KeepAliveConnection, RouteKind},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        net::SocketAddr,
        sync::atomic::{AtomicBool, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

/// Number of times that a caller takes a broken stream up.
const MAX_TRIES: usize = 12;

/// Maximum pause before a stream, in milliseconds.
const MAX_PAUSE_MS: u64 = 400;

/// Sends streams of a caller one after the other, each to a random machine, until `stop` is
/// set, and returns them. A broken one is taken up at a random machine at once, mostly
/// naming the request that began it.
pub(crate) fn hold_stream(
    seed: u64,
    machines: &[SocketAddr],
    stop: &AtomicBool,
) -> Vec<SentRequest> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut connections: Vec<KeepAliveConnection> = Vec::new();
    connections.resize_with(machines.len(), KeepAliveConnection::default);
    let mut requests: Vec<SentRequest> = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        // Streams of the same length that begin at the same time would all end at the same time,
        // and a kill would often break none.
        thread::sleep(Duration::from_millis(random.random_range(0..MAX_PAUSE_MS)));
        let first_id = Caller::new_request_id();
        // No part in common, which would place all streams at one engine.
        let parts = format!("{first_id}:1000");
        let caller = Caller {
            deadline_ms: DEADLINE_MS,
            ..Caller::new(machines[0], KEY).with_prompt_parts(parts)
        };
        let mut begun = None;
        for _ in 0..=MAX_TRIES {
            let machine = random.random_range(0..machines.len());
            let mut caller = match &begun {
                Some(begun) => caller.taking_up(&first_id, begun),
                None => caller.clone(),
            };
            if random.random_bool(0.15) {
                caller.headers.retain(|(name, _)| name != "Resumes");
            }
            caller.address = machines[machine];
            let id = match begun {
                Some(_) => Caller::new_request_id(),
                None => first_id.clone(),
            };
            let kind = RouteKind::Resumable;
            let sent = Instant::now();
            let reply = caller.send_on(&mut connections[machine], kind.path(), &id);
            let request = SentRequest {
                id,
                machine,
                kind,
                uses_withdrawn_key: false,
                sent,
                ended: Instant::now(),
                reply,
                is_held: true,
                begun,
            };
            let is_broken = request.is_broken_stream();
            if request.reply.status != 200 {
                thread::sleep(Duration::from_millis(random.random_range(1..200)));
            }
            begun = Some(request.stream());
            requests.push(request);
            if !is_broken {
                break;
            }
        }
    }
    requests
}
