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
const DEFAULT_KEEP_MS: u64 = 4_000;

/// Time before an engine closes an idle connection in which it is no longer
/// used. A request that crosses the close may have run, for all that can be
/// known here; a second covers any delay on the way.
const KEEP_MARGIN_MS: u64 = 1_200;

/// Idle connections kept to one engine.
const MOST_IDLE: usize = 24;

struct Idle {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    until_ms: u64,
}

/// Idle connections to engines.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<HashMap<Incarnation, Vec<Idle>>>,
}

impl Pool {
    /// Takes an idle connection that can be used, the one used last first.
    pub fn take(self: &Rc<Pool>, engine: &EngineEntry, now_ms: u64) -> Option<Kept> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&engine.incarnation)?;
        kept.retain(|one| {
            let usable = !one.sender.is_closed() && now_ms < one.until_ms;
            if !usable {
                one.task.abort();
            }
            usable
        });
        let place = kept.iter().rposition(|one| one.sender.is_ready())?;
        let one = kept.remove(place);
        Some(Kept {
            pool: Rc::downgrade(self),
            engine: engine.incarnation.clone(),
            sender: Some(one.sender),
            task: one.task,
            keep_ms: DEFAULT_KEEP_MS,
        })
    }

    /// Wraps a new connection.
    pub fn adopt(
        self: &Rc<Pool>,
        engine: &EngineEntry,
        sender: SendRequest<Full<Bytes>>,
        task: AbortHandle,
    ) -> Kept {
        Kept {
            pool: Rc::downgrade(self),
            engine: engine.incarnation.clone(),
            sender: Some(sender),
            task,
            keep_ms: DEFAULT_KEEP_MS,
        }
    }

    /// Closes all idle connections to an engine that fell silent. A request on
    /// one of them would be lost; on a new one it is known not to be sent.
    pub fn drop_idle(&self, engine: &Incarnation) {
        let kept = self.idle.borrow_mut().remove(engine);
        for one in kept.unwrap_or_default() {
            one.task.abort();
        }
    }

    /// Closes connections that are idle for too long, or whose engine is gone.
    pub fn sweep(&self, is_listed: impl Fn(&Incarnation) -> bool, now_ms: u64) {
        self.idle.borrow_mut().retain(|engine, kept| {
            let listed = is_listed(engine);
            kept.retain(|one| {
                let usable = listed && !one.sender.is_closed() && now_ms < one.until_ms;
                if !usable {
                    one.task.abort();
                }
                usable
            });
            !kept.is_empty()
        });
    }
}

/// A connection in use. Dropped before its answer is whole, it is closed:
/// the engine then stops the work, and no bytes of this answer can be taken
/// for another's.
pub struct Kept {
    pool: Weak<Pool>,
    engine: Incarnation,
    sender: Option<SendRequest<Full<Bytes>>>,
    task: AbortHandle,
    keep_ms: u64,
}

impl Kept {
    /// Returns what sends on the connection.
    pub fn sender(&mut self) -> Option<&mut SendRequest<Full<Bytes>>> {
        self.sender.as_mut()
    }

    /// Notes how long the engine keeps the connection when idle.
    pub fn keep_for_s(&mut self, keep_s: Option<u64>) {
        if let Some(keep_s) = keep_s {
            self.keep_ms = keep_s * 1_000;
        }
    }

    /// Puts the connection back, once its answer was read whole.
    pub fn put_back(mut self, now_ms: u64) {
        let (Some(sender), Some(pool)) = (self.sender.take(), self.pool.upgrade()) else {
            return;
        };
        let until_ms = now_ms + self.keep_ms.saturating_sub(KEEP_MARGIN_MS);
        if sender.is_closed() || until_ms <= now_ms {
            self.task.abort();
            return;
        }
        let mut idle = pool.idle.borrow_mut();
        let kept = idle.entry(self.engine.clone()).or_default();
        if kept.len() >= MOST_IDLE {
            self.task.abort();
            return;
        }
        kept.push(Idle {
            sender,
            task: self.task.clone(),
            until_ms,
        });
    }
}

impl Drop for Kept {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}
