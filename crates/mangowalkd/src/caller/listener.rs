use {
    socket2::{Domain, Protocol, Socket, TcpKeepalive, Type},
    std::{
        io,
        net::{SocketAddr, TcpListener, TcpStream},
        time::Duration,
    },
};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Minimum TCP keepalive time and interval that the operating system accepts.
const MIN_KEEPALIVE: Duration = Duration::from_secs(1);

/// Timeout of the connection that wakes `accept`.
const WAKE_TIMEOUT: Duration = Duration::from_secs(1);

/// Listens to callers, with timeouts on slow connections.
///
/// The server sets no timeouts and gives no access to an accepted socket. On
/// Linux, an accepted socket inherits the options of its listener, so they are
/// set here:
///
/// - The read timeout closes a connection that receives nothing, within a head,
///   within a body or between two requests.
/// - The write timeout ends a stream whose caller stopped reading.
/// - The user timeout closes a connection whose peer machine is gone while bytes are
///   unacknowledged. It also decides when keepalive gives up on an idle one, whatever
///   the number of probes: at the first interval after an unanswered probe, as the
///   first probe is sent only after that time. The default interval is over a minute.
/// - `TCP_NODELAY`: a token must not wait for the acknowledgement of the
///   previous one.
///
/// The read timeout also ends an idle `accept`; see [`wake_accept`].
pub(super) fn listen(address: SocketAddr, timeout: Duration) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_read_timeout(Some(timeout))?;
    socket.set_write_timeout(Some(timeout))?;
    socket.set_tcp_user_timeout(Some(timeout))?;
    let keepalive = TcpKeepalive::new()
        .with_time(timeout.max(MIN_KEEPALIVE))
        .with_interval(MIN_KEEPALIVE);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_nodelay(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Connects to the listener and closes the connection immediately, so that
/// `accept` returns before its timeout even if no caller connects.
pub(super) fn wake_accept(address: SocketAddr) {
    // A failed connection is made up for by the next one, or by a new server.
    let _ = TcpStream::connect_timeout(&address, WAKE_TIMEOUT);
}
