use {
    super::{
        AnswerBody, Refusal,
        attempt::EngineAnswer,
        classify::record_engine_failure,
        completion::{record_answered_request, record_complete_answer, refuse},
        guards::OpenRequestGuard,
        request::CallerRequest,
        retry::{AttemptHistory, send_with_retries},
    },
    crate::{clock::now_ms, rollouts::record_result},
    http::Response,
    http_body_util::{BodyExt, Limited},
    mangowalk_core::canary::Sample,
    mangowalk_platform::answer_headers,
    std::{rc::Rc, time::Duration},
    tokio::time::timeout,
};

/// Maximum length of an answer that is buffered. A longer one counts as broken: if
/// the request can't be retried, it ends with [`Refusal::AnswerLost`].
const MAX_ANSWER_BYTES: usize = 2 * 1024 * 1024;

/// Buffers an answer in full before its first byte is sent, so that a broken one
/// can be replaced by the answer of another engine.
pub(super) async fn forward_buffered(
    request: Rc<CallerRequest>,
    mut answered: EngineAnswer,
    mut attempts: AttemptHistory,
    _open_request: OpenRequestGuard,
) -> Response<AnswerBody> {
    loop {
        let parts = answered.answer.parts;
        let body = Limited::new(answered.answer.body, MAX_ANSWER_BYTES).collect();
        let left = Duration::from_millis(request.left_ms());
        match timeout(left, body).await {
            Ok(Ok(body)) => {
                let status = parts.status;
                if !status.is_server_error() {
                    record_complete_answer(&request, &answered.engine.incarnation.id);
                    let took_ms = now_ms().saturating_sub(answered.sent_ms) as f64;
                    let sample = Sample::Answered {
                        took_ms: Some(took_ms),
                    };
                    record_result(&request.instance, &answered.engine, &request.route, sample);
                }
                answered.answer.connection.return_to_pool(now_ms());
                record_answered_request(
                    &request,
                    &answered.engine.incarnation.id,
                    status,
                    answered.answer.head.framing,
                );
                let mut response = Response::new(AnswerBody::buffered(body.to_bytes()));
                *response.status_mut() = status;
                *response.headers_mut() = answer_headers(&parts.headers);
                return response;
            }
            Ok(Err(_)) => record_engine_failure(&request, &answered.engine, "broken_answer"),
            Err(_) => {
                record_engine_failure(&request, &answered.engine, "timed_out");
                return refuse(&request, Refusal::TimedOut, None);
            }
        }
        if !request.may_run_again(attempts.possible_run_count) {
            return refuse(&request, Refusal::AnswerLost, None);
        }
        match send_with_retries(&request, &mut attempts, None).await {
            Ok(next) => answered = *next,
            Err(refusal) => return refuse(&request, refusal, None),
        }
    }
}
