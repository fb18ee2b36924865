use {
    super::{AdmissionSettings, FairQueue, Job, QueueRefusal},
    crate::placement::{Choice, Placement, PlacementRequest},
};

/// Maximum number of teams examined for a request that can be sent, each time
/// capacity becomes available.
const MAX_TEAMS_TRIED: usize = 8;

/// Time between two checks for overdue requests.
const REVIEW_INTERVAL_MS: u64 = 100;

/// Returns whether an engine, given by name, may receive another request
/// according to its circuit breaker and its limit.
pub type EngineFilter<'a> = dyn Fn(&str) -> bool + 'a;

/// The outcome of admission for a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// The request is sent now.
    Send {
        /// Number of the request.
        id: u64,
        /// Engine that receives it.
        choice: Choice,
    },
    /// The request is refused now and has not run.
    Refuse {
        /// Number of the request.
        id: u64,
        /// Predicted wait and retry time.
        refusal: QueueRefusal,
    },
}

/// Combines the queue and the placement of one instance.
#[derive(Debug)]
pub struct Dispatcher {
    placement: Placement,
    queue: FairQueue,
    next_review_ms: u64,
}

impl Dispatcher {
    /// Returns a dispatcher with an empty queue. `seed` determines how retry
    /// times are spread.
    pub fn new(placement: Placement, settings: AdmissionSettings, seed: u64) -> Dispatcher {
        Dispatcher {
            placement,
            queue: FairQueue::new(settings, seed),
            next_review_ms: 0,
        }
    }

    /// Returns the placement.
    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    /// Returns the placement, for reporting engines and answers to it.
    pub fn placement_mut(&mut self) -> &mut Placement {
        &mut self.placement
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Submits a new request, which is sent, queued or refused at once. Returns
    /// the decisions made now, on this request and on queued ones; none on a
    /// request that stays queued.
    pub fn submit(&mut self, job: Job, is_usable: &EngineFilter<'_>, now_ms: u64) -> Vec<Decision> {
        let id = job.id;
        if self.queue.is_empty()
            && let Some(choice) = Self::place(&mut self.placement, is_usable, &job, 0, now_ms)
        {
            self.queue.charge(&job);
            return vec![Decision::Send { id, choice }];
        }
        match self.queue.push(job, now_ms) {
            Ok(()) => self.dispatch_queued(is_usable, now_ms),
            Err(refusal) => vec![Decision::Refuse { id, refusal }],
        }
    }

    /// Refuses overdue requests, sends queued ones for which an engine has
    /// capacity, and returns these decisions.
    pub fn dispatch_queued(&mut self, is_usable: &EngineFilter<'_>, now_ms: u64) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for (job, wait_ms) in self.take_overdue(now_ms) {
            let refusal = self.queue.refusal(wait_ms);
            decisions.push(Decision::Refuse {
                id: job.id,
                refusal,
            });
        }
        let placement = &mut self.placement;
        loop {
            let queued = self.queue.len();
            let next = self.queue.take_next(now_ms, MAX_TEAMS_TRIED, |job| {
                Self::place(placement, is_usable, job, queued, now_ms)
            });
            let Some((job, choice)) = next else {
                return decisions;
            };
            decisions.push(Decision::Send { id: job.id, choice });
        }
    }

    /// Takes overdue requests out of the queue, at most once per
    /// `REVIEW_INTERVAL_MS`.
    fn take_overdue(&mut self, now_ms: u64) -> Vec<(Job, u64)> {
        if now_ms < self.next_review_ms {
            return Vec::new();
        }
        self.next_review_ms = now_ms + REVIEW_INTERVAL_MS;
        self.queue.take_overdue(now_ms)
    }

    /// Removes a queued request, as when its caller has disconnected. Does
    /// nothing if it is not queued.
    pub fn remove(&mut self, id: u64) {
        self.queue.remove(id);
    }

    fn place(
        placement: &mut Placement,
        is_usable: &EngineFilter<'_>,
        job: &Job,
        queued: usize,
        now_ms: u64,
    ) -> Option<Choice> {
        let request = PlacementRequest {
            model: &job.model,
            version: &job.version,
            chain: &job.chain,
            cache_store_blocks: job.cache_store_blocks,
            avoid: &job.avoid,
            is_usable,
            waited_ms: now_ms.saturating_sub(job.arrived_ms),
            queued,
            force: false,
        };
        let mut choice = placement.choose(&request, now_ms)?;
        placement.sent(&mut choice, &job.chain, now_ms);
        Some(choice)
    }
}
