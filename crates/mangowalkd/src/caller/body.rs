use {
    super::{
        messages::prompt_of_messages,
        parameters::{self, Parameters},
    },
    mangowalk_core::refusal::Refusal,
    serde_json::{Map, Value},
};

/// Maximum number of generated tokens if the caller sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// The endpoints for generated text. They differ in the shape of requests and
/// responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Endpoint {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Completion,
}

/// The parsed and validated body of a request for generated text.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Body {
    pub(super) model: String,
    pub(super) prompt: String,
    pub(super) max_tokens: u32,
    pub(super) stream: bool,
    pub(super) include_usage: bool,
    /// Parameters that were ignored because engines have no field for them.
    pub(super) ignored: Vec<&'static str>,
}

/// Parses and validates a body.
///
/// # Errors
///
/// Fails on invalid JSON, and on fields that are missing, invalid or not
/// supported.
pub(super) fn parse(bytes: &[u8], endpoint: Endpoint) -> Result<Body, Refusal> {
    let fields: Map<String, Value> = serde_json::from_slice(bytes).map_err(|error| {
        malformed(format!(
            "The body is no JSON object: {error}; correct it there."
        ))
    })?;
    let Parameters { ignored } = parameters::check(&fields, endpoint)?;
    let prompt = match endpoint {
        Endpoint::Chat => prompt_of_messages(fields.get("messages"))?,
        Endpoint::Completion => prompt_of(fields.get("prompt"))?,
    };
    Ok(Body {
        model: model_of(&fields)?,
        prompt,
        max_tokens: max_tokens_of(&fields)?,
        stream: bool_of(&fields, "stream")?,
        include_usage: include_usage_of(&fields)?,
        ignored,
    })
}

pub(super) fn malformed(detail: String) -> Refusal {
    Refusal::Malformed { detail }
}

fn model_of(fields: &Map<String, Value>) -> Result<String, Refusal> {
    match fields.get("model") {
        Some(Value::String(model)) if !model.is_empty() => Ok(model.clone()),
        _ => Err(malformed(
            "`model` is missing; give the name of one that GET /v1/models lists.".to_owned(),
        )),
    }
}

fn prompt_of(prompt: Option<&Value>) -> Result<String, Refusal> {
    let text = match prompt {
        Some(Value::String(text)) => Some(text),
        Some(Value::Array(texts)) if texts.len() == 1 => match &texts[0] {
            Value::String(text) => Some(text),
            _ => None,
        },
        _ => None,
    };
    match text {
        Some(text) if !text.is_empty() => Ok(text.clone()),
        _ => Err(malformed(
            "`prompt` must be a text that is not empty, or a list of one; send a request for each text."
                .to_owned(),
        )),
    }
}

fn max_tokens_of(fields: &Map<String, Value>) -> Result<u32, Refusal> {
    let given = ["max_completion_tokens", "max_tokens"]
        .into_iter()
        .find_map(|name| Some((name, fields.get(name).filter(|v| !v.is_null())?)));
    let Some((name, value)) = given else {
        return Ok(DEFAULT_MAX_TOKENS);
    };
    value
        .as_u64()
        .and_then(|tokens| u32::try_from(tokens).ok())
        .filter(|tokens| *tokens > 0)
        .ok_or_else(|| {
            malformed(format!(
                "`{name}` is {value}; give a whole number from 1 to {}.",
                u32::MAX
            ))
        })
}

fn include_usage_of(fields: &Map<String, Value>) -> Result<bool, Refusal> {
    match fields.get("stream_options") {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Object(options)) => bool_of(options, "include_usage"),
        Some(_) => Err(malformed(
            "`stream_options` must be an object; give {\"include_usage\": true}.".to_owned(),
        )),
    }
}

fn bool_of(fields: &Map<String, Value>, name: &str) -> Result<bool, Refusal> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(value)) => Ok(*value),
        Some(value) => Err(malformed(format!(
            "`{name}` is {value}; give true or false."
        ))),
    }
}
