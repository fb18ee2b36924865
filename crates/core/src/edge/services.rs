use {super::SendError, std::net::SocketAddr};

/// A call to a plain service. It never contains the caller's API key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceCall<'a> {
    /// Path on the service, including the query.
    pub path: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Media type of the body.
    pub content_type: &'a str,
    /// Name of the calling team.
    pub team: &'a str,
    /// Id of the request.
    pub request_id: &'a str,
    /// Idempotency key, forwarded so that the service can check it too.
    pub idempotency_key: Option<&'a str>,
    /// Request body.
    pub body: &'a [u8],
}

/// A service's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceReply {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// Response body.
    pub body: Vec<u8>,
}

/// Client of plain services.
pub trait Services: Send + Sync + 'static {
    /// Sends one call and waits up to `timeout_ms` milliseconds for the complete
    /// answer, as long as `is_wanted` returns `true`.
    ///
    /// # Errors
    ///
    /// Only after [`SendError::NotConnected`] and [`SendError::Refused`] is it
    /// known that nothing ran.
    fn call(
        &self,
        address: SocketAddr,
        call: &ServiceCall<'_>,
        timeout_ms: u64,
        is_wanted: &dyn Fn() -> bool,
    ) -> Result<ServiceReply, SendError>;
}
