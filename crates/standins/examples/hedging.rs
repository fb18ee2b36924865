//! Measures the benefit of hedging: a second copy of a slow request.
//!
//! The queue model covers prefills only: 16 engines compute one prefill at a
//! time, a prefix is cached on one of them, and each engine stalls for 2 s about
//! once a minute. A request is sent to the engine that caches its prefix. Once
//! the request has waited for some time, a copy is sent to the engine with the
//! least work, or the request itself is moved there and gives up its place in
//! the queue; the latter either unconditionally or only if all streams of its
//! engine have stalled. Copies and moves are limited to a tenth of the traffic.
//! What a copy computes after the other one has answered is wasted. The table
//! goes to docs/upstreams.md.

use {
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
    },
};

const ENGINES: usize = 16;
const REQUESTS: usize = 60_000;
const SEEDS: u64 = 5;
/// Prefill time of a request whose prefix is cached on its engine.
const HIT_MS: f64 = 30.0;
/// Prefill time of any other request, and of every copied or moved one.
const MISS_MS: f64 = 400.0;

/// Share of requests whose prefix is not cached on any engine.
const NEW_SHARE: f64 = 0.15;

const STALL_MS: f64 = 2_000.0;
/// Mean time between two stalls of an engine.
const STALL_EVERY_MS: f64 = 60_000.0;

/// Interval at which a waiting request checks whether its engine is stalled.
const SILENCE_CHECK_INTERVAL_MS: f64 = 100.0;

/// Number of copies and moves that each request adds to the budget.
const BUDGET_PER_REQUEST: f64 = 0.1;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Strategy {
    /// Each request stays at its first engine.
    Never,
    /// A copy is sent after the wait.
    Copy { after_ms: f64 },
    /// The request is moved after the wait.
    Move { after_ms: f64 },
    /// The request is moved after the wait if its engine is stalled.
    MoveIfSilent { after_ms: f64 },
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    Arrive,
    Done(usize),
    Stall(usize),
    HedgeDue(usize),
}

#[derive(Debug, Clone, Default)]
struct Request {
    at_ms: f64,
    /// Engine that the request is sent to; it caches the prefix unless `is_new`.
    cached_on: usize,
    is_new: bool,
    first_ms: Option<f64>,
}

#[derive(Debug, Clone, Default)]
struct Engine {
    /// Requests and the time that each takes.
    queue: VecDeque<(usize, f64)>,
    computing: Option<(usize, f64)>,
    busy_until_ms: f64,
    /// End of the last stall.
    stall_end_ms: f64,
}

impl Engine {
    fn work_ms(&self) -> f64 {
        let computing = self.computing.map_or(0.0, |(_, takes_ms)| takes_ms);
        computing + self.queue.iter().map(|(_, takes_ms)| takes_ms).sum::<f64>()
    }
}

struct Model {
    strategy: Strategy,
    rng: SmallRng,
    mean_interarrival_ms: f64,
    now_ms: f64,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: Vec<Event>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    budget: f64,
    resent: usize,
    computed_ms: f64,
    wasted_ms: f64,
}

impl Model {
    fn new(strategy: Strategy, load: f64, seed: u64) -> Model {
        let mean_ms = (1.0 - NEW_SHARE) * HIT_MS + NEW_SHARE * MISS_MS;
        Model {
            strategy,
            rng: SmallRng::seed_from_u64(seed),
            mean_interarrival_ms: mean_ms / (load * ENGINES as f64),
            now_ms: 0.0,
            heap: BinaryHeap::new(),
            events: Vec::new(),
            engines: vec![Engine::default(); ENGINES],
            requests: Vec::new(),
            budget: 0.0,
            resent: 0,
            computed_ms: 0.0,
            wasted_ms: 0.0,
        }
    }

    fn schedule(&mut self, at_ms: f64, event: Event) {
        let number = self.events.len() as u64;
        self.events.push(event);
        self.heap.push(Reverse(((at_ms * 1_000.0) as u64, number)));
    }

    /// Draws an exponentially distributed time.
    fn exponential_ms(&mut self, mean_ms: f64) -> f64 {
        -mean_ms * (1.0 - self.rng.random::<f64>()).ln()
    }

    fn run(mut self) -> Model {
        self.schedule(0.0, Event::Arrive);
        for engine in 0..ENGINES {
            let at_ms = self.exponential_ms(STALL_EVERY_MS);
            self.schedule(at_ms, Event::Stall(engine));
        }
        while let Some(Reverse((at_us, number))) = self.heap.pop() {
            self.now_ms = at_us as f64 / 1_000.0;
            match self.events[number as usize] {
                Event::Arrive => self.arrive(),
                Event::Done(engine) => self.done(engine),
                Event::Stall(engine) => self.stall(engine),
                Event::HedgeDue(request) => self.hedge(request),
            }
            if self.requests.len() == REQUESTS
                && self
                    .requests
                    .iter()
                    .rev()
                    .take(2_000)
                    .all(|r| r.first_ms.is_some())
            {
                break;
            }
        }
        self
    }

    fn arrive(&mut self) {
        if self.requests.len() == REQUESTS {
            return;
        }
        let request = Request {
            at_ms: self.now_ms,
            cached_on: self.rng.random_range(0..ENGINES),
            is_new: self.rng.random::<f64>() < NEW_SHARE,
            first_ms: None,
        };
        let id = self.requests.len();
        let takes_ms = if request.is_new { MISS_MS } else { HIT_MS };
        let cached_on = request.cached_on;
        self.requests.push(request);
        self.budget = (self.budget + BUDGET_PER_REQUEST).min(20.0);
        self.send(id, cached_on, takes_ms);
        if let Strategy::Copy { after_ms }
        | Strategy::Move { after_ms }
        | Strategy::MoveIfSilent { after_ms } = self.strategy
        {
            self.schedule(self.now_ms + after_ms, Event::HedgeDue(id));
        }
        let next_ms = self.now_ms + self.exponential_ms(self.mean_interarrival_ms);
        self.schedule(next_ms, Event::Arrive);
    }

    fn send(&mut self, id: usize, engine: usize, takes_ms: f64) {
        self.engines[engine].queue.push_back((id, takes_ms));
        self.begin(engine);
    }

    fn begin(&mut self, engine: usize) {
        let now_ms = self.now_ms;
        let model = &mut self.engines[engine];
        if model.computing.is_some() {
            return;
        }
        let Some((id, takes_ms)) = model.queue.pop_front() else {
            return;
        };
        model.computing = Some((id, takes_ms));
        model.busy_until_ms = model.busy_until_ms.max(now_ms) + takes_ms;
        let at_ms = model.busy_until_ms;
        self.schedule(at_ms, Event::Done(engine));
    }

    /// Stalls an engine, which delays the end of its current prefill by
    /// `STALL_MS`. An idle engine starts no prefill before the stall ends.
    fn stall(&mut self, engine: usize) {
        let model = &mut self.engines[engine];
        model.busy_until_ms = model.busy_until_ms.max(self.now_ms) + STALL_MS;
        model.stall_end_ms = self.now_ms + STALL_MS;
        let next_ms = self.now_ms + STALL_MS + self.exponential_ms(STALL_EVERY_MS);
        self.schedule(next_ms, Event::Stall(engine));
    }

    fn done(&mut self, engine: usize) {
        let model = &mut self.engines[engine];
        if self.now_ms + 0.01 < model.busy_until_ms {
            let at_ms = model.busy_until_ms;
            return self.schedule(at_ms, Event::Done(engine));
        }
        let Some((id, takes_ms)) = model.computing.take() else {
            return;
        };
        self.computed_ms += takes_ms;
        let request = &mut self.requests[id];
        if request.first_ms.is_some() {
            self.wasted_ms += takes_ms;
        } else {
            request.first_ms = Some(self.now_ms - request.at_ms);
            for other in &mut self.engines {
                other.queue.retain(|(queued, _)| *queued != id);
            }
        }
        self.begin(engine);
    }

    /// Copies or moves a request that has waited, within the budget.
    fn hedge(&mut self, id: usize) {
        if self.requests[id].first_ms.is_some() || self.budget < 1.0 {
            return;
        }
        let cached_on = self.requests[id].cached_on;
        if let Strategy::MoveIfSilent { after_ms } = self.strategy {
            // The streams of an engine stall with it: the stall is detected
            // `after_ms` after its start, and until its end.
            let since_ms = self.engines[cached_on].stall_end_ms - STALL_MS;
            let is_silent = self.now_ms - since_ms >= after_ms && self.now_ms < since_ms + STALL_MS;
            if !is_silent {
                return self.schedule(self.now_ms + SILENCE_CHECK_INTERVAL_MS, Event::HedgeDue(id));
            }
        }
        self.budget -= 1.0;
        self.resent += 1;
        let least_loaded = (0..ENGINES)
            .filter(|engine| *engine != cached_on)
            .min_by(|a, b| {
                f64::total_cmp(&self.engines[*a].work_ms(), &self.engines[*b].work_ms())
            });
        if !matches!(self.strategy, Strategy::Copy { .. }) {
            self.engines[cached_on]
                .queue
                .retain(|(queued, _)| *queued != id);
        }
        if let Some(engine) = least_loaded {
            self.send(id, engine, MISS_MS);
        }
    }
}

fn main() {
    println!(
        "load  way                    median      p99    p99.9  sent again  work more  wasted"
    );
    let strategies = [
        Strategy::Never,
        Strategy::Copy { after_ms: 200.0 },
        Strategy::Copy { after_ms: 500.0 },
        Strategy::Copy { after_ms: 1_000.0 },
        Strategy::Move { after_ms: 500.0 },
        Strategy::Move { after_ms: 1_000.0 },
        Strategy::MoveIfSilent { after_ms: 500.0 },
        Strategy::MoveIfSilent { after_ms: 1_000.0 },
    ];
    for load in [0.3, 0.6, 0.8] {
        let mut baseline_ms = 0.0;
        for strategy in strategies {
            let runs: Vec<Model> = (0..SEEDS)
                .map(|seed| Model::new(strategy, load, seed).run())
                .collect();
            let computed_ms: f64 = runs.iter().map(|run| run.computed_ms).sum();
            if strategy == Strategy::Never {
                baseline_ms = computed_ms;
            }
            print_row(load, strategy, &runs, computed_ms / baseline_ms);
        }
    }
}

fn print_row(load: f64, strategy: Strategy, runs: &[Model], work: f64) {
    let mut times: Vec<f64> = runs
        .iter()
        .flat_map(|run| run.requests.iter().filter_map(|r| r.first_ms))
        .collect();
    times.sort_by(f64::total_cmp);
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    let resent: usize = runs.iter().map(|run| run.resent).sum();
    let wasted_ms: f64 = runs.iter().map(|run| run.wasted_ms).sum();
    let computed_ms: f64 = runs.iter().map(|run| run.computed_ms).sum();
    println!(
        "{load:>4}  {:<21} {:>6.0} ms {:>5.0} ms {:>5.0} ms {:>9.1} % {:>8.1} % {:>6.1} %",
        format!("{strategy:?}")
            .replace(" { after_ms:", "")
            .replace(" }", " ms"),
        at(0.5),
        at(0.99),
        at(0.999),
        100.0 * resent as f64 / times.len() as f64,
        100.0 * (work - 1.0),
        100.0 * wasted_ms / computed_ms,
    );
}
