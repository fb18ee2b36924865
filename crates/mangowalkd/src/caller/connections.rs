use {
    log::warn,
    procfs::net::{TcpNetEntry, TcpState, tcp, tcp6},
    std::{
        cell::Cell,
        collections::HashMap,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
    },
};

/// Age up to which the states of the connections are used again, in milliseconds.
const MAX_AGE_MS: u64 = 100;

/// Readings in a row that lack a connection, after which it counts as reset. A reading made while
/// others open and close may miss one.
const MISSING_READINGS: u32 = 2;

/// States of the connections to callers, as the operating system lists them.
///
/// The HTTP server gives no access to its sockets, and only a write tells that a caller has
/// left. While an engine sends nothing there is nothing to write.
#[derive(Debug)]
pub(super) struct CallerConnections {
    /// Address on which callers are served.
    address: SocketAddr,
    listed: Mutex<Listed>,
}

#[derive(Debug, Default)]
struct Listed {
    read_ms: Option<u64>,
    /// Whether the last reading succeeded.
    is_known: bool,
    /// Number of the last reading.
    reading: u32,
    /// Whether a caller has ended its side.
    is_closed: HashMap<SocketAddr, bool>,
}

impl CallerConnections {
    /// Returns the connections to an address.
    pub(super) fn new(address: SocketAddr) -> CallerConnections {
        CallerConnections {
            address,
            listed: Mutex::default(),
        }
    }

    /// Returns a watch on the connection of a caller.
    pub(super) fn watch(self: &Arc<Self>, caller: Option<&SocketAddr>) -> CallerWatch {
        CallerWatch {
            connections: self.clone(),
            caller: caller.copied(),
            missing: Cell::new(0),
            last_reading: Cell::new(0),
        }
    }

    fn read(&self, listed: &mut Listed, now_ms: u64) {
        let is_current = listed
            .read_ms
            .is_some_and(|read_ms| now_ms.saturating_sub(read_ms) < MAX_AGE_MS);
        if is_current {
            return;
        }
        listed.read_ms = Some(now_ms);
        listed.reading = listed.reading.wrapping_add(1);
        let entries = match self.address {
            SocketAddr::V4(_) => tcp(),
            SocketAddr::V6(_) => tcp6(),
        };
        listed.is_closed.clear();
        listed.is_known = entries.is_ok();
        match entries {
            Ok(entries) => self.add(listed, entries),
            Err(error) => warn!("callers: The connections can't be listed. {error}."),
        }
    }

    fn add(&self, listed: &mut Listed, entries: Vec<TcpNetEntry>) {
        let port = self.address.port();
        for entry in entries {
            let is_open = matches!(entry.state, TcpState::Established | TcpState::CloseWait);
            if is_open && entry.local_address.port() == port {
                let is_closed = entry.state == TcpState::CloseWait;
                listed.is_closed.insert(entry.remote_address, is_closed);
            }
        }
    }
}

/// Tells whether one caller has left.
#[derive(Debug)]
pub(super) struct CallerWatch {
    connections: Arc<CallerConnections>,
    caller: Option<SocketAddr>,
    /// Readings in a row that lacked the connection.
    missing: Cell<u32>,
    last_reading: Cell<u32>,
}

impl CallerWatch {
    /// Checks whether the caller is connected, as far as that is known.
    ///
    /// # Errors
    ///
    /// Fails if it has closed or reset its connection.
    pub(super) fn check(&self, now_ms: u64) -> io::Result<()> {
        match self.has_left(now_ms) {
            true => Err(io::ErrorKind::ConnectionAborted.into()),
            false => Ok(()),
        }
    }

    fn has_left(&self, now_ms: u64) -> bool {
        let Some(caller) = self.caller else {
            return false;
        };
        let listed = self.connections.listed.lock();
        let mut listed = listed.unwrap_or_else(PoisonError::into_inner);
        self.connections.read(&mut listed, now_ms);
        if !listed.is_known {
            return false;
        }
        match listed.is_closed.get(&caller) {
            Some(is_closed) => {
                self.missing.set(0);
                *is_closed
            }
            None => self.is_missing(listed.reading),
        }
    }

    fn is_missing(&self, reading: u32) -> bool {
        if self.last_reading.replace(reading) != reading {
            self.missing.set(self.missing.get() + 1);
        }
        self.missing.get() >= MISSING_READINGS
    }
}
