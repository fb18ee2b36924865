use {
    bytes::Bytes,
    http_body_util::Full,
    hyper::client::conn::http1::SendRequest,
    mangowalk_core::pool::{EngineEntry, Incarnation},
    std::{
        cell::RefCell,
        collections::HashMap,
        rc::{Rc, Weak},
    },
    tokio::task::AbortHandle,
};

/// Time for which an idle connection is used if the engine names none.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 4_000;

/// Time before an engine closes an idle connection in which it is no longer
/// used. A request that crosses the close may have run, for all that can be
/// known here; a second covers any delay on the way.
const IDLE_TIMEOUT_MARGIN_MS: u64 = 1_200;

/// Idle connections kept to one engine.
const MAX_IDLE_PER_ENGINE: usize = 24;

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    expires_ms: u64,
}

/// Idle connections to engines.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<Incarnation, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes an idle connection that can be used, the one used last first.
    pub fn take(
        self: &Rc<ConnectionPool>,
        engine: &EngineEntry,
        now_ms: u64,
    ) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&engine.incarnation)?;
        connections.retain(|connection| {
            let is_usable = !connection.sender.is_closed() && now_ms < connection.expires_ms;
            if !is_usable {
                connection.task.abort();
            }
            is_usable
        });
        let index = connections
            .iter()
            .rposition(|connection| connection.sender.is_ready())?;
        let connection = connections.remove(index);
        Some(PooledConnection {
            pool: Rc::downgrade(self),
            engine: engine.incarnation.clone(),
            sender: Some(connection.sender),
            task: connection.task,
            idle_timeout_ms: DEFAULT_IDLE_TIMEOUT_MS,
        })
    }

    /// Wraps a new connection.
    pub fn wrap(
        self: &Rc<ConnectionPool>,
        engine: &EngineEntry,
        sender: SendRequest<Full<Bytes>>,
        task: AbortHandle,
    ) -> PooledConnection {
        PooledConnection {
            pool: Rc::downgrade(self),
            engine: engine.incarnation.clone(),
            sender: Some(sender),
            task,
            idle_timeout_ms: DEFAULT_IDLE_TIMEOUT_MS,
        }
    }

    /// Closes all idle connections to an engine that fell silent. A request on
    /// one of them would be lost; on a new one it is known not to be sent.
    pub fn close_idle(&self, engine: &Incarnation) {
        let connections = self.idle.borrow_mut().remove(engine);
        for connection in connections.unwrap_or_default() {
            connection.task.abort();
        }
    }

    /// Closes connections that are idle for too long, or whose engine is gone.
    pub fn sweep(&self, is_listed: impl Fn(&Incarnation) -> bool, now_ms: u64) {
        self.idle.borrow_mut().retain(|engine, connections| {
            let has_entry = is_listed(engine);
            connections.retain(|connection| {
                let is_usable =
                    has_entry && !connection.sender.is_closed() && now_ms < connection.expires_ms;
                if !is_usable {
                    connection.task.abort();
                }
                is_usable
            });
            !connections.is_empty()
        });
    }
}

/// A connection in use. Dropped before its answer is whole, it is closed:
/// the engine then stops the work, and no bytes of this answer can be taken
/// for another's.
pub struct PooledConnection {
    pool: Weak<ConnectionPool>,
    engine: Incarnation,
    sender: Option<SendRequest<Full<Bytes>>>,
    task: AbortHandle,
    idle_timeout_ms: u64,
}

impl PooledConnection {
    /// Returns what sends on the connection.
    pub fn sender(&mut self) -> Option<&mut SendRequest<Full<Bytes>>> {
        self.sender.as_mut()
    }

    /// Notes how long the engine keeps the connection when idle.
    pub fn set_keep_alive_s(&mut self, keep_alive_s: Option<u64>) {
        if let Some(keep_alive_s) = keep_alive_s {
            self.idle_timeout_ms = keep_alive_s * 1_000;
        }
    }

    /// Puts the connection back, once its answer was read whole.
    pub fn return_to_pool(mut self, now_ms: u64) {
        let (Some(sender), Some(pool)) = (self.sender.take(), self.pool.upgrade()) else {
            return;
        };
        let expires_ms = now_ms + self.idle_timeout_ms.saturating_sub(IDLE_TIMEOUT_MARGIN_MS);
        if sender.is_closed() || expires_ms <= now_ms {
            self.task.abort();
            return;
        }
        let mut idle = pool.idle.borrow_mut();
        let connections = idle.entry(self.engine.clone()).or_default();
        if connections.len() >= MAX_IDLE_PER_ENGINE {
            self.task.abort();
            return;
        }
        connections.push(IdleConnection {
            sender,
            task: self.task.clone(),
            expires_ms,
        });
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}
