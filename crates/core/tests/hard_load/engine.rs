use {super::kind::Kind, mangowalk_core::pool::Load, std::collections::VecDeque};

/// Prompt tokens that an engine reads per ms, and at most in one step.
pub(crate) const TOKENS_PER_MS: f64 = 74.8;
const CHUNK_TOKENS: u32 = 2_048;

/// Duration of a step without prompts to read.
const STEP_MS: f64 = 4.84;

/// Requests that an engine runs at once; others wait there, the most urgent first.
pub(crate) const SLOTS: usize = 32;

/// Memory of an engine, and the shared parts that it keeps besides running requests.
pub(crate) const MEMORY_TOKENS: u64 = 110_615;
const MEMORY_PARTS: usize = 6;

/// A request at an engine.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) instance: usize,
    pub(crate) kind: Kind,
    pub(crate) session: u64,
    pub(crate) arrived_ms: f64,
    /// Whether its caller was refused and came back.
    pub(crate) has_returned: bool,
    pub(crate) load: Load,
    pub(crate) unread: u32,
    pub(crate) answer_left: u32,
    pub(crate) first_token_ms: Option<f64>,
}

/// What an engine reports at the end of a step.
pub(crate) enum Report {
    /// The prompt of a request was read; it had this many tokens.
    Read { instance: usize, tokens: u32 },
    /// A request has ended.
    Ended(Box<Run>),
}

/// An engine that reads prompts in pieces between the tokens of running requests.
#[derive(Debug, Default)]
pub(crate) struct Engine {
    busy_until_ms: f64,
    waiting: Vec<Run>,
    running: Vec<Run>,
    parts: VecDeque<u64>,
}

impl Engine {
    /// Takes a request, of whose prompt it reads what it hasn't cached.
    pub(crate) fn accept(&mut self, mut run: Run) {
        let is_cached = self.parts.contains(&run.session);
        let shared_tokens = if is_cached { 0 } else { run.kind.shared_tokens };
        run.unread = run.kind.own_tokens + shared_tokens;
        self.parts.retain(|part| *part != run.session);
        self.parts.push_back(run.session);
        let long_parts = if run.kind.is_first { 0 } else { MEMORY_PARTS };
        if run.kind.is_first {
            // Short parts need hardly any memory.
            self.parts.pop_back();
        } else if self.parts.len() > long_parts {
            self.parts.pop_front();
        }
        self.waiting.push(run);
    }

    /// Runs the next step if the engine is idle and has work, and returns what changes by it.
    pub(crate) fn step(&mut self, now_ms: f64) -> Vec<Report> {
        if self.busy_until_ms > now_ms {
            return Vec::new();
        }
        while self.running.len() < SLOTS && !self.waiting.is_empty() {
            let urgent = self.waiting.iter().position(|run| run.kind.is_first);
            self.running.push(self.waiting.remove(urgent.unwrap_or(0)));
        }
        if self.running.is_empty() {
            return Vec::new();
        }
        let mut chunk = CHUNK_TOKENS;
        for run in &mut self.running {
            let read = run.unread.min(chunk);
            run.unread -= read;
            chunk -= read;
        }
        let until_ms = now_ms + STEP_MS + f64::from(CHUNK_TOKENS - chunk) / TOKENS_PER_MS;
        self.busy_until_ms = until_ms;
        let mut reports = Vec::new();
        for run in self.running.iter_mut().filter(|run| run.unread == 0) {
            run.answer_left -= 1;
            if run.first_token_ms.is_none() {
                run.first_token_ms = Some(until_ms);
                reports.push(Report::Read {
                    instance: run.instance,
                    tokens: run.load.prefill_tokens,
                });
                run.load.prefill_tokens = 0;
            }
        }
        let is_over = |run: &mut Run| {
            run.answer_left == 0 || until_ms > run.arrived_ms + run.kind.deadline_ms as f64
        };
        let running = self.running.extract_if(.., is_over);
        reports.extend(running.map(|run| Report::Ended(Box::new(run))));
        let waiting = self.waiting.extract_if(.., is_over);
        reports.extend(waiting.map(|run| Report::Ended(Box::new(run))));
        reports
    }
}
