use {
    super::{addresses, chat, error, reply, service},
    crate::serve::Router,
    mangowalk_core::{edge::Edges, refusal::Refusal},
    std::io::Read,
    tiny_http::Request,
};

/// Serves one request of a caller.
pub(super) struct Handler<'a, E: Edges> {
    pub(super) router: &'a Router<E>,
    pub(super) request_id: String,
}

impl<'a, E: Edges> Handler<'a, E> {
    pub(super) fn new(router: &'a Router<E>) -> Handler<'a, E> {
        Handler {
            router,
            request_id: format!("req-{:016x}", rand::random::<u64>()),
        }
    }

    pub(super) fn handle(&self, request: Request) {
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
        let board = self.router.board();
        let ready = board.life.is_ready();
        self.json(request, if ready { 200 } else { 503 }, b"{}".to_vec());
    }

    fn authenticated(&self, request: Request, path: &str) {
        let team = match self.router.authenticate(bearer(&request)) {
            Ok(team) => team,
            Err(refusal) => return self.refuse(request, &refusal),
        };
        match path {
            "/v1/models" => self.json(request, 200, chat::models(self.router)),
            "/v1/chat/completions" => chat::serve(self, request, &team, chat::Form::Chat),
            "/v1/completions" => chat::serve(self, request, &team, chat::Form::Completion),
            _ if path.starts_with(service::PREFIX) => service::serve(self, request, &team),
            _ => self.refuse(request, &Refusal::NoSuchPath),
        }
    }

    pub(super) fn json(&self, request: Request, status: u16, body: Vec<u8>) {
        let _ = request.respond(reply::json(status, body, &self.request_id));
    }

    pub(super) fn refuse(&self, request: Request, refusal: &Refusal) {
        error::respond(request, refusal, &self.request_id);
    }

    /// Reads the body, up to the limit.
    pub(super) fn body(&self, request: &mut Request) -> Result<Vec<u8>, Refusal> {
        let limit_bytes = self.router.settings().max_body_bytes;
        let mut body = Vec::new();
        request
            .as_reader()
            .take(limit_bytes as u64 + 1)
            .read_to_end(&mut body)
            .map_err(|_| Refusal::Malformed {
                detail: "The body could not be read; send it whole.".to_owned(),
            })?;
        if body.len() > limit_bytes {
            return Err(Refusal::TooLarge { limit_bytes });
        }
        Ok(body)
    }
}

/// Returns a header's value.
pub(super) fn header<'a>(request: &'a Request, name: &'static str) -> Option<&'a str> {
    request
        .headers()
        .iter()
        .find(|h| h.field.equiv(name))
        .map(|h| h.value.as_str())
}

fn bearer(request: &Request) -> Option<&str> {
    header(request, "Authorization")?.strip_prefix("Bearer ")
}
