use {
    super::{
        engine::{Engine, Run},
        planner::Planner,
    },
    mangowalk_core::weights::{FinishedLoad, Step},
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom},
    std::fmt,
};

const TICK_MS: u64 = 10;
const DAY_MS: u64 = 34_000;
const HEARTBEAT_MS: u64 = 200;
const POLL_MS: u64 = 40;

/// Times at which versions are published.
const PUBLISHED_MS: [u64; 3] = [2_000, 12_000, 24_000];

/// Times between which the burst lasts.
const BURST_MS: (u64, u64) = (11_000, 17_000);

/// Share of the shared tokens of long prompts that is read again.
const REREAD_SHARE: f64 = 0.1;

/// Tokens of the shared part of a long prompt.
const SHARED_TOKENS: f64 = 6_300.0;

/// Cost of a shared part that the engine doesn't hold, as a share of reading it: it is
/// fetched from the cache store or another engine.
const FETCH_SHARE: f64 = 0.35;

/// Number of shared parts in use.
const PARTS: u32 = 40;

/// Exponent of the slowdown of loads beyond the full-speed number: six loads where two
/// run at full speed took five times as long.
const SLOWDOWN_EXPONENT: f64 = 1.5;

/// One day of a deployment.
#[derive(Debug, Clone, Default)]
pub(super) struct Day {
    pub(super) name: &'static str,
    pub(super) kind: &'static str,
    pub(super) engines: usize,
    pub(super) slots: u32,
    pub(super) tokens_per_ms: f64,
    pub(super) step_ms: f64,
    pub(super) load_ms: f64,
    pub(super) full_speed_loads: usize,
    pub(super) long_per_s: f64,
    pub(super) long_target_ms: f64,
    pub(super) short_per_s: f64,
    pub(super) short_target_ms: f64,
    /// Factor on all rates; 0 counts as 1.
    pub(super) rate_factor: f64,
    /// Factor on the rate of long prompts during the burst; 0 counts as 1.
    pub(super) burst_factor: f64,
    pub(super) is_third_lost: bool,
}

/// Result of a day.
#[derive(Debug, Clone, Default)]
pub(super) struct Outcome {
    label: String,
    requests: f64,
    old: f64,
    late: f64,
    waits_ms: Vec<f64>,
    credit: f64,
    cut: u32,
    busy_ms: f64,
    engine_ms: f64,
    unavailable_ms: f64,
    changing_ms: f64,
    changed_s: Vec<String>,
    /// All steps with their times.
    pub(super) steps: Vec<(u64, Step)>,
}

impl Outcome {
    /// Returns the share of the credit that was lost.
    pub(super) fn lost(&self) -> f64 {
        1.0 - self.credit / self.requests
    }

    /// Returns the share of the credit that was lost to replaced weights.
    pub(super) fn old_cost(&self) -> f64 {
        0.2 * self.old / self.requests
    }
}

impl Outcome {
    fn p99_ms(&self) -> u64 {
        let mut waits_ms = self.waits_ms.clone();
        waits_ms.sort_by(f64::total_cmp);
        waits_ms[waits_ms.len() * 99 / 100] as u64
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {:.3}  {:.3}  {:.3}  {:>6}  {:>8.2}  {:>11.1}  {:<16}  {:>3}",
            self.label,
            self.lost(),
            self.old / self.requests,
            self.late / self.requests,
            self.p99_ms(),
            self.busy_ms / self.engine_ms,
            self.unavailable_ms / self.changing_ms.max(1.0),
            self.changed_s.join(" "),
            self.cut,
        )
    }
}

/// A day in progress.
struct Play<'a> {
    day: &'a Day,
    engines: Vec<Engine>,
    planner: Planner,
    random: SmallRng,
    outcome: Outcome,
    newest: u64,
    published_ms: u64,
}

fn factor(value: f64) -> f64 {
    if value == 0.0 { 1.0 } else { value }
}

impl Day {
    pub(super) fn run(&self, planner: Planner) -> Outcome {
        let engine = Engine {
            parts: u64::MAX,
            version: 1,
            known_version: 1,
            ..Engine::default()
        };
        let label = format!("{:<12} {:<15} {:<14}", self.name, self.kind, planner.name);
        let mut play = Play {
            day: self,
            engines: vec![engine; self.engines],
            planner,
            random: SmallRng::seed_from_u64(7),
            outcome: Outcome {
                label,
                ..Outcome::default()
            },
            newest: 1,
            published_ms: 0,
        };
        for now_ms in (0..DAY_MS).step_by(TICK_MS as usize) {
            play.tick(now_ms);
        }
        play.outcome
    }
}

impl Play<'_> {
    fn tick(&mut self, now_ms: u64) {
        if PUBLISHED_MS.contains(&now_ms) {
            self.newest += 1;
            self.published_ms = now_ms;
        }
        if self.day.is_third_lost && now_ms == BURST_MS.0 + 1_000 {
            self.lose_third(now_ms);
        }
        self.finish_runs(now_ms);
        self.advance_loads(now_ms);
        if now_ms.is_multiple_of(HEARTBEAT_MS) {
            for engine in &mut self.engines {
                engine.report(self.day.tokens_per_ms, now_ms);
            }
        }
        if now_ms.is_multiple_of(POLL_MS) {
            for step in self
                .planner
                .steps(&self.engines, self.newest, self.day, now_ms)
            {
                self.apply(&step, now_ms);
                self.outcome.steps.push((now_ms, step));
            }
        }
        self.arrive(now_ms);
        self.count(now_ms);
    }

    fn lose_third(&mut self, now_ms: u64) {
        for index in (0..self.engines.len()).step_by(3) {
            self.engines[index].is_lost = true;
            for run in std::mem::take(&mut self.engines[index].runs) {
                self.displace(&run, now_ms);
            }
        }
    }

    /// Places a request whose engine was lost or cut it off. One whose first event has
    /// passed keeps its credit if it can be resumed; a lost long one has failed.
    fn displace(&mut self, run: &Run, now_ms: u64) {
        let has_begun = run.first_event_ms <= now_ms as f64;
        if run.is_long || !has_begun {
            self.outcome.credit -= run.credit;
        }
        if !run.is_long {
            self.place(
                run.is_long,
                run.tokens,
                f64::from(u8::from(!has_begun)),
                now_ms,
            );
        }
    }

    fn finish_runs(&mut self, now_ms: u64) {
        for engine in &mut self.engines {
            engine.runs.retain(|run| run.end_ms > now_ms as f64);
        }
    }

    fn advance_loads(&mut self, now_ms: u64) {
        let loading = self
            .engines
            .iter()
            .filter(|e| e.is_loading() && !e.is_lost)
            .count();
        let excess = loading as f64 / self.day.full_speed_loads as f64;
        let speed = excess.max(1.0).powf(-SLOWDOWN_EXPONENT);
        let alive = self.engines.iter().filter(|engine| !engine.is_lost).count();
        for engine in self.engines.iter_mut().filter(|engine| !engine.is_lost) {
            let Some((version, since_ms)) = engine.order else {
                continue;
            };
            if engine.is_loading() {
                engine.load_left_ms -= TICK_MS as f64 * speed;
                engine.concurrent = engine.concurrent.map(|most| most.max(loading));
                if engine.load_left_ms <= 0.0 {
                    (engine.version, engine.parts) = (version, 0);
                    let lag_ms = self.random.random_range(7..27) * TICK_MS;
                    engine.reported_ms = Some(now_ms + lag_ms);
                }
            }
            if engine
                .reported_ms
                .is_some_and(|reported_ms| now_ms >= reported_ms)
            {
                if let Some(concurrent) = engine.concurrent {
                    let load = FinishedLoad {
                        ordered_ms: since_ms,
                        ended_ms: now_ms,
                        concurrent,
                    };
                    self.planner.record_load(&load, alive);
                }
                engine.known_version = version;
                (engine.order, engine.paused_since_ms, engine.reported_ms) = (None, None, None);
            }
        }
        let is_changed = |engine: &Engine| engine.is_lost || engine.known_version == self.newest;
        let changed = self.outcome.changed_s.len() as u64 + 1;
        if changed < self.newest && self.engines.iter().all(is_changed) {
            let took_s = (now_ms - self.published_ms) as f64 / 1_000.0;
            while (self.outcome.changed_s.len() as u64) + 2 < self.newest {
                self.outcome.changed_s.push("-".to_owned());
            }
            self.outcome.changed_s.push(format!("{took_s:.1}"));
        }
    }

    fn apply(&mut self, step: &Step, now_ms: u64) {
        let index: usize = step.engine().parse().expect("engines are named by index");
        let engine = &mut self.engines[index];
        match step {
            Step::Pause(_) => engine.paused_since_ms = Some(now_ms),
            Step::Resume(_) => {
                (engine.paused_since_ms, engine.resumed_ms) = (None, now_ms);
            }
            Step::Order { cut, .. } => {
                engine.order = Some((self.newest, now_ms));
                engine.load_left_ms = self.day.load_ms;
                engine.concurrent = (*cut || engine.runs.is_empty()).then_some(1);
                if *cut {
                    engine.reads_until_ms = 0.0;
                    for run in std::mem::take(&mut engine.runs) {
                        self.outcome.cut += 1;
                        self.displace(&run, now_ms);
                    }
                }
            }
        }
    }

    fn arrive(&mut self, now_ms: u64) {
        let is_burst = (BURST_MS.0..BURST_MS.1).contains(&now_ms);
        let burst = if is_burst {
            factor(self.day.burst_factor)
        } else {
            1.0
        };
        let rate = factor(self.day.rate_factor);
        for (is_long, per_s) in [
            (true, self.day.long_per_s * rate * burst),
            (false, self.day.short_per_s * rate),
        ] {
            let mean = per_s * TICK_MS as f64 / 1_000.0;
            let parts = 20;
            for _ in 0..parts {
                if self.random.random_bool((mean / f64::from(parts)).min(1.0)) {
                    let tokens = if is_long {
                        2_890.0 + SHARED_TOKENS * REREAD_SHARE
                    } else {
                        700.0
                    };
                    self.outcome.requests += 1.0;
                    self.place(is_long, tokens, 1.0, now_ms);
                }
            }
        }
    }

    /// Sends a request to the cheaper one of two available engines.
    fn place(&mut self, is_long: bool, tokens: f64, credit: f64, now_ms: u64) {
        let is_overdue = now_ms >= self.published_ms + self.planner.weights.penalty_after_ms;
        let mut usable: Vec<usize> = (0..self.engines.len())
            .filter(|index| self.engines[*index].is_available(now_ms))
            .collect();
        if usable.is_empty() {
            usable = (0..self.engines.len())
                .filter(|index| !self.engines[*index].is_lost)
                .collect();
        }
        let cost = |index: &usize| {
            let engine = &self.engines[*index];
            let old = match (engine.known_version < self.newest, is_overdue) {
                (true, true) => 4_500.0,
                (true, false) => 500.0,
                (false, _) => 0.0,
            };
            let running = engine.runs.len() as f64;
            let full = if engine.runs.len() >= self.day.slots as usize {
                30_000.0
            } else {
                0.0
            };
            engine.unread_tokens(self.day.tokens_per_ms, now_ms)
                + running * (60.0 + 0.2 * tokens)
                + old
                + full
        };
        let sampled: Vec<usize> = usable
            .choose_multiple(&mut self.random, 2)
            .copied()
            .collect();
        let best = sampled.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
        let index = *best.expect("an engine is left");
        self.run_at(index, is_long, tokens, credit, now_ms);
    }

    fn run_at(&mut self, index: usize, is_long: bool, tokens: f64, credit: f64, now_ms: u64) {
        let day = self.day;
        let part = 1 << self.random.random_range(0..PARTS);
        let engine = &mut self.engines[index];
        let is_unread = is_long && engine.parts & part == 0;
        engine.parts |= if is_long { part } else { 0 };
        let unread_tokens = tokens
            + if is_unread {
                SHARED_TOKENS * FETCH_SHARE
            } else {
                0.0
            };
        let read_ms = unread_tokens / day.tokens_per_ms;
        let starts_ms = engine.reads_until_ms.max(now_ms as f64);
        engine.reads_until_ms = starts_ms + read_ms;
        let (target_ms, events) = match is_long {
            true => (day.long_target_ms, 8.0),
            false => (day.short_target_ms, 40.0),
        };
        let first_event_ms = starts_ms + read_ms;
        self.outcome.waits_ms.push(first_event_ms - now_ms as f64);
        let is_late = first_event_ms - now_ms as f64 > target_ms;
        let is_old =
            engine.version < self.newest && starts_ms >= (self.published_ms + 1_500) as f64;
        self.outcome.late += f64::from(u8::from(is_late));
        self.outcome.old += f64::from(u8::from(is_old));
        let worth = if is_late { 0.55 } else { 1.0 } * if is_old { 0.8 } else { 1.0 };
        let credit = credit * worth;
        self.outcome.credit += credit;
        self.outcome.busy_ms += read_ms;
        engine.runs.push(Run {
            first_event_ms,
            end_ms: first_event_ms + events * day.step_ms * (1.0 + engine.runs.len() as f64 * 0.05),
            tokens,
            is_long,
            credit,
        });
    }

    fn count(&mut self, now_ms: u64) {
        let alive = self.engines.iter().filter(|engine| !engine.is_lost);
        self.outcome.engine_ms += alive.clone().count() as f64 * TICK_MS as f64;
        let is_changing = alive
            .clone()
            .any(|engine| engine.known_version < self.newest);
        if now_ms > 0 && is_changing {
            let unavailable = alive.filter(|engine| !engine.is_available(now_ms)).count();
            self.outcome.unavailable_ms += unavailable as f64 * TICK_MS as f64;
            self.outcome.changing_ms += TICK_MS as f64;
        }
    }
}
