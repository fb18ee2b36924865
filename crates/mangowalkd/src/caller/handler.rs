use {
    super::{
        addresses,
        body::{Form, malformed},
        chat,
        condemned::Condemned,
        models,
        reply::Head,
        request_id, service,
    },
    crate::serve::Router,
    log::info,
    mangowalk_core::{edge::Edges, limits::refill_ms, refusal::Refusal},
    std::mem,
    tiny_http::{Method, Request},
};

/// Bytes of a body that are read at once, between two looks at the time.
const READ_BYTES: usize = 16 << 10;

/// Declared length above which a body is not even thrown away. The server
/// reserves memory for what is left of a body when it drops the request, and
/// a length that no memory can hold would end the process.
const ABSURD_BYTES: usize = 1 << 30;

/// Serves one request of a caller.
pub(super) struct Handler<'a, E: Edges> {
    pub(super) router: &'a Router<E>,
    condemned: &'a Condemned,
    /// Identity between router and upstreams.
    pub(super) request_id: String,
    /// What every response to this request says.
    pub(super) head: Head,
}

impl<'a, E: Edges> Handler<'a, E> {
    pub(super) fn new(
        router: &'a Router<E>,
        condemned: &'a Condemned,
        request: &Request,
    ) -> Handler<'a, E> {
        let drawn = request_id::draw();
        let shown = header(request, "x-request-id").and_then(request_id::accepted);
        let head = Head::of(shown.unwrap_or(&drawn));
        Handler {
            router,
            condemned,
            request_id: drawn,
            head,
        }
    }

    /// Serves the request, unless a check of its framing refused it.
    pub(super) fn handle(&self, request: Request, refused: Option<Refusal>) {
        if let Some(refusal) = refused {
            return self.refuse(request, &refusal);
        }
        if request.body_length().is_some_and(|b| b > ABSURD_BYTES) {
            return self.refuse_absurd(request);
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
        let board = self.router.shared();
        let ready = board.lifecycle.is_ready();
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
            "/v1/chat/completions" if is_post => chat::serve(self, request, &team, Form::Chat),
            "/v1/completions" if is_post => chat::serve(self, request, &team, Form::Completion),
            _ if path.starts_with(service::PREFIX) => service::serve(self, request, &team),
            _ => self.other(request, path),
        }
    }

    fn other(&self, request: Request, path: &str) {
        let model = path
            .strip_prefix("/v1/models/")
            .filter(|_| *request.method() == Method::Get);
        match model.map(|id| models::one(self.router, id)) {
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

    /// Refuses a request whose body was not read. The server passes over a
    /// body of known length; of a chunked one it would take the rest for the
    /// next request.
    fn refuse_unread(&self, request: Request, refusal: &Refusal) {
        if header(&request, "Transfer-Encoding").is_some() {
            self.condemn(&request);
        }
        self.refuse(request, refusal);
    }

    /// Refuses a request without dropping what the server holds of it: that
    /// would reserve memory for the whole declared length. The connection is
    /// lost for good, which costs a descriptor and a thread for a length that
    /// no honest caller declares.
    fn refuse_absurd(&self, request: Request) {
        info!("callers: A caller declared a body of over {ABSURD_BYTES} bytes.");
        let refusal = Refusal::TooLarge {
            limit_bytes: self.router.settings().max_body_bytes,
        };
        let stream = request.upgrade("none", self.head.refusal(&refusal));
        mem::forget(stream);
    }

    fn condemn(&self, request: &Request) {
        let now_ms = self.router.now_ms();
        self.condemned.add(request.remote_addr(), now_ms);
    }

    /// Adds the team's rate to a head: its burst, the tokens that are here,
    /// and when the whole rate would have filled the burst again. Others may
    /// hold more of the team's tokens, so a request over what remains here is
    /// not refused for that alone.
    pub(super) fn add_rate(&self, head: &mut Head, team: &str) {
        let board = self.router.shared();
        let view = board.config.view();
        let Some(rate) = view.rates.get(team) else {
            return;
        };
        let remaining_tokens = board.limits.tokens(team, rate, self.router.now_ms());
        let missing_tokens = rate.burst_tokens.saturating_sub(remaining_tokens);
        let reset_ms = refill_ms(rate, missing_tokens);
        head.add("x-ratelimit-limit-tokens", rate.burst_tokens.to_string());
        head.add("x-ratelimit-remaining-tokens", remaining_tokens.to_string());
        head.add("x-ratelimit-reset-tokens", format!("{reset_ms}ms"));
    }

    /// Reads the body, up to the limits of length and time.
    ///
    /// The read timeout bounds each wait; a caller that sends one byte before
    /// each would still hold a thread for hours, so the sum is bounded too.
    pub(super) fn body(&self, request: &mut Request) -> Result<Vec<u8>, Refusal> {
        let body = self.read_body(request);
        let is_counted = request.body_length().is_some();
        match &body {
            // The server passes over the rest of a body of known length.
            Err(Refusal::TooLarge { .. }) if is_counted => {}
            Ok(_) => {}
            // What comes next is the rest of this body.
            Err(_) => self.condemn(request),
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
        let too_slow = Refusal::TooSlow {
            timeout_ms: settings.caller_timeout_ms,
        };
        let expected = request.body_length();
        let mut body = Vec::new();
        let mut part = [0; READ_BYTES];
        loop {
            let read = match request.as_reader().read(&mut part) {
                Ok(0) => break,
                Ok(read) => read,
                Err(error) if is_timeout(&error) => return Err(too_slow),
                Err(_) => return Err(broken_body()),
            };
            body.extend_from_slice(&part[..read]);
            if body.len() > limit_bytes {
                return Err(Refusal::TooLarge { limit_bytes });
            }
            if self.router.now_ms() > until_ms {
                return Err(too_slow);
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

/// Returns a header's value.
pub(super) fn header<'a>(request: &'a Request, name: &'static str) -> Option<&'a str> {
    request
        .headers()
        .iter()
        .find(|h| h.field.equiv(name))
        .map(|h| h.value.as_str())
}

/// Returns the key that came with a request.
pub(super) fn bearer(request: &Request) -> Option<&str> {
    let (scheme, key) = header(request, "Authorization")?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("Bearer").then_some(key.trim())
}
