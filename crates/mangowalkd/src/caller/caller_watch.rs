use {
    netlink_packet_core::{NLM_F_REQUEST, NetlinkHeader, NetlinkMessage, NetlinkPayload},
    netlink_packet_sock_diag::{
        SockDiagMessage,
        constants::{AF_INET, AF_INET6, IPPROTO_TCP, TCP_ESTABLISHED},
        inet::{ExtensionFlags, InetRequest, SocketId, StateFlags},
    },
    netlink_sys::{Socket, SocketAddr as NetlinkAddress, protocols::NETLINK_SOCK_DIAG},
    std::{io, net::SocketAddr},
};

/// Size of the buffer for the state of one connection, which takes about a hundred bytes.
const RESPONSE_BYTES: usize = 4_096;

/// Identifies a socket by its addresses alone.
const NO_COOKIE: [u8; 8] = [0xff; 8];

/// Tells whether one caller has left.
///
/// The HTTP server gives no access to its sockets, and only a write tells that a caller has
/// left. While an engine sends nothing there is nothing to write, so the operating system is
/// asked for the state of the connection.
#[derive(Debug, Clone, Copy)]
pub(super) struct CallerWatch {
    /// Address on which callers are served.
    address: SocketAddr,
    caller: Option<SocketAddr>,
}

impl CallerWatch {
    /// Returns a watch on the connection of a caller to the address on which callers are served.
    pub(super) fn new(address: SocketAddr, caller: Option<&SocketAddr>) -> CallerWatch {
        CallerWatch {
            address,
            caller: caller.copied(),
        }
    }

    /// Checks whether the caller is connected, as far as that is known.
    ///
    /// # Errors
    ///
    /// Fails if it has closed or reset its connection.
    pub(super) fn check(&self) -> io::Result<()> {
        let Some(caller) = self.caller else {
            return Ok(());
        };
        match is_established(self.address, caller) {
            Ok(false) => Err(io::ErrorKind::ConnectionAborted.into()),
            Ok(true) => Ok(()),
            Err(error) => {
                log::debug!("callers: The state of a connection isn't known. {error}.");
                Ok(())
            }
        }
    }
}

/// Asks the operating system whether a connection is open at both ends.
///
/// # Errors
///
/// Fails if it doesn't tell.
fn is_established(local: SocketAddr, remote: SocketAddr) -> io::Result<bool> {
    let mut socket = Socket::new(NETLINK_SOCK_DIAG)?;
    socket.bind_auto()?;
    socket.connect(&NetlinkAddress::new(0, 0))?;
    // The response is there once the request is sent.
    socket.set_non_blocking(true)?;
    socket.send(&request(local, remote), 0)?;
    let mut response = Vec::with_capacity(RESPONSE_BYTES);
    socket.recv(&mut response, 0)?;
    let response = NetlinkMessage::<SockDiagMessage>::deserialize(&response);
    match response.map_err(io::Error::other)?.payload {
        NetlinkPayload::InnerMessage(SockDiagMessage::InetResponse(found)) => {
            Ok(found.header.state == TCP_ESTABLISHED)
        }
        NetlinkPayload::Error(error) => match error.to_io() {
            error if error.kind() == io::ErrorKind::NotFound => Ok(false),
            error => Err(error),
        },
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}

/// Returns the request for the state of one connection.
fn request(local: SocketAddr, remote: SocketAddr) -> Vec<u8> {
    let mut header = NetlinkHeader::default();
    header.flags = NLM_F_REQUEST;
    let request = InetRequest {
        family: match local {
            SocketAddr::V4(_) => AF_INET,
            SocketAddr::V6(_) => AF_INET6,
        },
        protocol: IPPROTO_TCP,
        extensions: ExtensionFlags::empty(),
        states: StateFlags::all(),
        socket_id: SocketId {
            source_port: local.port(),
            destination_port: remote.port(),
            source_address: local.ip(),
            destination_address: remote.ip(),
            interface_id: 0,
            cookie: NO_COOKIE,
        },
    };
    let mut message = NetlinkMessage::new(header, SockDiagMessage::InetRequest(request).into());
    message.finalize();
    let mut bytes = vec![0; message.buffer_len()];
    message.serialize(&mut bytes);
    bytes
}
