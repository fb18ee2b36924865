use {
    http::{
        HeaderValue, Request,
        header::{CONNECTION, HOST},
    },
    http_body_util::Full,
    hyper::body::Bytes,
};

/// A call to an HTTP server.
#[derive(Debug, Clone, Copy)]
pub struct HttpCall<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path, including the query.
    pub path: &'a str,
    /// Headers other than `Host`, `Connection` and `Content-Length`.
    pub headers: &'a [(&'a str, &'a str)],
    /// Request body.
    pub body: &'a [u8],
}

impl Default for HttpCall<'_> {
    fn default() -> Self {
        HttpCall {
            method: "GET",
            path: "/",
            headers: &[],
            body: &[],
        }
    }
}

impl HttpCall<'_> {
    /// Returns the request, after whose answer the connection is closed.
    ///
    /// # Errors
    ///
    /// Fails if a field can't be written in a request.
    pub(super) fn to_request(self, authority: &str) -> http::Result<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(self.method)
            .uri(self.path)
            .header(HOST, authority)
            .header(CONNECTION, HeaderValue::from_static("close"));
        for (name, value) in self.headers {
            request = request.header(*name, *value);
        }
        request.body(Full::new(Bytes::copy_from_slice(self.body)))
    }
}
