use {
    super::{
        explain::explain,
        status::{burn, status},
    },
    crate::shared_state::SharedState,
    mangowalk_core::status::{ExplainRequest, Phase},
    serde::Serialize,
    serde_json::json,
    std::io::Read,
    tiny_http::{Header, Method, Request, Response},
};

/// Maximum body size. The largest body holds a prompt to explain.
const MAX_BODY_BYTES: u64 = 4 << 20;

/// Answers one HTTP request of an operator.
pub(super) fn handle(mut request: Request, shared: &SharedState, now_ms: u64) {
    let path = request.url().split('?').next().unwrap_or_default();
    match (request.method(), path) {
        (Method::Get, "/health") => reply(request, 200, &json!({})),
        (Method::Get, "/ready") => {
            let phase = status(shared, now_ms).phase;
            let code = if phase == Phase::Ready { 200 } else { 503 };
            reply(request, code, &json!({ "phase": phase }));
        }
        (Method::Get, "/status") => reply(request, 200, &status(shared, now_ms)),
        (Method::Get, "/burn") => reply(request, 200, &burn(shared, now_ms)),
        (Method::Post, "/explain") => match read_question(&mut request) {
            Ok(question) => reply(request, 200, &explain(shared, &question, now_ms)),
            Err(detail) => reply(request, 400, &json!({ "error": detail })),
        },
        _ => reply(
            request,
            404,
            &json!({ "error": "No such path; see docs/operators.md for the paths." }),
        ),
    }
}

fn read_question(request: &mut Request) -> Result<ExplainRequest, String> {
    let body = request.as_reader().take(MAX_BODY_BYTES);
    serde_json::from_reader(body)
        .map_err(|e| format!("The body can't be read: {e}; correct that field."))
}

fn reply(request: Request, status: u16, body: &impl Serialize) {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::from_data(body).with_status_code(status);
    if let Ok(header) = Header::from_bytes("Content-Type", "application/json") {
        response = response.with_header(header);
    }
    let _ = request.respond(response);
}
