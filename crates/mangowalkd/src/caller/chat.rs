use {
    super::{
        body::{self, Body, Endpoint},
        caller_watch::CallerWatch,
        handler::{Handler, bearer, header},
        reply::ResponseHeaders,
        response_format::ResponseFormat,
        stream::StreamSink,
    },
    crate::serve::{AnswerSink, ChatRequest},
    mangowalk_core::{
        edge::{Clock, Edges},
        record::digest_of,
        refusal::Refusal,
    },
    std::io,
    tiny_http::{HTTPVersion, Request},
};

/// Header with the maximum time to the first token, in milliseconds.
const DEADLINE_HEADER: &str = "x-mangowalk-deadline-ms";

const MS_PER_S: u64 = 1_000;

/// Serves one request for generated text.
pub(super) fn serve<E: Edges>(
    handler: &Handler<'_, E>,
    mut request: Request,
    team: &str,
    endpoint: Endpoint,
) {
    let read = handler
        .body(&mut request)
        .and_then(|bytes| body::parse(&bytes, endpoint))
        .and_then(|body| check_version(&request, body))
        .and_then(|body| Ok((body, deadline_of(&request)?)));
    let (body, deadline_ms) = match read {
        Ok(read) => read,
        Err(refusal) => return handler.refuse(request, &refusal),
    };
    let response_format = ResponseFormat {
        endpoint,
        id: handler.request_id.clone(),
        model: body.model.clone(),
        created_s: handler.router.edges.clock().wall_ms() / MS_PER_S,
        include_usage: body.include_usage,
    };
    let chat = ChatRequest {
        request_id: handler.request_id.clone(),
        team: team.to_owned(),
        key_digest: digest_of(bearer(&request).unwrap_or_default()),
        model: body.model,
        prompt: body.prompt,
        max_tokens: body.max_tokens,
        deadline_ms,
    };
    let mut head = handler.head.clone();
    if !body.ignored.is_empty() {
        head.add("x-mangowalk-passed-over", body.ignored.join(","));
    }
    if body.stream {
        respond_streamed(handler, request, &chat, head, response_format);
    } else {
        respond_buffered(handler, request, &chat, head, &response_format);
    }
}

/// Refuses a stream over HTTP/1.0. That version has no chunked encoding,
/// without which the end of a stream looks like a lost connection.
fn check_version(request: &Request, body: Body) -> Result<Body, Refusal> {
    if body.stream && *request.http_version() < HTTPVersion(1, 1) {
        return Err(body::malformed(
            "A stream needs HTTP/1.1; use it, or leave `stream` out.".to_owned(),
        ));
    }
    Ok(body)
}

/// Returns the caller's deadline in milliseconds, `None` if it set none.
fn deadline_of(request: &Request) -> Result<Option<u64>, Refusal> {
    let Some(text) = header(request, DEADLINE_HEADER) else {
        return Ok(None);
    };
    text.parse()
        .ok()
        .filter(|deadline_ms| *deadline_ms > 0)
        .map(Some)
        .ok_or_else(|| {
            body::malformed(format!(
                "`{DEADLINE_HEADER}` is no number of milliseconds above 0; correct it or leave it out."
            ))
        })
}

/// Sends the complete answer in one response.
fn respond_buffered<E: Edges>(
    handler: &Handler<'_, E>,
    request: Request,
    chat: &ChatRequest,
    mut head: ResponseHeaders,
    response_format: &ResponseFormat,
) {
    let mut sink = CollectSink {
        text: String::new(),
        watch: handler.watch(&request),
    };
    match handler.router.generate_counted(chat, &mut sink) {
        Ok(finished) => {
            let body = response_format
                .complete_body(&sink.text, &finished)
                .to_string();
            handler.add_rate(&mut head, &chat.team);
            head.json(request, 200, body.into_bytes());
        }
        Err(refusal) => {
            handler.add_rate(&mut head, &chat.team);
            head.refuse(request, &refusal);
        }
    }
}

/// Streams the answer. The response head is written with the first token, so
/// that a refusal before it is sent with its own status.
fn respond_streamed<E: Edges>(
    handler: &Handler<'_, E>,
    request: Request,
    chat: &ChatRequest,
    mut head: ResponseHeaders,
    response_format: ResponseFormat,
) {
    handler.add_rate(&mut head, &chat.team);
    let watch = handler.watch(&request);
    let mut sink = StreamSink::new(request, watch, head, response_format);
    match handler.router.generate_counted(chat, &mut sink) {
        Ok(finished) => sink.finish(&finished),
        Err(refusal) => sink.refuse(&refusal),
    }
}

/// Collects the tokens of an answer that is not streamed.
struct CollectSink {
    text: String,
    watch: CallerWatch,
}

impl AnswerSink for CollectSink {
    fn token(&mut self, text: &str) -> io::Result<()> {
        self.text.push_str(text);
        Ok(())
    }

    fn check_caller(&mut self) -> io::Result<()> {
        self.watch.check()
    }

    fn silence(&mut self, _now_ms: u64) -> io::Result<()> {
        self.check_caller()
    }
}
