use {
    derive_more::{Display, Error},
    http::{
        HeaderMap, StatusCode,
        header::{CONTENT_LENGTH, TRANSFER_ENCODING},
    },
    std::ops::RangeInclusive,
};

/// Why the head of an answer is invalid, though the HTTP library accepts it.
///
/// The library takes every number of three digits for a status, reads a body of an unknown
/// coding to the end of the connection, and ignores a length beside chunks. What it reads then
/// need not be the body that the sender meant. No request allows transfer codings other than
/// chunked, and RFC 9112 forbids senders a length beside one (sections 6.1 and 6.2).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum HeadFault {
    /// The status is in no class that RFC 9110 defines, or switches to another protocol, which
    /// no request asks for.
    #[display("its status isn't known")]
    UnknownStatus,
    /// The body has a transfer coding other than chunked alone.
    #[display("its transfer coding isn't known")]
    UnknownCoding,
    /// Both chunks and a length tell the end of the body.
    #[display("it has both a transfer coding and a length")]
    CodingAndLength,
}

/// Statuses that end the exchange of a request.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

impl HeadFault {
    /// Returns the fault of a head, or `None` if it has none.
    pub fn of(status: StatusCode, headers: &HeaderMap) -> Option<HeadFault> {
        if !FINAL_STATUSES.contains(&status.as_u16()) {
            return Some(HeadFault::UnknownStatus);
        }
        let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
        let coding = codings.next()?;
        let is_chunked = coding
            .as_bytes()
            .trim_ascii()
            .eq_ignore_ascii_case(b"chunked");
        if !is_chunked || codings.next().is_some() {
            return Some(HeadFault::UnknownCoding);
        }
        let has_length = headers.contains_key(CONTENT_LENGTH);
        has_length.then_some(HeadFault::CodingAndLength)
    }
}
