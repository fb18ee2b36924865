use {super::body::malformed, mangowalk_core::refusal::Refusal, serde_json::Value};

/// Supported roles of a message.
const ROLES: [&str; 4] = ["system", "developer", "user", "assistant"];

/// Joins the messages of a conversation into one prompt that ends with the
/// assistant's turn.
pub(super) fn prompt_of_messages(messages: Option<&Value>) -> Result<String, Refusal> {
    let messages = match messages {
        Some(Value::Array(messages)) if !messages.is_empty() => messages,
        _ => {
            return Err(malformed(
                "`messages` must be a list that is not empty; give at least one message."
                    .to_owned(),
            ));
        }
    };
    let mut prompt = String::new();
    for (i, message) in messages.iter().enumerate() {
        let role = role_of(i, message)?;
        let content = content_of(i, message)?;
        prompt.push_str(&format!("<|{role}|>\n{content}\n"));
    }
    prompt.push_str("<|assistant|>\n");
    Ok(prompt)
}

fn role_of(i: usize, message: &Value) -> Result<&str, Refusal> {
    message["role"]
        .as_str()
        .filter(|role| ROLES.contains(role))
        .ok_or_else(|| {
            malformed(format!(
                "`messages[{i}].role` must be one of {}; engines here call no tools.",
                ROLES.join(", ")
            ))
        })
}

/// Returns the text of a message, which is a string or a list of text parts.
fn content_of(i: usize, message: &Value) -> Result<String, Refusal> {
    match &message["content"] {
        Value::String(text) => Ok(text.clone()),
        Value::Array(parts) => parts.iter().map(|part| part_of(i, part)).collect(),
        _ => Err(malformed(format!(
            "`messages[{i}].content` must be a text or a list of parts of type text; send it so."
        ))),
    }
}

fn part_of(i: usize, part: &Value) -> Result<String, Refusal> {
    match (&part["type"], &part["text"]) {
        (Value::String(kind), Value::String(text)) if kind == "text" => Ok(text.clone()),
        _ => Err(malformed(format!(
            "`messages[{i}].content` holds a part that is no text; engines here read text only."
        ))),
    }
}
