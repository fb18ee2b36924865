use {
    derive_more::{Display, Error},
    http::{
        HeaderMap,
        header::{CONTENT_LENGTH, TRANSFER_ENCODING},
    },
};

/// Why the head of an answer doesn't tell where its body ends, though it can be parsed.
///
/// The HTTP library reads a body of an unknown coding to the end of the connection, and ignores
/// a length beside chunks. Neither need be the body that the sender meant. No request allows
/// transfer codings other than chunked, and RFC 9112 forbids senders a length beside one
/// (sections 6.1 and 6.2).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum HeadFault {
    /// The body has a transfer coding other than chunked alone.
    #[display("its transfer coding isn't known")]
    UnknownCoding,
    /// Both chunks and a length tell the end of the body.
    #[display("it has both a transfer coding and a length")]
    CodingAndLength,
}

impl HeadFault {
    /// Returns the fault of a head with these fields, or `None` if it has none.
    pub fn of(headers: &HeaderMap) -> Option<HeadFault> {
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
