use {
    super::{
        AnswerSink, ChatRequest, FinishedAnswer, Router, admit::caller_left, attempt::Target,
        poison::chat_identity,
    },
    mangowalk_core::{
        attempt::{AttemptEnd, EndedAttempt, Timeouts},
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

/// Attempts per request. Three engines that fail in turn are not a
/// coincidence: either the whole fleet is down or the request causes the
/// failures.
const MAX_ATTEMPTS: u32 = 4;

/// Refusals per request by engines whose known state was stale.
const MAX_STALE_REFUSALS: u32 = 8;

/// Minimum time after which a caller should retry if no engine can take its
/// request.
const MIN_RETRY_MS: u64 = 1_000;

/// Interval at which an engine is looked for that can resume a stream.
const RESUME_POLL_INTERVAL_MS: u64 = 100;

/// The attempts of one request so far, and their result.
struct AttemptHistory {
    sequencer: Sequencer,
    /// Engines tried, with the incarnation that was tried. An engine that
    /// restarted since may be tried again.
    tried: HashMap<String, u64>,
    attempts: u32,
    stale_refusals: u32,
    /// Whether the next attempt was charged to the retry budget when the last
    /// one ended because its engine stalled.
    is_retry_charged: bool,
    outcome: Outcome,
    /// Software of the last engine, which is that of all tokens once one was written.
    /// Empty if the engine doesn't tell it.
    software: String,
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
            software: String::new(),
        }
    }

    fn has_begun(&self) -> bool {
        self.sequencer.bound_version().is_some()
    }

    /// Expects the answer of an engine's weights and software, unless a token was written.
    fn rebind(&mut self, target: &Target) {
        if !self.has_begun() {
            self.software = target.software.clone();
        }
        self.sequencer.rebind(&target.version);
    }

    fn record(&mut self, target: &Target, ended: &EndedAttempt) {
        let name = target.engine.name.clone();
        self.tried.insert(name, target.incarnation);
        self.outcome = combine_outcomes(self.outcome, ended.outcome());
        self.is_retry_charged = ended.end() == AttemptEnd::Stalled;
        if ended.is_stale() {
            self.stale_refusals += 1;
        } else {
            self.attempts += 1;
        }
    }

    fn is_exhausted(&self) -> bool {
        self.attempts >= MAX_ATTEMPTS || self.stale_refusals >= MAX_STALE_REFUSALS
    }

    /// Returns the refusal for the caller if no attempt completed.
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

/// Returns a random time from `min_ms` to twice that. Without jitter, callers
/// that are refused together would retry together and be refused again.
pub(crate) fn jittered_ms(min_ms: u64) -> u64 {
    rand::random_range(min_ms..=min_ms * 2)
}

/// Returns the outcome of a request after two attempts. If one ran, the request
/// ran; an unknown outcome stays unknown if the other attempt did not run.
fn combine_outcomes(a: Outcome, b: Outcome) -> Outcome {
    match (a, b) {
        (Outcome::Ran, _) | (_, Outcome::Ran) => Outcome::Ran,
        (Outcome::Unknown, _) | (_, Outcome::Unknown) => Outcome::Unknown,
        (Outcome::NotRun, Outcome::NotRun) => Outcome::NotRun,
    }
}

impl<E: Edges> Router<E> {
    /// Tries engines one after another until one completes the answer. Only one
    /// attempt runs at a time, so two never write to the sink.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if no attempt completed the answer.
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
            history.rebind(&target);
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
                AttemptEnd::OverTime => break,
                AttemptEnd::CallerGone => {
                    return Err(caller_left(history.outcome));
                }
                _ if !history.has_begun() && self.is_past_deadline(request, started_ms) => break,
                _ => {}
            }
        }
        Err(history.refusal("No engine can take the request"))
    }

    /// Returns whether the caller's deadline for the first token has passed, so
    /// that no caller would receive the result of another attempt.
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

    /// Charges an attempt to the retry budget, unless it is the first or was
    /// charged before. Returns whether it may be sent; one that resumes a
    /// stream always may. An attempt after nothing but stale refusals is free:
    /// nothing ran, and the engine's state is known now.
    fn charge_retry(&self, history: &AttemptHistory) -> bool {
        if history.has_begun() {
            self.shared.upstreams.charge_resume();
            return true;
        }
        history.attempts == 0 || history.is_retry_charged || self.shared.upstreams.try_retry()
    }

    /// Chooses the target of the next attempt; `None` if there is none.
    ///
    /// For a stream that has begun, it waits up to the token timeout for an
    /// engine: one that restarts is available within seconds, and the caller
    /// has already received a part of the answer.
    fn next_target(
        &self,
        request: &ChatRequest,
        history: &AttemptHistory,
        sink: &mut dyn AnswerSink,
    ) -> Result<Option<Target>, Refusal> {
        if history.tried.is_empty() {
            return self.admit(request, sink).map(Some);
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
            if left_ms == 0 || sink.silence(self.now_ms()).is_err() {
                return Ok(None);
            }
            thread::sleep(Duration::from_millis(RESUME_POLL_INTERVAL_MS));
            left_ms = left_ms.saturating_sub(RESUME_POLL_INTERVAL_MS);
        }
    }

    /// Prefers usable engines without other suspect requests, then usable ones,
    /// which are below their limits. If there is none, an engine whose breaker
    /// allows an attempt is used rather than refusing the request.
    fn choose(&self, request: &ChatRequest, history: &AttemptHistory) -> Option<Target> {
        // The view is loaded for each attempt, so that an engine withdrawn
        // meanwhile gets none.
        let view = self.shared.config.view();
        let now_ms = self.edges.clock().now_ms();
        let upstreams = &self.shared.upstreams;
        let version = history.sequencer.bound_version();
        let mut tried = self.tried_engines(history);
        if history.has_begun() {
            tried.extend(self.engines_with_other_software(&history.software));
        }
        let suspects = self.upstreams_with_other_suspects(request);
        let usable = |name: &str| upstreams.usable(name, now_ms);
        let allowed = |name: &str| upstreams.allows(name, now_ms);
        let away_from_suspects = |name: &str| usable(name) && !suspects.contains(name);
        self.place_retry(request, &view, version, &tried, &away_from_suspects)
            .or_else(|| self.place_retry(request, &view, version, &tried, &usable))
            .or_else(|| self.place_retry(request, &view, version, &tried, &allowed))
    }

    /// Returns the engines that aren't known to run this version of their software. What
    /// two versions write doesn't fit together.
    fn engines_with_other_software(&self, software: &str) -> Vec<String> {
        self.shared.engines.read(|engines| {
            let others = engines.iter().filter(|(_, known)| {
                let state = known.state.as_ref();
                let is_same = state.is_some_and(|state| state.software == software);
                software.is_empty() || !is_same
            });
            others.map(|(name, _)| name.clone()).collect()
        })
    }

    /// Returns the tried engines that are not known to have restarted since.
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
