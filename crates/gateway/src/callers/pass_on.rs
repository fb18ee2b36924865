use {
    super::{
        attempt::{AnswerSource, AttemptContext, EngineAnswer, Outcome},
        progress::Stage,
        request::CallerRequest,
    },
    crate::{
        clock::now_ms,
        instance::OpenPassGuard,
        upstreams::{Answer, Destination, SendError, send},
    },
    http::{Request, StatusCode},
    http_body_util::Full,
    mangowalk_core::{
        mesh::{ORIGINS_VERSION, PASSING_VERSION},
        path::{PeerCandidate, choose_peer},
        pool::Incarnation,
    },
    mangowalk_platform::passed_on_headers,
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// A peer to which a request is passed on.
struct ChosenPeer {
    incarnation: Incarnation,
    address: SocketAddr,
}

/// Passes the request on to a peer that reaches the engines, and waits for the head of
/// the answer. The peer sends it to engines until one may have run it.
pub(super) async fn pass_on(
    request: &CallerRequest,
    context: &AttemptContext<'_>,
    now_ms: u64,
) -> Outcome {
    let Some(peer) = choose(request, context, now_ms) else {
        return Outcome::NoEngine;
    };
    let name = peer.incarnation.id.as_str();
    let left_ms = request.left_ms();
    let headers = passed_on_headers(
        &request.headers,
        left_ms,
        context.last_event_id,
        context.build,
    );
    let headers = match headers {
        Ok(headers) => headers,
        Err(error) => {
            log::warn!(
                "event=unwritable request={} error=\"{error}\"",
                request.id()
            );
            return Outcome::NotSent(peer.incarnation.id);
        }
    };
    let open_guard = request.instance.passed_on.begin(name);
    log::info!(
        "event=passed_on request={} peer={name} left_ms={left_ms}",
        request.id()
    );
    let build_message = || {
        let mut message = Request::new(Full::new(request.body.clone()));
        *message.method_mut() = request.method.clone();
        *message.uri_mut() = request.uri.clone();
        *message.headers_mut() = headers.clone();
        message
    };
    let destination = Destination::Peer {
        incarnation: &peer.incarnation,
        address: peer.address,
    };
    request.progress.enter_at(Stage::AtPeer, name);
    let sending = send(&request.instance, &request.pool, destination, build_message);
    let give_up_ms = context.give_up_ms.unwrap_or(left_ms).min(left_ms);
    match timeout(Duration::from_millis(give_up_ms), sending).await {
        Ok(Ok(answer)) => {
            let peer = peer.incarnation.id;
            classify(request, context, answer, peer, open_guard, now_ms)
        }
        Ok(Err(SendError::NotSent { .. } | SendError::Barred(_))) => {
            record_peer_failure(request, name, "not_connected");
            Outcome::NotSent(peer.incarnation.id)
        }
        Ok(Err(SendError::Lost { .. } | SendError::Silent)) => {
            record_peer_failure(request, name, "lost");
            Outcome::MayHaveRun(peer.incarnation.id)
        }
        Err(_) if give_up_ms < left_ms => {
            record_peer_failure(request, name, "silent");
            Outcome::MayHaveRun(peer.incarnation.id)
        }
        Err(_) => Outcome::TimedOut,
    }
}

/// Returns a live peer that reaches the engines, hasn't failed lately and wasn't tried.
fn choose(
    request: &CallerRequest,
    context: &AttemptContext<'_>,
    now_ms: u64,
) -> Option<ChosenPeer> {
    let instance = &request.instance;
    let service = &request.requirements.service;
    let members = instance.members.borrow();
    let peer_paths = instance.peer_paths.borrow();
    let machine = instance.machine();
    let settings = &instance.settings.path;
    let min_version = match context.build {
        Some(_) => ORIGINS_VERSION,
        None => PASSING_VERSION,
    };
    let able = members
        .live(&instance.settings.mesh, now_ms)
        .filter(|member| member.exchange_version >= min_version)
        .map(|member| &*member.last_heartbeat)
        .filter(|heartbeat| {
            let name = &heartbeat.name;
            heartbeat.ready
                && !peer_paths.is_cut(name, service, now_ms)
                && !instance.passed_on.is_paused(name, now_ms)
                && !context.tried_engines.contains(name)
        });
    let candidates = able.map(|heartbeat| PeerCandidate {
        name: &heartbeat.name,
        address: machine.passing_address(heartbeat.peer_address.ip()),
        is_near: heartbeat.domain == machine.domain,
        open: instance.passed_on.open_at(&heartbeat.name),
    });
    let with_room = candidates.filter(|peer| peer.open < settings.max_open_per_peer);
    let peer = choose_peer(with_room, rand::random())?;
    Some(ChosenPeer {
        incarnation: Incarnation {
            id: peer.name.to_owned(),
            born_ms: members.incarnation(peer.name)?,
        },
        address: peer.address,
    })
}

/// Tells an engine's answer that a peer forwards from one of the peer's own.
fn classify(
    request: &CallerRequest,
    context: &AttemptContext<'_>,
    answer: Answer,
    peer: String,
    open_guard: OpenPassGuard,
    sent_ms: u64,
) -> Outcome {
    let head = &answer.head;
    let status = answer.parts.status;
    if let Some(engine) = &head.leaving_engine {
        request.instance.record_leaving(engine, head, now_ms());
    }
    if head.is_signed && head.request_id.as_deref() == Some(request.id()) {
        let build = head.build;
        let is_confirmed = context.build.is_none() || build == context.build;
        if status.is_success() && !is_confirmed {
            record_peer_failure(request, &peer, "other_software");
            return Outcome::MayHaveRun(peer);
        }
        request.instance.counters.count("passed_on", "answered");
        return Outcome::Answer(Box::new(EngineAnswer {
            answer,
            source: AnswerSource::Peer {
                name: peer,
                build,
                _open_guard: open_guard,
            },
            sent_ms,
            body_began_ms: None,
        }));
    }
    let retry_after_ms = head.retry_after_ms;
    log::info!(
        "event=peer_refused request={} peer={peer} status={} retry_after_ms={retry_after_ms:?}",
        request.id(),
        status.as_u16(),
    );
    match status {
        StatusCode::GATEWAY_TIMEOUT => Outcome::TimedOut,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            request.instance.counters.count("passed_on", "refused");
            Outcome::PeerRefused {
                peer,
                retry_after_ms,
            }
        }
        // The peer's configuration is another one.
        status if status.is_client_error() => Outcome::NotSent(peer),
        _ => Outcome::MayHaveRun(peer),
    }
}

/// Counts and logs a failure of a peer, and keeps requests from it for a while.
pub(super) fn record_peer_failure(request: &CallerRequest, peer: &str, reason: &'static str) {
    let instance = &request.instance;
    instance.counters.count("passed_on", reason);
    log::warn!(
        "event=peer_failed request={} peer={peer} reason={reason}",
        request.id()
    );
    // A broken answer is as likely the engine's fault.
    if matches!(reason, "not_connected" | "lost" | "silent") {
        let until_ms = now_ms() + instance.settings.path.peer_pause_ms;
        instance.passed_on.pause(peer, until_ms);
    }
}
