use {
    http::{HeaderMap, header::TRANSFER_ENCODING},
    http_body::Body,
    mangowalk_gateway::{
        bounded::MeteredBody,
        upstreams::{Connection, handshake},
    },
    std::{sync::Arc, time::Duration},
    tokio::net::TcpStream,
};

/// Time for which a reset is waited for behind the end of an answer that ends with its
/// connection. Services are a few milliseconds away, and few answer so.
const RESET_WAIT: Duration = Duration::from_millis(50);

/// A connection that is closed once it is dropped.
pub(super) struct OpenConnection(pub(super) Connection);

impl OpenConnection {
    /// Begins to speak HTTP on a connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended.
    pub(super) async fn new(stream: TcpStream) -> hyper::Result<OpenConnection> {
        handshake(stream, &Arc::default()).await.map(OpenConnection)
    }

    /// Returns whether the connection was cut where its end was that of an answer. A server
    /// that answers before it has read the whole request may end what it sends in order and
    /// reset the connection after that.
    pub(super) async fn was_cut(&mut self) -> bool {
        match self.0.take_ended().await {
            Some(stream) => stream.was_cut_within(RESET_WAIT).await,
            None => false,
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.close();
    }
}

/// Returns whether only the end of the connection tells the end of a body.
pub(super) fn ends_with_connection(headers: &HeaderMap, body: &MeteredBody) -> bool {
    !headers.contains_key(TRANSFER_ENCODING) && body.size_hint().exact().is_none()
}
