use {
    super::{AdmissionSettings, FairQueue, Job, QueueRefusal},
    crate::placement::{Choice, Placement, PlacementRequest},
};

/// Teams asked for a request that has room, each time room appears.
const MAX_TEAMS_TRIED: usize = 8;

/// Time between two looks at who waits in vain.
const REVIEW_INTERVAL_MS: u64 = 100;

/// Tells whether an engine may get one more request, by its breaker and its
/// limit.
pub type EngineFilter<'a> = dyn Fn(&str) -> bool + 'a;

/// What becomes of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// It is sent now.
    Send {
        /// Number of the request.
        id: u64,
        /// Where it goes.
        choice: Choice,
    },
    /// It is refused now; nothing ran.
    Refuse {
        /// Number of the request.
        id: u64,
        /// When to come back.
        refusal: QueueRefusal,
    },
}

/// Admission, queue and placement of one instance.
#[derive(Debug)]
pub struct Dispatcher {
    placement: Placement,
    queue: FairQueue,
    next_review_ms: u64,
}

impl Dispatcher {
    /// Returns a dispatcher with an empty queue.
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

    /// Returns the placement, to be told of engines and answers.
    pub fn placement_mut(&mut self) -> &mut Placement {
        &mut self.placement
    }

    /// Returns how many requests wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Takes a new request. It is sent, waits, or is refused at once; verdicts
    /// for it and for others that can go now are returned.
    pub fn submit(&mut self, job: Job, fit: &EngineFilter<'_>, now_ms: u64) -> Vec<Decision> {
        let id = job.id;
        if self.queue.is_empty()
            && let Some(choice) = Self::place(&mut self.placement, fit, &job, 0, now_ms)
        {
            self.queue.charge(&job);
            return vec![Decision::Send { id, choice }];
        }
        match self.queue.push(job, now_ms) {
            Ok(()) => self.dispatch_queued(fit, now_ms),
            Err(refusal) => vec![Decision::Refuse { id, refusal }],
        }
    }

    /// Sends what has room now, and refuses what has waited too long.
    pub fn dispatch_queued(&mut self, fit: &EngineFilter<'_>, now_ms: u64) -> Vec<Decision> {
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
                Self::place(placement, fit, job, queued, now_ms)
            });
            let Some((job, choice)) = next else {
                return decisions;
            };
            decisions.push(Decision::Send { id: job.id, choice });
        }
    }

    /// Looks now and then whether those who wait do so in vain.
    fn take_overdue(&mut self, now_ms: u64) -> Vec<(Job, u64)> {
        if now_ms < self.next_review_ms {
            return Vec::new();
        }
        self.next_review_ms = now_ms + REVIEW_INTERVAL_MS;
        self.queue.take_overdue(now_ms)
    }

    /// Takes out a request whose caller has gone.
    pub fn remove(&mut self, id: u64) {
        self.queue.remove(id);
    }

    fn place(
        placement: &mut Placement,
        fit: &EngineFilter<'_>,
        job: &Job,
        queued: usize,
        now_ms: u64,
    ) -> Option<Choice> {
        let ask = PlacementRequest {
            model: &job.model,
            version: &job.version,
            chain: &job.chain,
            kv_store_blocks: job.stored_blocks,
            avoid: &job.avoid,
            is_usable: fit,
            waited_ms: now_ms.saturating_sub(job.arrived_ms),
            queued,
            force: false,
        };
        let mut choice = placement.choose(&ask, now_ms)?;
        placement.sent(&mut choice, &job.chain, now_ms);
        Some(choice)
    }
}
