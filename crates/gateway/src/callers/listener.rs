use {
    super::{AnswerBody, answer::AnsweredId, request::Origin, serve::serve},
    crate::{
        bounded::{
            CallerStream, CallerWrites, CountedBody, HeldKind, MeteredBody, ReadMeter, StallLimits,
        },
        instance::{Drain, Instance},
        upstreams::ConnectionPool,
    },
    http::{Request, Response, Version},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    socket2::SockRef,
    std::{cell::Cell, convert::Infallible, io, rc::Rc, sync::Arc, time::Duration},
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

/// Minimum size of the buffer into which requests are read, which the HTTP library prescribes.
const MIN_READ_BUFFER_BYTES: usize = 8_192;

/// Size of the operating system's buffer for what is sent to a caller, which it doubles. A
/// larger one would hold more for a slow caller, and is of no use on a network whose machines
/// are a few milliseconds apart.
const SEND_BUFFER_BYTES: usize = 32 * 1024;

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
    if let Err(error) = set_options(&stream) {
        log::debug!("event=caller_connection_ended error=\"{error}\"");
        return;
    }
    let limits = instance.routes.borrow().configuration().limits;
    let mut drain = instance.drain.clone();
    let settings = &instance.settings;
    let stall_limits = StallLimits {
        stream: Duration::from_millis(settings.slow_stream_ms),
        answer: Duration::from_millis(settings.unread_answer_ms),
    };
    let writes = Rc::new(CallerWrites::new(instance.held.hold(HeldKind::Unsent)));
    let buffer_bytes = limits.max_header_bytes.max(MIN_READ_BUFFER_BYTES);
    let received = instance.held.hold(HeldKind::Received);
    let meter = Arc::new(ReadMeter::new(received, buffer_bytes));
    let stream = CallerStream::new(stream, meter.clone(), writes.clone(), stall_limits);
    let is_http_1_0 = Cell::new(false);
    let service = service_fn(|request: Request<Incoming>| {
        is_http_1_0.set(request.version() == Version::HTTP_10);
        meter.begin_message();
        writes.begin_request();
        let request = request.map(|body| MeteredBody::new(body, meter.clone()));
        let (instance, pool, writes) = (instance.clone(), pool.clone(), writes.clone());
        async move {
            let response = serve(instance, pool, request, origin).await;
            Ok::<_, Infallible>(counted(response, writes))
        }
    });
    let idle = Duration::from_millis(limits.idle_timeout_ms + IDLE_MARGIN_MS);
    let mut served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(buffer_bytes)
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
    if writes.is_too_slow() {
        record_slow_caller(&instance, &writes);
    }
    if is_http_1_0.get() {
        reset(&served.into_parts().io.into_inner().into_inner());
    }
}

fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_send_buffer_size(SEND_BUFFER_BYTES)
}

/// Counts the bytes of an answer in what its connection has yet to write.
fn counted(
    response: Response<AnswerBody>,
    writes: Rc<CallerWrites>,
) -> Response<CountedBody<AnswerBody>> {
    let id = response.extensions().get::<AnsweredId>();
    let id = id.map_or("", |AnsweredId(id)| id.as_str());
    writes.begin_answer(id, response.body().is_stream());
    response.map(|body| CountedBody::new(body, writes))
}

/// Counts and logs a connection that was closed as its caller doesn't read.
fn record_slow_caller(instance: &Instance, writes: &CallerWrites) {
    let reason = match writes.is_stream_open() {
        true => "stream",
        false => "answer",
    };
    instance.counters.count("slow_reader_closed", reason);
    log::warn!(
        "event=slow_reader_closed request={} reason={reason} unsent_bytes={} held_bytes={}",
        writes.request_id(),
        writes.unsent_bytes(),
        instance.held.total(),
    );
}

/// Makes the connection end with a reset once it is dropped. An answer that was broken
/// off would look complete to a caller of HTTP/1.0, to whom the end of the connection is
/// the end of the answer.
fn reset(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::warn!("event=caller_not_reset error=\"{error}\"");
    }
}
