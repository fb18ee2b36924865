use {
    super::AnswerBody,
    crate::{
        clock::now_ms,
        instance::{Instance, hash},
    },
    http::{HeaderValue, Request, Response, StatusCode, header::CONTENT_TYPE},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    mangowalk_core::routing::addresses_for_caller,
    mangowalk_platform::{DIRECTORY_PATH, READY_PATH, encode_addresses},
    std::{convert::Infallible, net::IpAddr, rc::Rc, time::Duration},
    tokio::{net::TcpListener, task::spawn_local},
};

/// Maximum number of addresses in one answer; callers accept no more.
const MAX_ADDRESSES: usize = 64;

/// Timeout for the head of a request to the directory, readiness or metrics
/// address.
const HEADER_TIMEOUT_MS: u64 = 3_000;

/// Maximum size of the head of such a request.
const MAX_HEADER_BYTES: usize = 16_384;

/// Computes the response to a request.
type Handler = fn(&Instance, IpAddr, &Request<Incoming>) -> Response<AnswerBody>;

/// Serves the addresses at which callers may connect.
pub async fn serve_directory(instance: Rc<Instance>, listener: TcpListener) {
    serve(instance, listener, addresses).await;
}

/// Serves the platform's readiness check.
pub async fn serve_ready(instance: Rc<Instance>, listener: TcpListener) {
    serve(instance, listener, ready).await;
}

/// Serves the instance's counters and histograms.
pub async fn serve_metrics(instance: Rc<Instance>, listener: TcpListener) {
    serve(instance, listener, metrics).await;
}

async fn serve(instance: Rc<Instance>, listener: TcpListener, handler: Handler) {
    loop {
        let Ok((stream, caller)) = listener.accept().await else {
            continue;
        };
        let instance = instance.clone();
        spawn_local(async move {
            let service = service_fn(|request| {
                let response = handler(&instance, caller.ip(), &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_millis(HEADER_TIMEOUT_MS))
                .max_buf_size(MAX_HEADER_BYTES)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                log::debug!("event=directory_connection_ended error=\"{error}\"");
            }
        });
    }
}

/// Returns a hash of what the directory knows of a caller: its IP address and what it
/// asked for, which includes its failure domain.
fn caller_hash(caller: IpAddr, request: &Request<Incoming>) -> u64 {
    hash(format!("{caller} {}", request.uri()).as_bytes())
}

fn addresses(
    instance: &Instance,
    caller: IpAddr,
    request: &Request<Incoming>,
) -> Response<AnswerBody> {
    if request.uri().path() != DIRECTORY_PATH {
        return status(StatusCode::NOT_FOUND);
    }
    let addresses = instance.caller_addresses(now_ms());
    if addresses.is_empty() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let addresses = addresses_for_caller(addresses, caller_hash(caller, request), MAX_ADDRESSES);
    let ttl_s = instance
        .settings
        .address_ttl_s
        .min(instance.machine().directory_keep_s.max(1));
    let mut response = Response::new(AnswerBody::buffered(encode_addresses(&addresses, ttl_s)));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn ready(instance: &Instance, _: IpAddr, request: &Request<Incoming>) -> Response<AnswerBody> {
    if request.uri().path() != READY_PATH {
        return status(StatusCode::NOT_FOUND);
    }
    if instance.is_ready() {
        return status(StatusCode::OK);
    }
    status(StatusCode::SERVICE_UNAVAILABLE)
}

fn metrics(instance: &Instance, _: IpAddr, _: &Request<Incoming>) -> Response<AnswerBody> {
    let mut text = instance.counters.render();
    text.push_str(&instance.mesh_traffic.render());
    text.push_str(&instance.render_confirmations(now_ms()));
    text.push_str(&instance.render_notices(now_ms()));
    text.push_str(&instance.render_weights_changes());
    text.push_str(&instance.render_paces(now_ms()));
    text.push_str(&instance.render_held());
    text.push_str(&instance.waiting.render(now_ms()));
    Response::new(AnswerBody::buffered(text))
}

fn status(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::buffered(""));
    *response.status_mut() = status;
    response
}
