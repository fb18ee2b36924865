use {
    super::{FairQueue, Job, RefusedWork, RetrySchedule, WaitingSettings, WorkAhead},
    std::collections::{HashMap, VecDeque},
};

/// Why a request can't wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoomFull {
    /// As many requests wait as may.
    Number,
    /// The bodies of the requests that wait are as large as they may be.
    Bytes,
}

/// What is known of a request that waits, besides its place in the order.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Waiter {
    priority: u8,
    body_bytes: usize,
    tokens: u64,
    since_ms: u64,
}

/// A walk through the requests that wait, one of which has the turn.
#[derive(Debug, Default)]
struct Walk {
    turn: Option<u64>,
    rest: VecDeque<u64>,
    began_ms: u64,
}

/// The requests of one service that wait in an instance until an engine may take them.
///
/// The load it addresses is more work than all engines can take for some seconds. One request
/// at a time has the turn to look for an engine. It passes the turn on when it has found one,
/// found none, or is gone.
#[derive(Debug)]
pub struct WaitingRoom {
    settings: WaitingSettings,
    queue: FairQueue,
    waiters: HashMap<u64, Waiter>,
    body_bytes: usize,
    walk: Walk,
    /// Requests beyond the first ones that were tried in the last walks, so that each gets a
    /// turn although the first in order finds no engine.
    skipped: usize,
    retry_schedule: RetrySchedule,
}

impl WaitingRoom {
    /// Returns an empty room. `seed` determines how retry times are spread.
    pub fn new(settings: WaitingSettings, seed: u64) -> WaitingRoom {
        WaitingRoom {
            queue: FairQueue::new(settings.order, seed),
            settings,
            waiters: HashMap::new(),
            body_bytes: 0,
            walk: Walk::default(),
            skipped: 0,
            retry_schedule: RetrySchedule::default(),
        }
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Returns whether a request of this priority must let others go first: one of the same or
    /// a more urgent priority waits.
    pub fn goes_first(&self, priority: u8) -> bool {
        let mut waiters = self.waiters.values();
        waiters.any(|waiter| waiter.priority <= priority)
    }

    /// Returns the requests that are served before a new one of this priority.
    pub fn work_ahead(&self, priority: u8, now_ms: u64) -> WorkAhead {
        let waiters = self.waiters.values();
        let ahead = waiters.filter(|waiter| waiter.priority <= priority);
        ahead.fold(WorkAhead::default(), |ahead, waiter| WorkAhead {
            tokens: ahead.tokens + waiter.tokens,
            longest_wait_ms: ahead
                .longest_wait_ms
                .max(now_ms.saturating_sub(waiter.since_ms)),
        })
    }

    /// Returns the rate at which requests leave for engines in tokens per ms; `None` before it
    /// was measured.
    pub fn drain_tokens_per_ms(&self, now_ms: u64) -> Option<f64> {
        self.queue.drain_tokens_per_ms(now_ms)
    }

    /// Returns the delay after which the caller of a refused request should come back, in
    /// milliseconds.
    pub fn retry_delay_ms(
        &mut self,
        own_tokens: u64,
        priority: u8,
        drain_tokens_per_ms: f64,
        now_ms: u64,
    ) -> u64 {
        let work = RefusedWork {
            ahead: self.work_ahead(priority, now_ms),
            own_tokens,
            drain_tokens_per_ms,
        };
        self.retry_schedule
            .delay_ms(work, &self.settings.retry, now_ms)
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// Returns which bound the request would exceed.
    pub fn enter(&mut self, job: Job, body_bytes: usize, now_ms: u64) -> Result<(), RoomFull> {
        if self.waiters.len() >= self.settings.order.max_queued {
            return Err(RoomFull::Number);
        }
        if self.body_bytes + body_bytes > self.settings.max_bytes {
            return Err(RoomFull::Bytes);
        }
        let waiter = Waiter {
            priority: job.priority,
            body_bytes,
            tokens: job.tokens,
            since_ms: now_ms,
        };
        self.body_bytes += body_bytes;
        self.waiters.insert(job.id, waiter);
        self.queue.append(job, now_ms);
        Ok(())
    }

    /// Charges a team for a request that was sent without a wait.
    pub fn charge(&mut self, job: &Job) {
        self.queue.charge(job);
    }

    /// Removes a request that was sent to an engine, and charges its team. Returns the next
    /// request that has the turn.
    pub fn place(&mut self, id: u64, now_ms: u64) -> Option<u64> {
        self.forget(id)?;
        self.queue.take_served(id, now_ms);
        self.pass_turn(id)
    }

    /// Removes a request that was refused or whose caller is gone. Returns the next request
    /// that has the turn. Does nothing if it is not in the room.
    pub fn leave(&mut self, id: u64) -> Option<u64> {
        self.forget(id)?;
        self.queue.remove(id);
        self.pass_turn(id)
    }

    fn forget(&mut self, id: u64) -> Option<()> {
        let waiter = self.waiters.remove(&id)?;
        self.body_bytes -= waiter.body_bytes;
        Some(())
    }

    /// Returns the request that gets the first turn of a new walk; `None` if nobody waits, or
    /// another walk goes on or has just begun.
    pub fn begin_walk(&mut self, now_ms: u64) -> Option<u64> {
        if self.is_empty() {
            return None;
        }
        let since_ms = now_ms.saturating_sub(self.walk.began_ms);
        let min_interval_ms = match self.walk.turn {
            Some(_) => self.settings.max_walk_ms,
            None => self.settings.min_walk_interval_ms,
        };
        if since_ms < min_interval_ms {
            return None;
        }
        let rest = self.next_tries(now_ms);
        self.walk = Walk {
            turn: None,
            rest,
            began_ms: now_ms,
        };
        self.next_turn()
    }

    /// Returns the requests to be tried: the first half in order, then others in rotation.
    fn next_tries(&mut self, now_ms: u64) -> VecDeque<u64> {
        let order = self.queue.serving_order(now_ms);
        let in_order = self.settings.tries_per_walk.div_ceil(2);
        let (first, others) = order.split_at(in_order.min(order.len()));
        let rotated = (self.settings.tries_per_walk - in_order).min(others.len());
        let mut tries: VecDeque<u64> = first.iter().copied().collect();
        let cycle = others.iter().copied().cycle();
        tries.extend(cycle.skip(self.skipped % others.len().max(1)).take(rotated));
        self.skipped = self.skipped.wrapping_add(rotated);
        tries
    }

    /// Ends the turn of a request that found no engine. Returns the next one that has the turn.
    pub fn pass_turn(&mut self, id: u64) -> Option<u64> {
        if self.walk.turn != Some(id) {
            return None;
        }
        self.next_turn()
    }

    fn next_turn(&mut self) -> Option<u64> {
        self.walk.turn = loop {
            match self.walk.rest.pop_front() {
                Some(id) if !self.waiters.contains_key(&id) => {}
                next => break next,
            }
        };
        self.walk.turn
    }

    /// Returns whether a request has the turn.
    pub fn has_turn(&self, id: u64) -> bool {
        self.walk.turn == Some(id)
    }
}
