use {
    super::{AnswerSink, ChatRequest, Finished, Router, attempt::Target, poison::identity_of},
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
const MOST_ATTEMPTS: u32 = 4;

/// Engines whose state may turn out to be old, for one request.
const MOST_STALE: u32 = 8;

/// When a caller should come back at the earliest if no engine can take its
/// request.
const NO_ENGINE_RETRY_MS: u64 = 1_000;

/// Pause between two looks for an engine that can resume a stream.
const RESUME_LOOK_MS: u64 = 100;

/// What the attempts of one request have come to.
struct Course {
    sequencer: Sequencer,
    /// Engines tried, with the incarnation that was tried. One that restarted
    /// since may be tried again.
    tried: HashMap<String, u64>,
    attempts: u32,
    stale: u32,
    /// Whether the next attempt was charged when the last one gave up.
    is_paid: bool,
    outcome: Outcome,
}

impl Course {
    fn new(request_id: &str) -> Course {
        Course {
            sequencer: Sequencer::new(request_id, ""),
            tried: HashMap::new(),
            attempts: 0,
            stale: 0,
            is_paid: false,
            outcome: Outcome::NotRun,
        }
    }

    fn has_begun(&self) -> bool {
        self.sequencer.bound_version().is_some()
    }

    fn note(&mut self, target: &Target, ended: &EndedAttempt) {
        let name = target.engine.name.clone();
        self.tried.insert(name, target.incarnation);
        self.outcome = worse(self.outcome, ended.outcome());
        self.is_paid = ended.end() == End::Stalled;
        if ended.is_stale() {
            self.stale += 1;
        } else {
            self.attempts += 1;
        }
    }

    fn is_over(&self) -> bool {
        self.attempts >= MOST_ATTEMPTS || self.stale >= MOST_STALE
    }

    /// Returns what the caller is told where no attempt completed.
    fn given_up(&self, reason: &'static str) -> Refusal {
        match self.outcome {
            Outcome::NotRun => Refusal::Unavailable {
                reason,
                retry_ms: spread_ms(NO_ENGINE_RETRY_MS),
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
pub(crate) fn spread_ms(least_ms: u64) -> u64 {
    rand::random_range(least_ms..=least_ms * 2)
}

/// Returns what is known after two attempts: that one ran is known whatever
/// became of the other, and a doubt is not removed by a refusal elsewhere.
fn worse(a: Outcome, b: Outcome) -> Outcome {
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
    ) -> Result<Finished, Refusal> {
        let started_ms = self.edges.clock().now_ms();
        let mut course = Course::new(&request.request_id);
        self.board.upstreams.first_attempt();
        while !course.is_over() {
            let Some(target) = self.next_target(request, &course, sink)? else {
                break;
            };
            if !self.may_send(&course) {
                return Err(course.given_up("Too many requests had to be sent again"));
            }
            let now_ms = self.edges.clock().now_ms();
            let name = &target.engine.name;
            let Some(on) = self.board.upstreams.start(name, &request.model, now_ms) else {
                course.tried.insert(name.clone(), target.incarnation);
                continue;
            };
            course.sequencer.rebind(&target.version);
            let timeouts = self.timeouts(request, started_ms, now_ms);
            let (ended, finished) =
                self.attempt(request, &target, on, timeouts, &mut course.sequencer, sink);
            course.note(&target, &ended);
            let usage = finished.as_ref().map(|f| &f.usage);
            target.placed.end(usage, self.edges.clock().now_ms());
            if let Some(finished) = finished {
                return Ok(finished);
            }
            self.refuse_poison(identity_of(request), course.outcome)?;
            match ended.end() {
                End::OverTime => break,
                End::CallerGone => {
                    return Err(Refusal::Lost {
                        remedy: "the caller closed the connection",
                        outcome: course.outcome,
                    });
                }
                _ if !course.has_begun() && self.is_late(request, started_ms) => break,
                _ => {}
            }
        }
        Err(course.given_up("No engine can take the request"))
    }

    /// Returns whether the caller no longer waits for a first token. Another
    /// attempt would be work for nobody.
    fn is_late(&self, request: &ChatRequest, started_ms: u64) -> bool {
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
    fn may_send(&self, course: &Course) -> bool {
        if course.has_begun() {
            self.board.upstreams.resume();
            return true;
        }
        course.attempts == 0 || course.is_paid || self.board.upstreams.retry()
    }

    /// Chooses an engine. For a stream that has begun it waits for one to
    /// come: an engine that restarts is back within seconds, and its caller
    /// has half a sentence.
    fn next_target(
        &self,
        request: &ChatRequest,
        course: &Course,
        sink: &mut dyn AnswerSink,
    ) -> Result<Option<Target>, Refusal> {
        if course.tried.is_empty() {
            return self.admit(request).map(Some);
        }
        let mut left_ms = if course.has_begun() {
            self.settings.token_timeout_ms
        } else {
            0
        };
        loop {
            if let Some(target) = self.choose(request, course) {
                return Ok(Some(target));
            }
            if left_ms == 0 || sink.silence().is_err() {
                return Ok(None);
            }
            thread::sleep(Duration::from_millis(RESUME_LOOK_MS));
            left_ms = left_ms.saturating_sub(RESUME_LOOK_MS);
        }
    }

    /// Prefers engines below their limits. Where there is none, one whose
    /// breaker is closed is better than a refusal.
    fn choose(&self, request: &ChatRequest, course: &Course) -> Option<Target> {
        // Read anew for each attempt: an engine withdrawn meanwhile gets none.
        let view = self.board.config.view();
        let now_ms = self.edges.clock().now_ms();
        let upstreams = &self.board.upstreams;
        let version = course.sequencer.bound_version();
        let tried = self.still_tried(course);
        let suspects = self.suspects_apart_from(request);
        let usable = |name: &str| upstreams.usable(name, now_ms);
        let allowed = |name: &str| upstreams.allows(name, now_ms);
        let apart = |name: &str| usable(name) && !suspects.contains(name);
        self.place_again(request, &view, version, &tried, &apart)
            .or_else(|| self.place_again(request, &view, version, &tried, &usable))
            .or_else(|| self.place_again(request, &view, version, &tried, &allowed))
    }

    /// Returns the tried engines that have not restarted since.
    fn still_tried(&self, course: &Course) -> HashSet<String> {
        self.board.engines.read(|sights| {
            course
                .tried
                .iter()
                .filter(|(name, incarnation)| {
                    sights
                        .get(*name)
                        .and_then(|sight| sight.state.as_ref())
                        .is_none_or(|state| state.incarnation == **incarnation)
                })
                .map(|(name, _)| name.clone())
                .collect()
        })
    }
}
