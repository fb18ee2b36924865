use {
    super::AnswerBody,
    derive_more::Display,
    http::{
        HeaderValue, Response, StatusCode,
        header::{CONTENT_TYPE, RETRY_AFTER},
    },
    mangowalk_platform::HeadError,
};

/// Why a request gets no engine's answer. Each message says what the caller can
/// do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Refusal {
    /// The head can't be decoded.
    #[display("{_0}")]
    BadHead(HeadError),
    /// The body can't be read.
    #[display("The body can't be read; check its length or its chunks.")]
    BadBody,
    /// The request has no key of a known team.
    #[display("The key isn't known; present a key of your team.")]
    BadKey,
    /// No route matches host and path.
    #[display("No route fits this host and path; check both.")]
    NoRoute,
    /// The body exceeds the configured limit.
    #[display("The body is too long; send a shorter one.")]
    TooLong,
    /// The body did not arrive before the deadline.
    #[display("The body did not arrive in time; send the request again.")]
    TooSlow,
    /// The team has used up its rate. The request has not run.
    #[display("Your team's rate is used up; come again after the time given.")]
    OverRate,
    /// The instance has not yet read the configuration or the list of engines.
    /// The request has not run.
    #[display("This instance has just started; come again after the time given.")]
    Starting,
    /// The instance is stopping. The request has not run.
    #[display("This instance is stopping; connect to another one.")]
    Stopping,
    /// The instance holds too many bytes for slow readers. The request has not run.
    #[display("This instance holds too much for slow readers; come again after the time given.")]
    HoldsTooMuch,
    /// The request has crashed several engines. This time it has not run.
    #[display("This request has crashed several engines; change it before you send it again.")]
    Poison,
    /// A part of the prompt has crashed several engines. The request has not run.
    #[display("A part of this prompt has crashed several engines; send the request without it.")]
    PoisonPart,
    /// It isn't known at which software version the stream began, or no engine has that
    /// version. The request has not run.
    #[display("The stream can't go on at the software version that began it; request it anew.")]
    UnknownOrigin,
    /// No engine can run the request in time. It has not run.
    #[display("No engine is free in time; come again after the time given.")]
    NoEngine,
    /// All engines have asked for rest. The request has not run.
    #[display("All engines are recovering from overload; come again after the time given.")]
    EnginesRest,
    /// The engine's answer was lost. The request may have run.
    #[display("The engine's answer was lost; the request may have run.")]
    AnswerLost,
    /// No answer arrived before the deadline. The request may have run.
    #[display("No answer came in time; the request may have run.")]
    TimedOut,
}

impl Refusal {
    /// Returns the HTTP status for the caller.
    pub fn status(self) -> StatusCode {
        match self {
            Refusal::BadHead(_) | Refusal::BadBody => StatusCode::BAD_REQUEST,
            Refusal::BadKey => StatusCode::UNAUTHORIZED,
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Refusal::OverRate => StatusCode::TOO_MANY_REQUESTS,
            Refusal::Starting
            | Refusal::Stopping
            | Refusal::HoldsTooMuch
            | Refusal::Poison
            | Refusal::PoisonPart
            | Refusal::UnknownOrigin
            | Refusal::NoEngine
            | Refusal::EnginesRest => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::AnswerLost => StatusCode::BAD_GATEWAY,
            Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the reason as it is written to logs and metrics.
    pub fn reason(self) -> &'static str {
        match self {
            Refusal::BadHead(_) => "bad_head",
            Refusal::BadBody => "bad_body",
            Refusal::BadKey => "bad_key",
            Refusal::NoRoute => "no_route",
            Refusal::TooLong => "too_long",
            Refusal::TooSlow => "too_slow",
            Refusal::OverRate => "over_rate",
            Refusal::Starting => "starting",
            Refusal::Stopping => "stopping",
            Refusal::HoldsTooMuch => "holds_too_much",
            Refusal::Poison => "poison",
            Refusal::PoisonPart => "poison_part",
            Refusal::UnknownOrigin => "unknown_origin",
            Refusal::NoEngine => "no_engine",
            Refusal::EnginesRest => "engines_rest",
            Refusal::AnswerLost => "answer_lost",
            Refusal::TimedOut => "timed_out",
        }
    }

    /// Returns the response for the caller. `retry_after_ms` is given only for
    /// requests that have not run, and sent in seconds in `Retry-After`; `None`
    /// sends no such header.
    pub fn response(self, retry_after_ms: Option<u64>) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::buffered(format!("{self}\n")));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(
            CONTENT_TYPE,
            HeaderValue::from_static("text/plain; charset=utf-8"),
        );
        if let Some(retry_after_ms) = retry_after_ms {
            let seconds = format!("{:.2}", retry_after_ms as f64 / 1_000.0);
            if let Ok(seconds) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, seconds);
            }
        }
        response
    }
}
