use {
    super::{
        AnswerBody, Refusal,
        attempt::Answered,
        end::{done, good, refuse},
        judge::note,
        request::CallerRequest,
        tries::{Tries, run},
        work::OpenRequest,
    },
    crate::clock::now_ms,
    http::Response,
    http_body_util::{BodyExt, Limited},
    mangowalk_platform::answer_headers,
    std::{rc::Rc, time::Duration},
    tokio::time::timeout,
};

/// Longest answer that is held whole; longer ones end as lost.
const MOST_ANSWER_BYTES: usize = 2 * 1024 * 1024;

/// Reads a plain answer whole before its first byte leaves, so that a broken
/// one can be replaced.
pub(super) async fn whole(
    request: Rc<CallerRequest>,
    mut answered: Answered,
    mut tries: Tries,
    _open: OpenRequest,
) -> Response<AnswerBody> {
    loop {
        let parts = answered.answer.parts;
        let body = Limited::new(answered.answer.body, MOST_ANSWER_BYTES).collect();
        let left = Duration::from_millis(request.left_ms());
        match timeout(left, body).await {
            Ok(Ok(body)) => {
                let status = parts.status;
                if !status.is_server_error() {
                    good(&request, &answered.engine.incarnation.id);
                }
                answered.answer.connection.return_to_pool(now_ms());
                done(&request, &answered.engine.incarnation.id, status.as_u16());
                let mut response = Response::new(AnswerBody::whole(body.to_bytes()));
                *response.status_mut() = status;
                *response.headers_mut() = answer_headers(&parts.headers);
                return response;
            }
            Ok(Err(_)) => note(&request, &answered.engine, "broken_answer"),
            Err(_) => {
                note(&request, &answered.engine, "timed_out");
                return refuse(&request, Refusal::TimedOut, None);
            }
        }
        if !request.may_run_again(tries.run) {
            return refuse(&request, Refusal::AnswerLost, None);
        }
        match run(&request, &mut tries, None).await {
            Ok(next) => answered = *next,
            Err(refusal) => return refuse(&request, refusal, None),
        }
    }
}
