use {
    super::Connection,
    crate::bounded::MeteredStream,
    mangowalk_core::pool::Incarnation,
    std::{
        cell::RefCell,
        collections::HashMap,
        rc::{Rc, Weak},
    },
};

/// Idle timeout of a connection if the engine's answer doesn't name one.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 4_000;

/// Time before an engine's idle timeout from which a connection is no longer used.
/// A request that is sent while the engine closes the connection counts as one that
/// may have run; a second covers any delay on the network.
const IDLE_TIMEOUT_MARGIN_MS: u64 = 1_200;

/// Maximum number of idle connections to one engine.
const MAX_IDLE_PER_ENGINE: usize = 24;

struct IdleConnection {
    connection: Connection,
    expires_ms: u64,
}

impl IdleConnection {
    /// Returns whether the connection may be used. Closes it otherwise.
    fn retain(&self, is_listed: bool, now_ms: u64) -> bool {
        let is_usable = is_listed && !self.connection.is_closed() && now_ms < self.expires_ms;
        if !is_usable {
            self.connection.close();
        }
        is_usable
    }
}

/// Idle connections to engines and peers, by their incarnation.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<Incarnation, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes the most recently used idle connection that is ready, and closes
    /// those that have expired. Returns `None` if there is none.
    pub fn take(
        self: &Rc<ConnectionPool>,
        engine: &Incarnation,
        now_ms: u64,
    ) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(engine)?;
        connections.retain(|idle| idle.retain(true, now_ms));
        let index = connections
            .iter()
            .rposition(|idle| idle.connection.is_ready())?;
        let idle = connections.remove(index);
        Some(self.wrap(engine, idle.connection))
    }

    /// Wraps a new connection, so that it can be returned to this pool.
    pub fn wrap(
        self: &Rc<ConnectionPool>,
        engine: &Incarnation,
        connection: Connection,
    ) -> PooledConnection {
        PooledConnection {
            pool: Rc::downgrade(self),
            engine: engine.clone(),
            connection: Some(connection),
            idle_timeout_ms: DEFAULT_IDLE_TIMEOUT_MS,
            is_closing: false,
        }
    }

    /// Closes all idle connections to an engine that doesn't answer. A request on
    /// one of them would be lost, while a failed attempt to open a new connection
    /// shows that the request was not sent.
    pub fn close_idle(&self, engine: &Incarnation) {
        let connections = self.idle.borrow_mut().remove(engine);
        for idle in connections.unwrap_or_default() {
            idle.connection.close();
        }
    }

    /// Closes connections that have expired or were closed by their engine, and
    /// those to engines for which `is_listed` is false.
    pub fn sweep(&self, is_listed: impl Fn(&Incarnation) -> bool, now_ms: u64) {
        self.idle.borrow_mut().retain(|engine, connections| {
            let has_entry = is_listed(engine);
            connections.retain(|idle| idle.retain(has_entry, now_ms));
            !connections.is_empty()
        });
    }
}

/// A connection in use.
///
/// It is closed if it is dropped before its answer is complete. The engine then
/// stops the work, and the remaining bytes can't be mistaken for another answer.
pub struct PooledConnection {
    pool: Weak<ConnectionPool>,
    engine: Incarnation,
    connection: Option<Connection>,
    idle_timeout_ms: u64,
    /// Whether the connection ends with the answer.
    is_closing: bool,
}

impl PooledConnection {
    /// Returns the connection, or `None` once it was returned to the pool.
    pub fn connection(&mut self) -> Option<&mut Connection> {
        self.connection.as_mut()
    }

    /// Returns the stream of a connection whose end was that of the answer; see
    /// [`Connection::take_ended`].
    pub async fn take_ended(&mut self) -> Option<MeteredStream> {
        self.connection.as_mut()?.take_ended().await
    }

    /// Sets the idle timeout that the engine named; `None` leaves it unchanged.
    pub fn set_keep_alive_s(&mut self, keep_alive_s: Option<u64>) {
        if let Some(keep_alive_s) = keep_alive_s {
            self.idle_timeout_ms = keep_alive_s * 1_000;
        }
    }

    /// Records that the connection ends with the answer, so that it isn't used again.
    pub fn set_closing(&mut self) {
        self.is_closing = true;
    }

    /// Returns the connection to the pool, once its answer was read in full. Closes
    /// it instead if it is no longer usable or the engine has enough idle ones.
    pub fn return_to_pool(mut self, now_ms: u64) {
        let (Some(connection), Some(pool)) = (self.connection.take(), self.pool.upgrade()) else {
            return;
        };
        let expires_ms = now_ms + self.idle_timeout_ms.saturating_sub(IDLE_TIMEOUT_MARGIN_MS);
        if self.is_closing || connection.is_closed() || expires_ms <= now_ms {
            connection.close();
            return;
        }
        let mut idle = pool.idle.borrow_mut();
        let connections = idle.entry(self.engine.clone()).or_default();
        if connections.len() >= MAX_IDLE_PER_ENGINE {
            connection.close();
            return;
        }
        connections.push(IdleConnection {
            connection,
            expires_ms,
        });
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.close();
        }
    }
}
