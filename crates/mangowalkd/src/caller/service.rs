use {
    super::{
        body::malformed,
        handler::{Handler, header},
        reply::SOURCE_HEADER,
    },
    crate::serve::ServiceRequest,
    mangowalk_core::edge::Edges,
    tiny_http::{Header, Request, Response},
};

/// Path prefix of calls to plain services: `/v1/services/NAME/PATH`.
pub(super) const PREFIX: &str = "/v1/services/";

/// Serves one call of a plain service and sends its response.
///
/// The HTTP server reports a body that breaks off within a chunk as a complete one. Of a request
/// for generated text the rest is no valid JSON; a service's body can have any form, so it needs
/// a declared length.
pub(super) fn serve<E: Edges>(handler: &Handler<'_, E>, mut request: Request, team: &str) {
    if header(&request, "Transfer-Encoding").is_some() {
        let refusal = malformed(
            "A call of a service can't be sent in chunks; send its `Content-Length`.".to_owned(),
        );
        return handler.refuse_unread(request, &refusal);
    }
    let body = match handler.body(&mut request) {
        Ok(body) => body,
        Err(refusal) => return handler.refuse(request, &refusal),
    };
    let rest = request.url().strip_prefix(PREFIX).unwrap_or_default();
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let call = ServiceRequest {
        request_id: handler.request_id.clone(),
        team: team.to_owned(),
        service: service.to_owned(),
        path: format!("/{path}"),
        method: request.method().to_string(),
        content_type: header(&request, "Content-Type")
            .unwrap_or("application/octet-stream")
            .to_owned(),
        marked_not_repeatable: header(&request, "x-mangowalk-repeatable") == Some("no"),
        idempotency_key: header(&request, "Idempotency-Key").map(str::to_owned),
        body,
    };
    let watch = handler.watch(&request);
    let has_left = || watch.check().is_err();
    match handler.router.call_service_counted(&call, &has_left) {
        Ok(reply) => {
            let mut response = Response::from_data(reply.body).with_status_code(reply.status);
            let own = [
                ("Content-Type", reply.content_type),
                (SOURCE_HEADER, "service".to_owned()),
            ];
            for (name, value) in handler.head.headers().iter().chain(&own) {
                if let Ok(header) = Header::from_bytes(*name, value.as_str()) {
                    response = response.with_header(header);
                }
            }
            let _ = request.respond(response);
        }
        Err(refusal) => handler.refuse(request, &refusal),
    }
}
