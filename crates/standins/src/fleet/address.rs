use {
    socket2::{Domain, Socket, Type},
    std::{
        fs, io,
        net::SocketAddr,
        process,
        sync::atomic::{AtomicU32, Ordering},
    },
};

/// Lowest port that is given to tests.
const MIN_PORT: u32 = 10_240;

/// Lowest ephemeral port where the system's range can't be read.
const DEFAULT_EPHEMERAL_PORT: u32 = 32_768;

/// Distance between the first ports of test processes with successive IDs.
const PROCESS_STRIDE: u32 = 97;

/// Number of ports that this process has tried.
static USED: AtomicU32 = AtomicU32::new(0);

/// Returns an address on loopback at which no process listens.
///
/// The port lies below the ephemeral range, from which the system takes ports
/// for outgoing connections. A free port of that range could be given to a
/// connection of another test before the router binds it, or between a kill of
/// the router and its restart; the test would then fail without a fault of the
/// router.
///
/// # Panics
///
/// Panics if no port below the ephemeral range is free.
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
    panic!("no free port on loopback; stop processes that listen there")
}

/// Binds an address and closes the socket, without listening on it.
///
/// A child process that another thread starts meanwhile holds a copy of every
/// socket until it executes its program. If this socket listened, the address
/// would stay in use until then and the router could not bind it.
fn try_bind(address: SocketAddr) -> io::Result<()> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())
}

/// Returns the lowest port of the system's ephemeral range.
fn min_ephemeral_port() -> u32 {
    fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range")
        .ok()
        .and_then(|range| range.split_whitespace().next()?.parse().ok())
        .unwrap_or(DEFAULT_EPHEMERAL_PORT)
}
