use {
    socket2::{Domain, Protocol, Socket, TcpKeepalive, Type},
    std::{
        io,
        net::{SocketAddr, TcpListener, TcpStream},
        time::Duration,
    },
};

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Shortest keepalive that the system accepts.
const MIN_KEEPALIVE: Duration = Duration::from_secs(1);

/// Longest time that the listener's own connection may take.
const WAKE_TIMEOUT: Duration = Duration::from_secs(1);

/// Listens to callers with bounds on what a slow one may hold.
///
/// The server sets no timeouts, and offers no way to reach an accepted
/// socket. On Linux an accepted socket inherits those of its listener, so
/// they are set here:
///
/// - the read timeout ends a connection on which nothing comes, within a
///   head, within a body or between two requests;
/// - the write timeout ends a stream whose caller stopped reading;
/// - the user timeout and keepalive end one whose machine is gone;
/// - no delay: a token must not wait for the receipt of the one before it.
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
    let keepalive = TcpKeepalive::new().with_time(timeout.max(MIN_KEEPALIVE));
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_nodelay(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Makes a connection of its own, so that `accept` returns before its timeout
/// however rarely callers come. It is closed at once and served nothing.
pub(super) fn wake_accept(address: SocketAddr) {
    // A knock that fails is made good by the next, or by a new server.
    let _ = TcpStream::connect_timeout(&address, WAKE_TIMEOUT);
}
