use {
    super::{request::Origin, serve::serve},
    crate::{
        instance::{Drain, Instance},
        upstreams::ConnectionPool,
    },
    http::{Request, Version},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    socket2::SockRef,
    std::{cell::Cell, convert::Infallible, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        task::spawn_local,
    },
};

/// Time that an idle connection is kept open beyond the limit that callers
/// know, so that one reused just before the limit is still open.
const IDLE_MARGIN_MS: u64 = 1_000;

/// Pause after `accept` failed, as it does when no descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts callers' connections until the instance closes, and serves each in a
/// task of its own.
pub async fn serve_callers(
    instance: Rc<Instance>,
    pool: Rc<ConnectionPool>,
    listener: TcpListener,
) {
    accept(instance, pool, listener, Origin::Caller).await;
}

/// Accepts connections of peers that pass requests on, like those of callers. Only
/// addresses of known instances are served: a caller that could connect here would get
/// around its team's rate.
pub async fn serve_peers(instance: Rc<Instance>, pool: Rc<ConnectionPool>, listener: TcpListener) {
    accept(instance, pool, listener, Origin::Peer).await;
}

async fn accept(
    instance: Rc<Instance>,
    pool: Rc<ConnectionPool>,
    listener: TcpListener,
    origin: Origin,
) {
    let mut drain = instance.drain.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = Drain::wait_for_closing(&mut drain) => return,
        };
        match accepted {
            Ok((_, address))
                if origin == Origin::Peer && !instance.is_peer_address(address.ip()) =>
            {
                log::warn!("event=stranger_refused address={address}");
            }
            Ok((stream, _)) => {
                let (instance, pool) = (instance.clone(), pool.clone());
                spawn_local(serve_connection(instance, pool, stream, origin));
            }
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves the requests of one connection. When the instance closes, requests
/// in progress are finished first.
async fn serve_connection(
    instance: Rc<Instance>,
    pool: Rc<ConnectionPool>,
    stream: TcpStream,
    origin: Origin,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=caller_connection_ended error=\"{error}\"");
        return;
    }
    let limits = instance.routes.borrow().configuration().limits;
    let mut drain = instance.drain.clone();
    let is_http_1_0 = Cell::new(false);
    let service = service_fn(|request: Request<Incoming>| {
        is_http_1_0.set(request.version() == Version::HTTP_10);
        let (instance, pool) = (instance.clone(), pool.clone());
        async move { Ok::<_, Infallible>(serve(instance, pool, request, origin).await) }
    });
    let idle = Duration::from_millis(limits.idle_timeout_ms + IDLE_MARGIN_MS);
    let mut served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(limits.max_header_bytes.max(8_192))
        .serve_connection(TokioIo::new(stream), service);
    let ended = tokio::select! {
        ended = &mut served => ended,
        () = Drain::wait_for_closing(&mut drain) => {
            std::pin::Pin::new(&mut served).graceful_shutdown();
            (&mut served).await
        }
    };
    let Err(error) = ended else {
        return;
    };
    log::debug!("event=caller_connection_ended error=\"{error}\"");
    if is_http_1_0.get() {
        reset(&served.into_parts().io.into_inner());
    }
}

/// Makes the connection end with a reset once it is dropped. An answer that was broken
/// off would look complete to a caller of HTTP/1.0, to whom the end of the connection is
/// the end of the answer.
fn reset(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::warn!("event=caller_not_reset error=\"{error}\"");
    }
}
