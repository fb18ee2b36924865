use {
    super::{
        addresses,
        body::{Endpoint, malformed},
        caller_watch::CallerWatch,
        chat, models,
        reply::ResponseHeaders,
        request_id, service,
        untrusted::UntrustedConnections,
    },
    crate::serve::Router,
    log::info,
    mangowalk_core::{edge::Edges, limits::refill_ms, refusal::Refusal},
    std::{mem, net::SocketAddr},
    tiny_http::{Method, Request},
};

/// Bytes of a body that are read in one call, between two checks of the
/// timeout.
const READ_BYTES: usize = 16 << 10;

/// Maximum declared length of a body that is discarded with its request. When
/// the server drops a request, it allocates memory for the unread rest of the
/// body; a length beyond the available memory would abort the process.
const MAX_DISCARDED_BODY_BYTES: usize = 1 << 30;

/// Serves one HTTP request of a caller.
pub(super) struct Handler<'a, E: Edges> {
    pub(super) router: &'a Router<E>,
    untrusted: &'a UntrustedConnections,
    /// Address on which callers are served.
    address: SocketAddr,
    /// Identity of the request towards upstreams, always generated here.
    pub(super) request_id: String,
    /// Headers of every response to this request.
    pub(super) head: ResponseHeaders,
}

impl<'a, E: Edges> Handler<'a, E> {
    pub(super) fn new(
        router: &'a Router<E>,
        untrusted: &'a UntrustedConnections,
        address: SocketAddr,
        request: &Request,
    ) -> Handler<'a, E> {
        let generated_id = request_id::generate();
        let caller_id = header(request, "x-request-id").and_then(request_id::accepted);
        let head = ResponseHeaders::of(caller_id.unwrap_or(&generated_id));
        Handler {
            router,
            untrusted,
            address,
            request_id: generated_id,
            head,
        }
    }

    /// Returns a watch on the connection of the caller.
    pub(super) fn watch(&self, request: &Request) -> CallerWatch {
        CallerWatch::new(self.address, request.remote_addr())
    }

    /// Serves the request, or sends the refusal if the check of its framing
    /// returned one.
    pub(super) fn handle(&self, request: Request, refused: Option<Refusal>) {
        if let Some(refusal) = refused {
            return self.refuse(request, &refusal);
        }
        if request
            .body_length()
            .is_some_and(|b| b > MAX_DISCARDED_BODY_BYTES)
        {
            return self.refuse_oversized(request);
        }
        self.route(request);
    }

    fn route(&self, request: Request) {
        let url = request.url().to_owned();
        let path = url.split('?').next().unwrap_or_default();
        match path {
            "/health" => self.json(request, 200, b"{}".to_vec()),
            "/ready" => self.ready(request),
            "/v1/addresses" => self.json(request, 200, addresses::body(self.router)),
            _ => self.authenticated(request, path),
        }
    }

    fn ready(&self, request: Request) {
        let shared = self.router.shared();
        let ready = shared.lifecycle.is_ready();
        self.json(request, if ready { 200 } else { 503 }, b"{}".to_vec());
    }

    fn authenticated(&self, request: Request, path: &str) {
        let team = match self.router.authenticate(bearer(&request)) {
            Ok(team) => team,
            Err(refusal) => return self.refuse_unread(request, &refusal),
        };
        let is_post = *request.method() == Method::Post;
        let is_get = *request.method() == Method::Get;
        match path {
            "/v1/models" if is_get => self.json(request, 200, models::list(self.router)),
            "/v1/chat/completions" if is_post => chat::serve(self, request, &team, Endpoint::Chat),
            "/v1/completions" if is_post => chat::serve(self, request, &team, Endpoint::Completion),
            _ if path.starts_with(service::PREFIX) => service::serve(self, request, &team),
            _ => self.model_or_unknown_path(request, path),
        }
    }

    fn model_or_unknown_path(&self, request: Request, path: &str) {
        let model = path
            .strip_prefix("/v1/models/")
            .filter(|_| *request.method() == Method::Get);
        match model.map(|id| models::get(self.router, id)) {
            Some(Ok(body)) => self.json(request, 200, body),
            Some(Err(refusal)) => self.refuse(request, &refusal),
            None => self.refuse_unread(request, &Refusal::NoSuchPath),
        }
    }

    pub(super) fn json(&self, request: Request, status: u16, body: Vec<u8>) {
        self.head.json(request, status, body);
    }

    pub(super) fn refuse(&self, request: Request, refusal: &Refusal) {
        self.head.refuse(request, refusal);
    }

    /// Refuses a request whose body was not read. The server skips a body of
    /// known length, but would read the rest of a chunked one as the next
    /// request, so that connection becomes untrusted.
    pub(super) fn refuse_unread(&self, request: Request, refusal: &Refusal) {
        if header(&request, "Transfer-Encoding").is_some() {
            self.mark_untrusted(&request);
        }
        self.refuse(request, refusal);
    }

    /// Refuses a request without dropping the server's reader of its body,
    /// which would allocate memory for the whole declared length. The
    /// connection is leaked. That costs a file descriptor and a thread, for a
    /// length that no well-behaved caller declares.
    fn refuse_oversized(&self, request: Request) {
        info!("callers: A caller declared a body of over {MAX_DISCARDED_BODY_BYTES} bytes.");
        let refusal = Refusal::TooLarge {
            limit_bytes: self.router.settings().max_body_bytes,
        };
        let stream = request.upgrade("none", self.head.refusal(&refusal));
        mem::forget(stream);
    }

    fn mark_untrusted(&self, request: &Request) {
        let now_ms = self.router.now_ms();
        self.untrusted.add(request.remote_addr(), now_ms);
    }

    /// Adds the team's rate to the response headers: its burst, the remaining
    /// tokens at this instance, and the time in which the full rate would
    /// refill the burst. Other instances may hold more of the team's tokens, so
    /// a request that exceeds the remaining tokens is not refused for that
    /// alone.
    pub(super) fn add_rate(&self, head: &mut ResponseHeaders, team: &str) {
        let shared = self.router.shared();
        let view = shared.config.view();
        let Some(rate) = view.rates.get(team) else {
            return;
        };
        let remaining_tokens = shared.limits.tokens(team, rate, self.router.now_ms());
        let missing_tokens = rate.burst_tokens.saturating_sub(remaining_tokens);
        let reset_ms = refill_ms(rate, missing_tokens);
        head.add("x-ratelimit-limit-tokens", rate.burst_tokens.to_string());
        head.add("x-ratelimit-remaining-tokens", remaining_tokens.to_string());
        head.add("x-ratelimit-reset-tokens", format!("{reset_ms}ms"));
    }

    /// Reads the body, up to the limits of length and time.
    ///
    /// The read timeout bounds each read. A caller that sends one byte within
    /// each timeout would still occupy a thread for hours, so the total time is
    /// bounded too.
    ///
    /// # Errors
    ///
    /// Fails if the body is too large, too slow or incomplete. The connection
    /// becomes untrusted if the rest of the body would be read as a request.
    pub(super) fn body(&self, request: &mut Request) -> Result<Vec<u8>, Refusal> {
        let body = self.read_body(request);
        let is_counted = request.body_length().is_some();
        match &body {
            // The server skips the rest of a body of known length.
            Err(Refusal::TooLarge { .. }) if is_counted => {}
            Ok(_) => {}
            // The next bytes are the rest of this body, not a request.
            Err(_) => self.mark_untrusted(request),
        }
        body
    }

    fn read_body(&self, request: &mut Request) -> Result<Vec<u8>, Refusal> {
        let settings = self.router.settings();
        let limit_bytes = settings.max_body_bytes;
        if request.body_length().is_some_and(|b| b > limit_bytes) {
            return Err(Refusal::TooLarge { limit_bytes });
        }
        let until_ms = self.router.now_ms() + settings.caller_timeout_ms;
        let timed_out = Refusal::TooSlow {
            timeout_ms: settings.caller_timeout_ms,
        };
        let expected = request.body_length();
        let mut body = Vec::new();
        let mut part = [0; READ_BYTES];
        loop {
            let read = match request.as_reader().read(&mut part) {
                Ok(0) => break,
                Ok(read) => read,
                Err(error) if is_timeout(&error) => return Err(timed_out),
                Err(_) => return Err(broken_body()),
            };
            body.extend_from_slice(&part[..read]);
            if body.len() > limit_bytes {
                return Err(Refusal::TooLarge { limit_bytes });
            }
            if self.router.now_ms() > until_ms {
                return Err(timed_out);
            }
        }
        if expected.is_some_and(|length| length != body.len()) {
            return Err(broken_body());
        }
        Ok(body)
    }
}

fn broken_body() -> Refusal {
    malformed("The body ended early or its chunks are broken; send it whole.".to_owned())
}

fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{TimedOut, WouldBlock};
    matches!(error.kind(), TimedOut | WouldBlock)
}

/// Returns the value of a header, `None` if it is missing.
pub(super) fn header<'a>(request: &'a Request, name: &'static str) -> Option<&'a str> {
    request
        .headers()
        .iter()
        .find(|h| h.field.equiv(name))
        .map(|h| h.value.as_str())
}

/// Returns the API key of the `Authorization` header.
pub(super) fn bearer(request: &Request) -> Option<&str> {
    let (scheme, key) = header(request, "Authorization")?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("Bearer").then_some(key.trim())
}
