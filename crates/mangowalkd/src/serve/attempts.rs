use {
    super::{
        AnswerSink, ChatRequest, FinishedAnswer, Router, attempt::Target, poison::chat_identity,
    },
    mangowalk_core::{
        attempt::{End, EndedAttempt, Timeouts},
        edge::{Clock, Edges},
        refusal::{Outcome, Refusal},
        stream::Sequencer,
    },
    std::{
        collections::{HashMap, HashSet},
        thread,
        time::Duration,
    },
};

/// Attempts that one request may use. Three engines that fail in turn are no
/// accident any more: either the fleet is down or the request is to blame.
const MAX_ATTEMPTS: u32 = 4;

/// Engines whose state may turn out to be old, for one request.
const MAX_STALE_REFUSALS: u32 = 8;

/// When a caller should come back at the earliest if no engine can take its
/// request.
const MIN_RETRY_MS: u64 = 1_000;

/// Pause between two looks for an engine that can resume a stream.
const RESUME_POLL_INTERVAL_MS: u64 = 100;

/// What the attempts of one request have come to.
struct AttemptHistory {
    sequencer: Sequencer,
    /// Engines tried, with the incarnation that was tried. One that restarted
    /// since may be tried again.
    tried: HashMap<String, u64>,
    attempts: u32,
    stale_refusals: u32,
    /// Whether the next attempt was charged when the last one gave up.
    is_retry_charged: bool,
    outcome: Outcome,
}

impl AttemptHistory {
    fn new(request_id: &str) -> AttemptHistory {
        AttemptHistory {
            sequencer: Sequencer::new(request_id, ""),
            tried: HashMap::new(),
            attempts: 0,
            stale_refusals: 0,
            is_retry_charged: false,
            outcome: Outcome::NotRun,
        }
    }

    fn has_begun(&self) -> bool {
        self.sequencer.bound_version().is_some()
    }

    fn record(&mut self, target: &Target, ended: &EndedAttempt) {
        let name = target.engine.name.clone();
        self.tried.insert(name, target.incarnation);
        self.outcome = combine_outcomes(self.outcome, ended.outcome());
        self.is_retry_charged = ended.end() == End::Stalled;
        if ended.is_stale() {
            self.stale_refusals += 1;
        } else {
            self.attempts += 1;
        }
    }

    fn is_exhausted(&self) -> bool {
        self.attempts >= MAX_ATTEMPTS || self.stale_refusals >= MAX_STALE_REFUSALS
    }

    /// Returns what the caller is told where no attempt completed.
    fn refusal(&self, reason: &'static str) -> Refusal {
        match self.outcome {
            Outcome::NotRun => Refusal::Unavailable {
                reason,
                retry_ms: jittered_ms(MIN_RETRY_MS),
            },
            outcome => Refusal::Lost {
                remedy: "send it again",
                outcome,
            },
        }
    }
}

/// Returns a time up to twice as long, drawn anew. Callers refused together
/// would otherwise come back together and be refused again.
pub(crate) fn jittered_ms(min_ms: u64) -> u64 {
    rand::random_range(min_ms..=min_ms * 2)
}

/// Returns what is known after two attempts: that one ran is known whatever
/// became of the other, and a doubt is not removed by a refusal elsewhere.
fn combine_outcomes(a: Outcome, b: Outcome) -> Outcome {
    match (a, b) {
        (Outcome::Ran, _) | (_, Outcome::Ran) => Outcome::Ran,
        (Outcome::Unknown, _) | (_, Outcome::Unknown) => Outcome::Unknown,
        (Outcome::NotRun, Outcome::NotRun) => Outcome::NotRun,
    }
}

impl<E: Edges> Router<E> {
    /// Tries engines one after another until one completes the answer. Only
    /// one attempt is out at a time, so two never write.
    pub(super) fn attempts(
        &self,
        request: &ChatRequest,
        sink: &mut dyn AnswerSink,
    ) -> Result<FinishedAnswer, Refusal> {
        let started_ms = self.edges.clock().now_ms();
        let mut history = AttemptHistory::new(&request.request_id);
        self.shared.upstreams.record_first_attempt();
        while !history.is_exhausted() {
            let Some(target) = self.next_target(request, &history, sink)? else {
                break;
            };
            if !self.charge_retry(&history) {
                return Err(history.refusal("Too many requests had to be sent again"));
            }
            let now_ms = self.edges.clock().now_ms();
            let name = &target.engine.name;
            let Some(upstream_attempt) = self.shared.upstreams.start(name, &request.model, now_ms)
            else {
                history.tried.insert(name.clone(), target.incarnation);
                continue;
            };
            history.sequencer.rebind(&target.version);
            let timeouts = self.timeouts(request, started_ms, now_ms);
            let (ended, finished) = self.attempt(
                request,
                &target,
                upstream_attempt,
                timeouts,
                &mut history.sequencer,
                sink,
            );
            history.record(&target, &ended);
            let usage = finished.as_ref().map(|f| &f.usage);
            target.placed.end(usage, self.edges.clock().now_ms());
            if let Some(finished) = finished {
                return Ok(finished);
            }
            self.refuse_poisonous(chat_identity(request), history.outcome)?;
            match ended.end() {
                End::OverTime => break,
                End::CallerGone => {
                    return Err(Refusal::Lost {
                        remedy: "the caller closed the connection",
                        outcome: history.outcome,
                    });
                }
                _ if !history.has_begun() && self.is_past_deadline(request, started_ms) => break,
                _ => {}
            }
        }
        Err(history.refusal("No engine can take the request"))
    }

    /// Returns whether the caller no longer waits for a first token. Another
    /// attempt would be work for nobody.
    fn is_past_deadline(&self, request: &ChatRequest, started_ms: u64) -> bool {
        let spent_ms = self.edges.clock().now_ms().saturating_sub(started_ms);
        request
            .deadline_ms
            .is_some_and(|deadline_ms| spent_ms >= deadline_ms)
    }

    fn timeouts(&self, request: &ChatRequest, started_ms: u64, now_ms: u64) -> Timeouts {
        let settings = &self.settings;
        let spent_ms = now_ms.saturating_sub(started_ms);
        let left_ms = request
            .deadline_ms
            .map_or(u64::MAX, |deadline_ms| deadline_ms.saturating_sub(spent_ms));
        Timeouts {
            first_token_ms: settings.first_token_timeout_ms.min(left_ms),
            between_tokens_ms: settings.token_timeout_ms,
            request_until_ms: started_ms.saturating_add(settings.request_timeout_ms),
        }
    }

    /// Asks the budget for what is no first attempt. One behind a stale
    /// refusal is free: nothing ran, and the engine's state is known now.
    fn charge_retry(&self, history: &AttemptHistory) -> bool {
        if history.has_begun() {
            self.shared.upstreams.charge_resume();
            return true;
        }
        history.attempts == 0 || history.is_retry_charged || self.shared.upstreams.try_retry()
    }

    /// Chooses an engine. For a stream that has begun it waits for one to
    /// come: an engine that restarts is back within seconds, and its caller
    /// has half a sentence.
    fn next_target(
        &self,
        request: &ChatRequest,
        history: &AttemptHistory,
        sink: &mut dyn AnswerSink,
    ) -> Result<Option<Target>, Refusal> {
        if history.tried.is_empty() {
            return self.admit(request).map(Some);
        }
        let mut left_ms = if history.has_begun() {
            self.settings.token_timeout_ms
        } else {
            0
        };
        loop {
            if let Some(target) = self.choose(request, history) {
                return Ok(Some(target));
            }
            if left_ms == 0 || sink.silence().is_err() {
                return Ok(None);
            }
            thread::sleep(Duration::from_millis(RESUME_POLL_INTERVAL_MS));
            left_ms = left_ms.saturating_sub(RESUME_POLL_INTERVAL_MS);
        }
    }

    /// Prefers engines below their limits. Where there is none, one whose
    /// breaker is closed is better than a refusal.
    fn choose(&self, request: &ChatRequest, history: &AttemptHistory) -> Option<Target> {
        // Read anew for each attempt: an engine withdrawn meanwhile gets none.
        let view = self.shared.config.view();
        let now_ms = self.edges.clock().now_ms();
        let upstreams = &self.shared.upstreams;
        let version = history.sequencer.bound_version();
        let tried = self.tried_engines(history);
        let suspects = self.upstreams_with_other_suspects(request);
        let usable = |name: &str| upstreams.usable(name, now_ms);
        let allowed = |name: &str| upstreams.allows(name, now_ms);
        let away_from_suspects = |name: &str| usable(name) && !suspects.contains(name);
        self.place_retry(request, &view, version, &tried, &away_from_suspects)
            .or_else(|| self.place_retry(request, &view, version, &tried, &usable))
            .or_else(|| self.place_retry(request, &view, version, &tried, &allowed))
    }

    /// Returns the tried engines that have not restarted since.
    fn tried_engines(&self, history: &AttemptHistory) -> HashSet<String> {
        self.shared.engines.read(|engines| {
            history
                .tried
                .iter()
                .filter(|(name, incarnation)| {
                    engines
                        .get(*name)
                        .and_then(|known| known.state.as_ref())
                        .is_none_or(|state| state.incarnation == **incarnation)
                })
                .map(|(name, _)| name.clone())
                .collect()
        })
    }
}
