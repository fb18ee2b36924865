use {
    super::{error::ErrorBody, handler::Handler, sse::SseWriter},
    crate::serve::{AnswerSink, ChatRequest, Finished, Router},
    mangowalk_core::{
        edge::{Clock, Edges},
        engine::{ChatMessage, Usage},
        refusal::Refusal,
    },
    serde::Deserialize,
    serde_json::{Value, json},
    std::io,
    tiny_http::Request,
};

/// Tokens generated where the caller gives no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;

const MS_PER_S: u64 = 1_000;

/// The two forms of request and answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Form {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Completion,
}

#[derive(Debug, Deserialize)]
struct Body {
    model: String,
    #[serde(default)]
    messages: Vec<ChatMessage>,
    #[serde(default)]
    prompt: String,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    stream_options: StreamOptions,
}

#[derive(Debug, Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

/// Returns the list of offered models.
pub(super) fn models<E: Edges>(router: &Router<E>) -> Vec<u8> {
    let view = router.board().config.view();
    let data: Vec<Value> = view
        .models
        .keys()
        .map(|id| json!({ "id": id, "object": "model", "created": 0, "owned_by": "mangowalk" }))
        .collect();
    json!({ "object": "list", "data": data })
        .to_string()
        .into_bytes()
}

/// Serves one request for generated text.
pub(super) fn serve<E: Edges>(
    handler: &Handler<'_, E>,
    mut request: Request,
    team: &str,
    form: Form,
) {
    let body = match handler.body(&mut request).and_then(|b| parse(&b)) {
        Ok(body) => body,
        Err(refusal) => return handler.refuse(request, &refusal),
    };
    let chat = ChatRequest {
        request_id: handler.request_id.clone(),
        team: team.to_owned(),
        model: body.model.clone(),
        prompt: prompt_of(&body, form),
        max_tokens: body
            .max_completion_tokens
            .or(body.max_tokens)
            .unwrap_or(DEFAULT_MAX_TOKENS),
        deadline_ms: None,
    };
    let shape = Shape {
        form,
        id: handler.request_id.clone(),
        model: body.model.clone(),
        created_s: handler.router.edges.clock().wall_ms() / MS_PER_S,
        include_usage: body.stream_options.include_usage,
    };
    if body.stream {
        streamed(handler, request, &chat, shape);
    } else {
        whole(handler, request, &chat, &shape);
    }
}

fn parse(body: &[u8]) -> Result<Body, Refusal> {
    serde_json::from_slice(body).map_err(|error| Refusal::Malformed {
        detail: format!("The body can't be read: {error}; correct that field."),
    })
}

fn prompt_of(body: &Body, form: Form) -> String {
    match form {
        Form::Completion => body.prompt.clone(),
        Form::Chat => body
            .messages
            .iter()
            .map(|m| format!("<|{}|>\n{}\n", m.role, m.content))
            .chain(["<|assistant|>\n".to_owned()])
            .collect(),
    }
}

fn whole<E: Edges>(handler: &Handler<'_, E>, request: Request, chat: &ChatRequest, shape: &Shape) {
    let mut sink = Collect::default();
    match handler.router.generate_counted(chat, &mut sink) {
        Ok(finished) => {
            let body = shape.whole(&sink.text, &finished).to_string();
            handler.json(request, 200, body.into_bytes());
        }
        Err(refusal) => handler.refuse(request, &refusal),
    }
}

/// Streams the answer. The head is written with the first token, so that a
/// refusal before it still has its own status.
fn streamed<E: Edges>(
    handler: &Handler<'_, E>,
    request: Request,
    chat: &ChatRequest,
    shape: Shape,
) {
    let mut sink = Stream {
        request: Some(request),
        writer: None,
        shape,
    };
    let result = handler.router.generate_counted(chat, &mut sink);
    match result {
        Ok(finished) => {
            let _ = sink.finish(&finished);
        }
        Err(refusal) => match sink.request.take() {
            Some(request) => handler.refuse(request, &refusal),
            None => sink.cut(&refusal),
        },
    }
}

#[derive(Default)]
struct Collect {
    text: String,
}

impl AnswerSink for Collect {
    fn token(&mut self, text: &str) -> io::Result<()> {
        self.text.push_str(text);
        Ok(())
    }
}

struct Stream {
    request: Option<Request>,
    writer: Option<SseWriter>,
    shape: Shape,
}

impl Stream {
    fn writer(&mut self) -> io::Result<&mut SseWriter> {
        if let Some(request) = self.request.take() {
            let mut writer = SseWriter::start(request, &self.shape.id)?;
            if let Some(first) = self.shape.opening() {
                writer.event(&first)?;
            }
            self.writer = Some(writer);
        }
        self.writer
            .as_mut()
            .ok_or_else(|| io::Error::from(io::ErrorKind::BrokenPipe))
    }

    fn finish(&mut self, finished: &Finished) -> io::Result<()> {
        let closing = self.shape.closing(finished);
        let writer = self.writer()?;
        for event in closing {
            writer.event(&event)?;
        }
        writer.done()
    }

    /// Ends a stream that can't go on: an error event and no closing marker.
    fn cut(&mut self, refusal: &Refusal) {
        if let Some(writer) = &mut self.writer {
            let _ = writer.event(&ErrorBody::of(refusal));
            let _ = writer.end();
        }
    }
}

impl AnswerSink for Stream {
    fn token(&mut self, text: &str) -> io::Result<()> {
        let event = self.shape.delta(text);
        self.writer()?.event(&event)
    }
}

/// Writes the protocol's objects for one answer.
struct Shape {
    form: Form,
    id: String,
    model: String,
    created_s: u64,
    include_usage: bool,
}

impl Shape {
    fn object(&self, choices: Value) -> Value {
        let object = match self.form {
            Form::Chat => "chat.completion.chunk",
            Form::Completion => "text_completion",
        };
        json!({
            "id": self.id,
            "object": object,
            "created": self.created_s,
            "model": self.model,
            "choices": choices,
        })
    }

    fn opening(&self) -> Option<Value> {
        (self.form == Form::Chat).then(|| {
            self.object(json!([{
                "index": 0,
                "delta": { "role": "assistant", "content": "" },
                "finish_reason": null,
            }]))
        })
    }

    fn delta(&self, text: &str) -> Value {
        self.object(match self.form {
            Form::Chat => json!([{
                "index": 0, "delta": { "content": text }, "finish_reason": null,
            }]),
            Form::Completion => json!([{
                "index": 0, "text": text, "finish_reason": null, "logprobs": null,
            }]),
        })
    }

    fn closing(&self, finished: &Finished) -> Vec<Value> {
        let reason = &finished.finish_reason;
        let last = self.object(match self.form {
            Form::Chat => json!([{ "index": 0, "delta": {}, "finish_reason": reason }]),
            Form::Completion => json!([{
                "index": 0, "text": "", "finish_reason": reason, "logprobs": null,
            }]),
        });
        if !self.include_usage {
            return vec![last];
        }
        let mut usage = self.object(json!([]));
        usage["usage"] = usage_of(&finished.usage);
        vec![last, usage]
    }

    fn whole(&self, text: &str, finished: &Finished) -> Value {
        let reason = &finished.finish_reason;
        let choices = match self.form {
            Form::Chat => json!([{
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": reason,
            }]),
            Form::Completion => json!([{
                "index": 0, "text": text, "finish_reason": reason, "logprobs": null,
            }]),
        };
        let mut body = self.object(choices);
        if self.form == Form::Chat {
            body["object"] = json!("chat.completion");
        }
        body["usage"] = usage_of(&finished.usage);
        body
    }
}

fn usage_of(usage: &Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "prompt_tokens_details": { "cached_tokens": usage.cached_tokens },
    })
}
