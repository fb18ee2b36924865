use {
    std::io::Cursor,
    tiny_http::{Header, Response},
};

/// Returns a JSON response that names the request.
pub(super) fn json(status: u16, body: Vec<u8>, request_id: &str) -> Response<Cursor<Vec<u8>>> {
    let response = Response::from_data(body).with_status_code(status);
    let response = with_header(response, "Content-Type", "application/json");
    if request_id.is_empty() {
        return response;
    }
    with_header(response, "x-request-id", request_id)
}

/// Adds a header. A value that no header can hold is left out.
pub(super) fn with_header(
    response: Response<Cursor<Vec<u8>>>,
    name: &str,
    value: &str,
) -> Response<Cursor<Vec<u8>>> {
    match Header::from_bytes(name, value) {
        Ok(header) => response.with_header(header),
        Err(()) => response,
    }
}
