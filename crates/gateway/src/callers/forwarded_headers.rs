use {
    super::{
        attempt::EngineAnswer,
        request::{CallerRequest, Origin},
    },
    http::{HeaderMap, Method, header::CONTENT_LENGTH},
    mangowalk_platform::{answer_headers, insert_build, insert_leaving_engine},
};

/// Returns the headers of an engine's answer for whoever sent the request. A peer is also told
/// what it can't learn from the engine itself.
///
/// The length is left out, as the server frames the forwarded body anew: a stream that breaks
/// off is known as broken only by a missing last chunk, and one that is resumed has another
/// length. The answer to a HEAD has no body, so that only the engine's head tells a length.
pub(super) fn forwarded_headers(request: &CallerRequest, answered: &EngineAnswer) -> HeaderMap {
    let mut headers = answer_headers(&answered.answer.parts.headers);
    if request.method != Method::HEAD {
        headers.remove(CONTENT_LENGTH);
    }
    if request.origin == Origin::Caller {
        return headers;
    }
    if let Some(build) = answered.build(&request.instance) {
        insert_build(&mut headers, build);
    }
    if answered.answer.head.is_leaving
        && let Some(engine) = answered.engine()
    {
        insert_leaving_engine(&mut headers, &engine.incarnation);
    }
    headers
}
