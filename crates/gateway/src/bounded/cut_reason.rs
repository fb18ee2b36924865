use std::{error::Error, io};

/// Why an answer or a request was cut off at a bound on its bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutReason {
    /// The head is too long.
    Head,
    /// The bytes are no HTTP.
    NoHttp,
    /// What stands between the bytes of the body doesn't end, or isn't what it has to be.
    Framing,
}

impl CutReason {
    /// All reasons.
    pub const ALL: [CutReason; 3] = [CutReason::Head, CutReason::NoHttp, CutReason::Framing];

    /// Returns the reason why a connection failed, or `None` if it just ended.
    pub fn of(error: &hyper::Error) -> Option<CutReason> {
        if error.is_parse_too_large() {
            return Some(CutReason::Head);
        }
        if error.is_parse() {
            return Some(CutReason::NoHttp);
        }
        let source = error.source()?.downcast_ref::<io::Error>()?;
        let is_invalid = matches!(
            source.kind(),
            io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput
        );
        is_invalid.then_some(CutReason::Framing)
    }

    /// Returns the reason as it is written to metrics.
    pub fn label(self) -> &'static str {
        match self {
            CutReason::Head => "long_head",
            CutReason::NoHttp => "no_http",
            CutReason::Framing => "endless_framing",
        }
    }
}
