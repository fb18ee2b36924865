use {
    socket2::{Domain, Socket, Type},
    std::{
        fs, io,
        net::SocketAddr,
        process,
        sync::atomic::{AtomicU32, Ordering},
    },
};

/// Lowest port that a test uses.
const MIN_PORT: u32 = 10_240;

/// Lowest port of outgoing connections where the system does not say.
const DEFAULT_EPHEMERAL_PORT: u32 = 32_768;

/// Ports between the first ports of two test processes.
const PROCESS_STRIDE: u32 = 97;

static USED: AtomicU32 = AtomicU32::new(0);

/// Returns an address on loopback that no one listens on.
///
/// The port lies below those that the system gives to outgoing connections.
/// A port taken from that range and released may be given to a connection of
/// another test before the router binds it, and after a kill before the router
/// binds it again; the test would then fail without a fault.
pub fn free_address() -> SocketAddr {
    let ports = min_ephemeral_port().saturating_sub(MIN_PORT).max(1);
    let first = process::id().wrapping_mul(PROCESS_STRIDE);
    for _ in 0..ports {
        let used = USED.fetch_add(1, Ordering::Relaxed);
        let port = MIN_PORT + first.wrapping_add(used) % ports;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if try_bind(address).is_ok() {
            return address;
        }
    }
    panic!("no free port on loopback; end processes that listen there")
}

/// Binds an address for a moment, without listening on it.
///
/// A process that another test starts meanwhile holds a copy of every socket
/// until it runs its program. Were this one to listen, the address would stay in
/// use for that time, and the router that is to have it would not start.
fn try_bind(address: SocketAddr) -> io::Result<()> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())
}

/// Returns the lowest port that the system gives to outgoing connections.
fn min_ephemeral_port() -> u32 {
    fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range")
        .ok()
        .and_then(|range| range.split_whitespace().next()?.parse().ok())
        .unwrap_or(DEFAULT_EPHEMERAL_PORT)
}
