use {super::body::malformed, mangowalk_core::refusal::Refusal, tiny_http::Request};

/// Headers that may occur only once, because it is ambiguous which of two
/// counts.
const SINGLE_HEADERS: [&str; 4] = [
    "Content-Length",
    "Transfer-Encoding",
    "Authorization",
    "Idempotency-Key",
];

/// Checks that the end of a request is unambiguous.
///
/// If two readers of one connection disagree about it, the rest of one request
/// is read as the next (request smuggling). A request with ambiguous framing is
/// refused, and no further request on its connection is served.
///
/// # Errors
///
/// Returns a refusal that names the ambiguous or unsupported header.
pub(super) fn check(request: &Request) -> Result<(), Refusal> {
    for name in SINGLE_HEADERS {
        if count(request, name) > 1 {
            return Err(malformed(format!("`{name}` came twice; send it once.")));
        }
    }
    let length = value(request, "Content-Length");
    let encoding = value(request, "Transfer-Encoding");
    if length.is_some() && encoding.is_some() {
        return Err(malformed(
            "`Content-Length` and `Transfer-Encoding` came together; send one of them.".to_owned(),
        ));
    }
    if length.is_some_and(|text| !is_length(text)) {
        return Err(malformed(
            "`Content-Length` is no number of bytes; send decimal digits.".to_owned(),
        ));
    }
    if encoding.is_some_and(|text| !text.eq_ignore_ascii_case("chunked")) {
        return Err(malformed(
            "`Transfer-Encoding` must be chunked; send no other.".to_owned(),
        ));
    }
    let upgrade = value(request, "Connection")
        .is_some_and(|text| text.to_ascii_lowercase().contains("upgrade"));
    if upgrade {
        return Err(malformed(
            "The connection can't be upgraded; leave `Connection: upgrade` out.".to_owned(),
        ));
    }
    Ok(())
}

/// Returns whether a text is a length in decimal digits. Rust's integer parser
/// alone would accept a sign.
fn is_length(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit()) && text.parse::<usize>().is_ok()
}

fn count(request: &Request, name: &'static str) -> usize {
    let headers = request.headers().iter();
    headers.filter(|h| h.field.equiv(name)).count()
}

fn value<'a>(request: &'a Request, name: &'static str) -> Option<&'a str> {
    super::handler::header(request, name)
}
