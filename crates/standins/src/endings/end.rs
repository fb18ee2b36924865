use {
    derive_more::Display,
    socket2::SockRef,
    std::{io, net::TcpStream, time::Duration},
};

/// How a server ends a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum End {
    /// In order, as the operating system does for a process that ended.
    #[display("closed")]
    Closed,
    /// With a reset.
    #[display("reset")]
    Reset,
    /// Not at all, so that the client has to.
    #[display("kept open")]
    KeptOpen,
}

impl End {
    /// Ends a connection.
    pub fn apply(self, mut stream: TcpStream) {
        match self {
            End::Closed => {}
            End::Reset => {
                let linger = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                linger.expect("the connection is open");
            }
            End::KeptOpen => {
                // The client may reset it as well.
                let _ = io::copy(&mut stream, &mut io::sink());
            }
        }
    }
}
