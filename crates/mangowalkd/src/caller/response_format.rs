use {
    super::body::Endpoint,
    crate::serve::FinishedAnswer,
    mangowalk_core::engine::Usage,
    serde_json::{Value, json},
};

/// Builds the JSON objects of the protocol for one answer.
pub(super) struct ResponseFormat {
    pub(super) endpoint: Endpoint,
    pub(super) id: String,
    pub(super) model: String,
    /// Time of the request, in seconds since the Unix epoch.
    pub(super) created_s: u64,
    pub(super) include_usage: bool,
}

impl ResponseFormat {
    fn object(&self, choices: Value) -> Value {
        let (object, prefix) = match self.endpoint {
            Endpoint::Chat => ("chat.completion.chunk", "chatcmpl"),
            Endpoint::Completion => ("text_completion", "cmpl"),
        };
        json!({
            "id": format!("{prefix}-{}", self.id),
            "object": object,
            "created": self.created_s,
            "model": self.model,
            "choices": choices,
        })
    }

    /// Returns the first event of a stream, `None` if the endpoint has none.
    pub(super) fn opening(&self) -> Option<Value> {
        (self.endpoint == Endpoint::Chat).then(|| {
            self.object(json!([{
                "index": 0,
                "delta": { "role": "assistant", "content": "" },
                "finish_reason": null,
            }]))
        })
    }

    /// Returns the event for one token.
    pub(super) fn delta(&self, text: &str) -> Value {
        self.object(match self.endpoint {
            Endpoint::Chat => json!([{
                "index": 0, "delta": { "content": text }, "finish_reason": null,
            }]),
            Endpoint::Completion => json!([{
                "index": 0, "text": text, "finish_reason": null, "logprobs": null,
            }]),
        })
    }

    /// Returns the last events of a complete stream: the finish reason and, if
    /// requested, the usage.
    pub(super) fn closing(&self, finished: &FinishedAnswer) -> Vec<Value> {
        let reason = &finished.finish_reason;
        let last = self.object(match self.endpoint {
            Endpoint::Chat => json!([{ "index": 0, "delta": {}, "finish_reason": reason }]),
            Endpoint::Completion => json!([{
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

    /// Returns the response body of an answer that is not streamed.
    pub(super) fn complete_body(&self, text: &str, finished: &FinishedAnswer) -> Value {
        let reason = &finished.finish_reason;
        let choices = match self.endpoint {
            Endpoint::Chat => json!([{
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": reason,
            }]),
            Endpoint::Completion => json!([{
                "index": 0, "text": text, "finish_reason": reason, "logprobs": null,
            }]),
        };
        let mut body = self.object(choices);
        if self.endpoint == Endpoint::Chat {
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
