//! Share of the requests that engines with a model get while they are slow, in a fleet of 89
//! instances that know each other's work 200 ms late.

use {
    mangowalk_core::{
        capacity::{PaceReport, PaceSettings},
        pool::{
            ChoiceSettings, EngineEntry, EngineRequirements, Incarnation, KnownEngine, Load,
            ModelVersion, PromptPart, choose,
        },
        weights::VersionBounds,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{collections::VecDeque, ops::Range},
};

const INSTANCES: usize = 89;
const ENGINES: usize = 60;
const REQUESTS_PER_S: f64 = 386.0;
const TOKENS_PER_MS: f64 = 74.8;
const PROMPT_TOKENS: u32 = 1_600;
const ANSWER_MS: f64 = 160.0;
const REPORT_MS: u64 = 20;
const TELL_INTERVAL_MS: u64 = 20;
const TOLD_AFTER: usize = 10;

/// The engines that are slow, by their numbers, how slow, and when.
const SLOW_ENGINES: usize = 6;
const SLOWDOWN: f64 = 3.0;
const SLOW_MS: Range<u64> = 4_000..8_000;
const END_MS: u64 = 12_000;

struct Run {
    instance: usize,
    first_event_ms: f64,
    end_ms: f64,
    is_read: bool,
}

struct Fleet {
    known: Vec<Vec<KnownEngine>>,
    runs: Vec<Vec<Run>>,
    read_until_ms: Vec<f64>,
    told_loads: VecDeque<Vec<Vec<Load>>>,
    reports: VecDeque<(u64, PaceReport)>,
    /// Time and engine of each request.
    sent: Vec<(u64, usize)>,
}

fn entry(number: usize) -> EngineEntry {
    EngineEntry {
        incarnation: Incarnation {
            id: format!("e{number}"),
            born_ms: 1,
        },
        revision: 1,
        service: "llm".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: "a".to_owned(),
        slots: 32,
        draining: false,
        models: vec![ModelVersion {
            model: "model".to_owned(),
            version: 1,
        }],
        cold_left_ms: 0,
        software: String::new(),
    }
}

fn slowdown(engine: usize, now_ms: u64) -> f64 {
    let is_slow = engine < SLOW_ENGINES && SLOW_MS.contains(&now_ms);
    if is_slow { SLOWDOWN } else { 1.0 }
}

impl Fleet {
    fn new() -> Fleet {
        let engines = || (0..ENGINES).map(|number| KnownEngine::new(entry(number)));
        Fleet {
            known: (0..INSTANCES).map(|_| engines().collect()).collect(),
            runs: (0..ENGINES).map(|_| Vec::new()).collect(),
            read_until_ms: vec![0.0; ENGINES],
            told_loads: VecDeque::new(),
            reports: VecDeque::new(),
            sent: Vec::new(),
        }
    }

    fn send(&mut self, now_ms: u64, random: &mut SmallRng) {
        let instance = random.random_range(0..INSTANCES);
        let requirements = EngineRequirements {
            service: "llm".to_owned(),
            model: Some("model".to_owned()),
            memory_tokens: u64::from(PROMPT_TOKENS),
            prompt_tokens: u64::from(PROMPT_TOKENS),
            parts: vec![PromptPart {
                id: random.random(),
                tokens: PROMPT_TOKENS,
            }],
            isolation_salt: 0,
            domain: "a".to_owned(),
        };
        let chosen = choose(
            self.known[instance].iter(),
            &requirements,
            VersionBounds::default(),
            110_615,
            &ChoiceSettings::default(),
            random.random(),
            now_ms,
        );
        let chosen = chosen.expect("all engines accept work");
        let mut known = self.known[instance].iter();
        let engine = known.position(|known| std::ptr::eq(known, chosen));
        let engine = engine.expect("it is one of them");
        self.sent.push((now_ms, engine));
        self.known[instance][engine].own.add(load());
        let slowdown = slowdown(engine, now_ms);
        let begin_ms = self.read_until_ms[engine].max(now_ms as f64);
        let first_event_ms = begin_ms + f64::from(PROMPT_TOKENS) / TOKENS_PER_MS * slowdown;
        self.read_until_ms[engine] = first_event_ms;
        self.runs[engine].push(Run {
            instance,
            first_event_ms,
            end_ms: first_event_ms + ANSWER_MS * slowdown,
            is_read: false,
        });
    }

    fn run_engine(&mut self, engine: usize, now_ms: u64) {
        let settings = PaceSettings::default();
        let pace_percent = (slowdown(engine, now_ms) * 100.0) as u32;
        for run in &mut self.runs[engine] {
            let known = &mut self.known[run.instance][engine];
            if !run.is_read && run.first_event_ms <= now_ms as f64 {
                run.is_read = true;
                known.own.prefill_tokens -= PROMPT_TOKENS;
                if let Some(pace_percent) = known.pace.record(pace_percent, &settings, now_ms) {
                    let report = PaceReport {
                        start: engine as u32,
                        pace_percent,
                        age_ms: 0,
                    };
                    self.reports.push_back((now_ms + REPORT_MS, report));
                }
            }
            if run.end_ms <= now_ms as f64 {
                known.own.requests -= 1;
                known.own.memory_tokens -= PROMPT_TOKENS;
            }
        }
        self.runs[engine].retain(|run| run.end_ms > now_ms as f64);
    }

    fn deliver_reports(&mut self, now_ms: u64) {
        while let Some((_, report)) = self.reports.front().filter(|(at_ms, _)| *at_ms <= now_ms) {
            for known in &mut self.known {
                let pace = &mut known[report.start as usize].pace;
                pace.apply_report(report, &PaceSettings::default(), now_ms);
            }
            self.reports.pop_front();
        }
    }

    fn deliver_loads(&mut self) {
        let own = |known: &Vec<KnownEngine>| known.iter().map(|engine| engine.own).collect();
        self.told_loads
            .push_back(self.known.iter().map(own).collect());
        if self.told_loads.len() <= TOLD_AFTER {
            return;
        }
        let told = self.told_loads.pop_front().unwrap_or_default();
        for engine in 0..ENGINES {
            let mut all = Load::default();
            told.iter().for_each(|loads| all.add(loads[engine]));
            for (known, loads) in self.known.iter_mut().zip(&told) {
                known[engine].others = all;
                known[engine].others.remove(loads[engine]);
            }
        }
    }

    /// Returns the share of the requests of a time that went to the engines that are slow for a
    /// while.
    fn share(&self, at_ms: Range<u64>) -> f64 {
        let sent = self
            .sent
            .iter()
            .filter(|(sent_ms, _)| at_ms.contains(sent_ms));
        let to_slow = sent.clone().filter(|(_, engine)| *engine < SLOW_ENGINES);
        to_slow.count() as f64 / sent.count() as f64
    }
}

fn load() -> Load {
    Load {
        requests: 1,
        memory_tokens: PROMPT_TOKENS,
        prefill_tokens: PROMPT_TOKENS,
        must_finish: 0,
    }
}

/// Guards against slow engines that get as much work as others, that get none and so stay
/// unknown, and that don't get their former share within a second when they are as fast as usual.
#[test]
fn slow_engines_get_a_reduced_share_within_a_second() {
    let mut random = SmallRng::seed_from_u64(5);
    let mut fleet = Fleet::new();
    for now_ms in 0..END_MS {
        (0..ENGINES).for_each(|engine| fleet.run_engine(engine, now_ms));
        fleet.deliver_reports(now_ms);
        if now_ms.is_multiple_of(TELL_INTERVAL_MS) {
            fleet.deliver_loads();
        }
        if random.random_bool(REQUESTS_PER_S / 1_000.0) {
            fleet.send(now_ms, &mut random);
        }
    }
    let before = fleet.share(1_000..SLOW_MS.start);
    let slow = fleet.share(SLOW_MS.start + 1_000..SLOW_MS.end);
    let after = fleet.share(SLOW_MS.end + 1_000..END_MS);
    assert!((0.08..0.12).contains(&before), "{before} {slow} {after}");
    assert!((0.005..0.05).contains(&slow), "{before} {slow} {after}");
    assert!((0.08..0.12).contains(&after), "{before} {slow} {after}");
}
