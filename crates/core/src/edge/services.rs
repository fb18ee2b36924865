use {super::SendError, std::net::SocketAddr};

/// A call of a plain service. It never carries the caller's key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceCall<'a> {
    /// Path on the service, with its query.
    pub path: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Media type of the body.
    pub content_type: &'a str,
    /// Team that calls.
    pub team: &'a str,
    /// Identity of the request.
    pub request_id: &'a str,
    /// Idempotency key, passed on so that the service can check it too.
    pub idempotency_key: Option<&'a str>,
    /// Body.
    pub body: &'a [u8],
}

/// A service's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceReply {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// Plain services.
pub trait Services: Send + Sync + 'static {
    /// Sends one call and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// Only [`SendError::NotConnected`] and [`SendError::Refused`] state that
    /// nothing ran.
    fn call(
        &self,
        address: SocketAddr,
        call: &ServiceCall<'_>,
        timeout_ms: u64,
    ) -> Result<ServiceReply, SendError>;
}
