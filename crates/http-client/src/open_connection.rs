use {
    mangowalk_gateway::upstreams::{Connection, handshake},
    std::sync::Arc,
    tokio::net::TcpStream,
};

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
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.close();
    }
}
