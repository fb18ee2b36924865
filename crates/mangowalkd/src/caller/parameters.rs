use {
    super::body::{Endpoint, malformed},
    mangowalk_core::refusal::Refusal,
    serde_json::{Map, Value, json},
};

/// Fields that `body` reads.
const HANDLED_ELSEWHERE: [&str; 5] = [
    "model",
    "max_tokens",
    "max_completion_tokens",
    "stream",
    "stream_options",
];

/// Parameters that have no effect on the answer.
const NO_EFFECT: [&str; 6] = [
    "user",
    "metadata",
    "safety_identifier",
    "prompt_cache_key",
    "prompt_cache_retention",
    "parallel_tool_calls",
];

/// Sampling parameters. Engines sample with their own settings, and their
/// protocol has no field for these. A response header names the ignored ones,
/// so that callers don't assume that they were applied.
const IGNORED: [&str; 3] = ["temperature", "top_p", "seed"];

/// Result of the check of a request's parameters.
pub(super) struct Parameters {
    /// Parameters that were sent and are ignored.
    pub(super) ignored: Vec<&'static str>,
}

/// Checks every parameter of a request.
///
/// # Errors
///
/// Refuses a parameter that would change the answer and is not supported,
/// unless its value asks for the default behaviour. Ignoring it silently would
/// give the caller an answer to a different request.
pub(super) fn check(
    fields: &Map<String, Value>,
    endpoint: Endpoint,
) -> Result<Parameters, Refusal> {
    let mut ignored = Vec::new();
    for (name, value) in fields.iter().filter(|(_, value)| !value.is_null()) {
        if is_handled_elsewhere(name, endpoint) || NO_EFFECT.contains(&name.as_str()) {
            continue;
        }
        if let Some(known) = IGNORED.into_iter().find(|known| known == name) {
            check_number(known, value)?;
            ignored.push(known);
            continue;
        }
        check_default(name, value)?;
    }
    Ok(Parameters { ignored })
}

fn is_handled_elsewhere(name: &str, endpoint: Endpoint) -> bool {
    let own = match endpoint {
        Endpoint::Chat => "messages",
        Endpoint::Completion => "prompt",
    };
    name == own || HANDLED_ELSEWHERE.contains(&name)
}

fn check_number(name: &str, value: &Value) -> Result<(), Refusal> {
    let is_in_range = match name {
        "temperature" => value.as_f64().is_some_and(|t| (0.0..=2.0).contains(&t)),
        "top_p" => value.as_f64().is_some_and(|p| (0.0..=1.0).contains(&p)),
        _ => value.is_i64() || value.is_u64(),
    };
    if is_in_range {
        return Ok(());
    }
    Err(malformed(format!(
        "`{name}` is {value}, out of its range; correct it or leave it out."
    )))
}

fn check_default(name: &str, value: &Value) -> Result<(), Refusal> {
    let default_values = default_values(name).ok_or_else(|| {
        malformed(format!(
            "`{name}` is no known parameter; leave it out. docs/api.md lists all."
        ))
    })?;
    if default_values.contains(value) {
        return Ok(());
    }
    Err(malformed(format!(
        "`{name}` can't be followed by the engines here; leave it out or send {}.",
        default_values[0]
    )))
}

/// Returns the values of a parameter that ask for the default behaviour; `None`
/// if the parameter is unknown.
fn default_values(name: &str) -> Option<Vec<Value>> {
    Some(match name {
        "n" | "best_of" => vec![json!(1)],
        "stop" | "tools" | "functions" => vec![json!([])],
        "echo" | "store" => vec![json!(false)],
        "logprobs" => vec![json!(false), json!(0)],
        "top_logprobs" => vec![json!(0)],
        "presence_penalty" | "frequency_penalty" => vec![json!(0), json!(0.0)],
        "logit_bias" => vec![json!({})],
        "suffix" => vec![json!("")],
        "response_format" => vec![json!({ "type": "text" })],
        "tool_choice" | "function_call" => vec![json!("none"), json!("auto")],
        "modalities" => vec![json!(["text"])],
        "service_tier" => vec![json!("auto"), json!("default")],
        _ => return None,
    })
}
