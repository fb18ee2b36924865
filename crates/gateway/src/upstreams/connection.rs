use {
    crate::instance::GatewaySettings,
    bytes::Bytes,
    derive_more::{Display, Error},
    http_body_util::Full,
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    socket2::{SockRef, TcpKeepalive},
    std::{io, net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, task::AbortHandle, time::timeout},
};

/// Silence of an idle connection after which its other end is asked.
const KEEPALIVE_INTERVAL_S: u64 = 2;

/// Why there is no connection. Nothing was sent.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{address} takes no connection ({reason}).")]
pub struct ConnectError {
    /// Where it went.
    pub address: SocketAddr,
    /// What the system said.
    pub reason: String,
}

/// Opens a connection to an engine.
///
/// # Errors
///
/// Fails where the engine takes none in time.
pub async fn connect(
    address: SocketAddr,
    settings: &GatewaySettings,
) -> Result<(SendRequest<Full<Bytes>>, AbortHandle), ConnectError> {
    let refused = |reason: &dyn std::fmt::Display| ConnectError {
        address,
        reason: reason.to_string(),
    };
    let connect_timeout = Duration::from_millis(settings.connect_timeout_ms);
    let stream = timeout(connect_timeout, TcpStream::connect(address))
        .await
        .map_err(|_| refused(&"time ran out"))?
        .map_err(|error| refused(&error))?;
    set_timeouts(&stream, settings).map_err(|error| refused(&error))?;
    let (sender, connection) = http1::Builder::new()
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| refused(&error))?;
    let task = tokio::spawn(async move {
        // Whoever waits for an answer is told of the end by the sender.
        let _ = connection.await;
    });
    Ok((sender, task.abort_handle()))
}

/// Sets what ends a connection whose other end is gone without a reset.
fn set_timeouts(stream: &TcpStream, settings: &GatewaySettings) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(Duration::from_millis(settings.tcp_user_timeout_ms)))?;
    let idle = Duration::from_secs(KEEPALIVE_INTERVAL_S);
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(idle).with_interval(idle))
}
