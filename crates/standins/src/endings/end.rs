use {derive_more::Display, socket2::SockRef, std::net::TcpStream, std::time::Duration};

/// How a server ends a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum End {
    /// In order, as the operating system does for a process that ended.
    #[display("closed")]
    Closed,
    /// With a reset.
    #[display("reset")]
    Reset,
}

impl End {
    /// Ends a connection.
    pub(super) fn apply(self, stream: TcpStream) {
        if self == End::Reset {
            let linger = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            linger.expect("the connection is open");
        }
        drop(stream);
    }
}
