use {
    super::{
        AnswerBody, Refusal,
        attempt::EngineAnswer,
        completion::{record_answered_request, record_complete_answer, refuse},
        forwarded_headers::forwarded_headers,
        guards::OpenRequestGuard,
        request::CallerRequest,
        retry::{AttemptHistory, ResumePoint, send_with_retries},
    },
    crate::{
        bounded::{HeldKind, Hold, MeteredBody},
        clock::now_ms,
        rollouts::record_result,
    },
    bytes::{Bytes, BytesMut},
    http::Response,
    http_body::Body,
    http_body_util::BodyExt,
    mangowalk_core::canary::Sample,
    std::{rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Maximum length of an answer that is buffered. A longer one counts as broken: if
/// the request can't be retried, it ends with [`Refusal::AnswerLost`].
const MAX_ANSWER_BYTES: usize = 2 * 1024 * 1024;

/// Interval between checks of whether the instance still holds too much.
const FULL_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Buffers an answer in full before its first byte is sent, so that a broken one
/// can be replaced by the answer of another engine.
pub(super) async fn forward_buffered(
    request: Rc<CallerRequest>,
    mut answered: EngineAnswer,
    mut attempts: AttemptHistory,
    _open_request: OpenRequestGuard,
) -> Response<AnswerBody> {
    loop {
        let held = request.instance.held.hold(HeldKind::Answers);
        let body = read_answer(&request, &mut answered.answer.body, &held);
        let left = Duration::from_millis(request.left_ms());
        match timeout(left, body).await {
            Ok(Ok(body)) => match break_reason(&request, &mut answered).await {
                None => return finish(&request, answered, body),
                Some(reason) => answered.record_failure(&request, reason),
            },
            Ok(Err(BrokenAnswer::BrokenOff)) => {
                answered.record_failure(&request, "broken_answer");
            }
            Ok(Err(BrokenAnswer::TooLong)) => {
                request.instance.counters.count("answer_cut", "too_long");
                answered.record_failure(&request, "too_long");
            }
            Err(_) => {
                answered.record_failure(&request, "timed_out");
                return refuse(&request, Refusal::TimedOut, None);
            }
        }
        if !request.may_run_again(attempts.possible_run_count) {
            return refuse(&request, Refusal::AnswerLost, None);
        }
        match send_with_retries(&request, &mut attempts, ResumePoint::default()).await {
            Ok(next) => answered = *next,
            Err(refusal) => return refuse(&request, refusal, None),
        }
    }
}

/// Returns why an answer whose body has ended counts as broken off, or `None` if it is
/// complete.
async fn break_reason(
    request: &CallerRequest,
    answered: &mut EngineAnswer,
) -> Option<&'static str> {
    match answered.answer.ends_with_connection {
        true => answered.unconfirmed_end_reason(request).await,
        false => None,
    }
}

/// Why an answer can't be forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BrokenAnswer {
    /// Its connection ended or its framing is invalid.
    BrokenOff,
    /// It exceeds [`MAX_ANSWER_BYTES`].
    TooLong,
}

/// Reads the body of an answer. While the instance holds too much, the engine has to wait,
/// unless the answer gets the permit to be read over the bound.
///
/// The parts are copied, as small ones would each keep the buffer into which they were read.
///
/// # Errors
///
/// Fails if the body breaks off or is too long.
async fn read_answer(
    request: &CallerRequest,
    body: &mut MeteredBody,
    held: &Hold,
) -> Result<Bytes, BrokenAnswer> {
    let expected = body.size_hint().exact().unwrap_or(0);
    let expected = usize::try_from(expected).unwrap_or(MAX_ANSWER_BYTES);
    let mut bytes = BytesMut::with_capacity(expected.min(MAX_ANSWER_BYTES));
    let instance = &request.instance;
    let mut permit = None;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BrokenAnswer::BrokenOff)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > MAX_ANSWER_BYTES {
            return Err(BrokenAnswer::TooLong);
        }
        bytes.extend_from_slice(&data);
        held.set(bytes.len());
        while permit.is_none() && instance.holds_too_much() {
            permit = instance.permit_over_bound();
            if permit.is_none() {
                sleep(FULL_CHECK_INTERVAL).await;
            }
        }
    }
    Ok(bytes.freeze())
}

/// Records a complete answer, returns its connection to the pool, and returns the
/// response for the caller.
fn finish(request: &CallerRequest, answered: EngineAnswer, body: Bytes) -> Response<AnswerBody> {
    let status = answered.answer.parts.status;
    if let Some(engine) = answered.engine()
        && !status.is_server_error()
    {
        record_complete_answer(request, &engine.incarnation.id);
        let took_ms = now_ms().saturating_sub(answered.sent_ms) as f64;
        let sample = Sample::Answered {
            took_ms: Some(took_ms),
        };
        record_result(&request.instance, engine, &request.route, sample);
    }
    record_answered_request(request, &answered);
    let headers = forwarded_headers(request, &answered);
    answered.answer.connection.return_to_pool(now_ms());
    let mut response = Response::new(AnswerBody::buffered(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
