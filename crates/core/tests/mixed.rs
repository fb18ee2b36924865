//! What callers get while long prompts and short streams share engines.
//!
//! A small model of engines that read prompts in pieces between the tokens of
//! what runs there: while a long prompt is read, every stream on its engine
//! gets a token only after each piece. Six instances choose by what they have
//! sent themselves and what the others told up to 200 ms before.

mod support;

use {
    mangowalk_core::{
        pool::{
            AdmitSettings, Belief, ChoiceSettings, Load, Need, PromptPart, ReadRate, UsualPrompt,
            choose, refuse,
        },
        weights::VersionBounds,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::collections::VecDeque,
    support::{entry, exchange},
};

const INSTANCES: usize = 6;
const ENGINES: usize = 6;

/// Tokens that an engine reads in a millisecond, and in one piece.
const RATE: f64 = 37.9;
const PIECE: u32 = 2_048;

/// Time of a step of an engine that reads nothing, and what each request adds.
const STEP_MS: f64 = 4.63;
const STEP_MS_A_REQUEST: f64 = 0.15;

/// Long parts that an engine's memory holds beside what runs.
const MEMORY_PARTS: usize = 4;
const MEMORY_TOKENS: u64 = 150_000;

/// Time that is played.
const PLAYED_MS: u64 = 15_000;

/// One kind of request.
struct Kind {
    sessions: u64,
    shared_tokens: u32,
    own_tokens: u32,
    most_answer_tokens: u32,
    target_ms: f64,
    deadline_ms: f64,
    per_s: f64,
    is_first: bool,
}

const LONG: Kind = Kind {
    sessions: 55,
    shared_tokens: 13_300,
    own_tokens: 3_700,
    most_answer_tokens: 60,
    target_ms: 1_000.0,
    deadline_ms: 10_000.0,
    per_s: 11.0,
    is_first: false,
};

const SHORT: Kind = Kind {
    sessions: 600,
    shared_tokens: 90,
    own_tokens: 290,
    most_answer_tokens: 180,
    target_ms: 500.0,
    deadline_ms: 5_000.0,
    per_s: 110.0,
    is_first: true,
};

/// A request at an engine.
struct Run {
    at: usize,
    load: Load,
    unread: u32,
    answer_left: u32,
    asked_ms: f64,
    begun_ms: Option<f64>,
    is_long: bool,
}

#[derive(Default)]
struct Engine {
    busy_until_ms: f64,
    runs: Vec<Run>,
    parts: VecDeque<u64>,
}

/// What callers of one kind got.
#[derive(Debug, Default, Clone, Copy)]
struct Got {
    asked: f64,
    on_time: f64,
    refused: f64,
    failed: f64,
}

fn need(kind: &Kind, session: u64, own: u64) -> Need {
    let part = |id, tokens| PromptPart { id, tokens };
    let prompt_tokens = u64::from(kind.shared_tokens + kind.own_tokens);
    Need {
        service: "llm".to_owned(),
        model: Some("model".to_owned()),
        memory_tokens: prompt_tokens + u64::from(kind.most_answer_tokens),
        prompt_tokens,
        parts: vec![
            part(session, kind.shared_tokens),
            part(own + 1_000_000, kind.own_tokens),
        ],
        wall: 0,
        domain: "a".to_owned(),
    }
}

struct Fleet {
    engines: Vec<Engine>,
    beliefs: Vec<Vec<Belief>>,
    usual: UsualPrompt,
    choice: ChoiceSettings,
    got: [Got; 2],
}

impl Fleet {
    fn new(choice: ChoiceSettings) -> Fleet {
        let beliefs = || (0..ENGINES).map(|n| Belief::new(entry(n, 64))).collect();
        Fleet {
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            beliefs: (0..INSTANCES).map(|_| beliefs()).collect(),
            usual: UsualPrompt::default(),
            choice,
            got: [Got::default(); 2],
        }
    }

    /// Sends one request where the instance that got it wants it.
    fn send(&mut self, kind: &Kind, now_ms: u64, random: &mut SmallRng) {
        let is_long = !kind.is_first;
        let at = random.random_range(0..INSTANCES);
        let session = random.random_range(0..kind.sessions) + if is_long { 10_000 } else { 0 };
        let need = need(kind, session, now_ms);
        self.usual.note(need.prompt_tokens);
        let got = &mut self.got[usize::from(is_long)];
        got.asked += 1.0;
        let settings = ChoiceSettings {
            sample: self.usual.looks(self.choice.sample, need.prompt_tokens),
            ..self.choice
        };
        let all = self.beliefs[at].iter();
        let (wanted, draw) = (VersionBounds::default(), random.random());
        let best = choose(all, &need, wanted, MEMORY_TOKENS, &settings, draw, now_ms);
        let best = best.expect("all engines take work");
        let (rate, admit) = (ReadRate::default(), AdmitSettings::default());
        let own_tokens = u64::from(kind.own_tokens);
        let target_ms = kind.target_ms as u64;
        if refuse(best, &rate, &admit, own_tokens, target_ms, kind.is_first).is_some() {
            got.refused += 1.0;
            return;
        }
        let mut beliefs = self.beliefs[at].iter();
        let chosen = beliefs.position(|belief| std::ptr::eq(belief, best));
        let chosen = chosen.expect("it is one of them");
        let is_kept = self.engines[chosen].parts.contains(&session);
        let unread = kind.own_tokens + if is_kept { 0 } else { kind.shared_tokens };
        let load = Load {
            requests: 1,
            memory_tokens: need.memory_tokens as u32,
            prefill_tokens: unread,
            must_finish: 0,
        };
        self.beliefs[at][chosen].own.add(load);
        for belief in &mut self.beliefs {
            belief[chosen].record_part(session, now_ms);
        }
        let engine = &mut self.engines[chosen];
        if is_long {
            engine.parts.retain(|part| *part != session);
            engine.parts.push_back(session);
            if engine.parts.len() > MEMORY_PARTS {
                engine.parts.pop_front();
            }
        }
        // Half of the answers are short, a few as long as they may be.
        let length: f64 = random.random();
        engine.runs.push(Run {
            at,
            load,
            unread,
            answer_left: 1 + (f64::from(kind.most_answer_tokens) * length.powi(3)) as u32,
            asked_ms: now_ms as f64,
            begun_ms: None,
            is_long,
        });
    }

    /// Lets an engine take its next step.
    fn step(&mut self, engine: usize, now_ms: f64) {
        let Engine {
            busy_until_ms,
            runs,
            ..
        } = &mut self.engines[engine];
        if runs.is_empty() || *busy_until_ms > now_ms {
            return;
        }
        let mut piece = PIECE;
        for run in runs.iter_mut() {
            let read = run.unread.min(piece);
            run.unread -= read;
            piece -= read;
        }
        let read_ms = f64::from(PIECE - piece) / RATE;
        *busy_until_ms = now_ms + STEP_MS + STEP_MS_A_REQUEST * runs.len() as f64 + read_ms;
        let until_ms = *busy_until_ms;
        for run in runs.iter_mut().filter(|run| run.unread == 0) {
            run.answer_left -= 1;
            if run.begun_ms.is_none() {
                run.begun_ms = Some(until_ms);
                let own = &mut self.beliefs[run.at][engine].own;
                own.prefill_tokens -= run.load.prefill_tokens;
                run.load.prefill_tokens = 0;
            }
        }
        for run in runs.extract_if(.., |run| {
            let kind = if run.is_long { &LONG } else { &SHORT };
            run.answer_left == 0 || until_ms > run.asked_ms + kind.deadline_ms
        }) {
            self.beliefs[run.at][engine].own.remove(run.load);
            let kind = if run.is_long { &LONG } else { &SHORT };
            let got = &mut self.got[usize::from(run.is_long)];
            let begun_ms = run.begun_ms.unwrap_or(f64::MAX);
            if run.answer_left > 0 {
                got.failed += 1.0;
            } else if begun_ms <= run.asked_ms + kind.target_ms {
                got.on_time += 1.0;
            }
        }
    }
}

/// Returns what callers of short and of long prompts got, as parts of what was
/// asked, as a mean of five seeds.
fn play(choice: ChoiceSettings) -> [Got; 2] {
    play_at(choice, 1.0)
}

/// Returns the same where so many times the usual comes.
fn play_at(choice: ChoiceSettings, times: f64) -> [Got; 2] {
    let mut sum = [Got::default(); 2];
    for seed in 1..=5 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(choice);
        for now_ms in 0..PLAYED_MS {
            if now_ms % 200 == 0 {
                exchange(&mut fleet.beliefs);
            }
            (0..ENGINES).for_each(|engine| fleet.step(engine, now_ms as f64));
            for kind in [&LONG, &SHORT] {
                if random.random_bool(times * kind.per_s / 1_000.0) {
                    fleet.send(kind, now_ms, &mut random);
                }
            }
        }
        for (sum, got) in sum.iter_mut().zip(fleet.got) {
            sum.asked += got.asked;
            sum.on_time += got.on_time;
            sum.refused += got.refused;
            sum.failed += got.failed;
        }
    }
    sum.map(|got| Got {
        asked: got.asked,
        on_time: got.on_time / got.asked,
        refused: got.refused / got.asked,
        failed: got.failed / got.asked,
    })
}

/// Short requests share six engines with scripts of 17,000 tokens, nearly as
/// many as the engines can read. With long prompts spread evenly each step of
/// each engine reads a piece of one, and an answer of a hundred tokens takes
/// longer than its caller waits. Kept together, they leave engines to the
/// others. Without and with it, means of five seeds: short ones on time 0.47
/// and 0.85, never finished 0.123 and 0.009; long ones on time 0.52 and 0.61.
#[test]
fn short_streams_do_not_crawl_behind_long_prompts() {
    let [short, long] = play(ChoiceSettings::default());
    let [spread_short, spread_long] = play(ChoiceSettings {
        delay_part: 0.0,
        ..ChoiceSettings::default()
    });
    assert!(short.on_time > 0.75, "{short:?}");
    assert!(short.failed < 0.03, "{short:?}");
    assert!(
        spread_short.failed > 3.0 * short.failed,
        "{spread_short:?} {short:?}"
    );
    assert!(
        long.on_time > spread_long.on_time,
        "{long:?} {spread_long:?}"
    );
}

/// With room for all, nothing is refused and hardly anything fails.
#[test]
fn a_calm_mix_is_served_whole() {
    let calm = |kind: &Got| kind.refused < 0.005 && kind.failed < 0.005;
    let got = play_at(ChoiceSettings::default(), 0.4);
    assert!(got.iter().all(calm), "{got:?}");
    assert!(got.iter().all(|kind| kind.on_time > 0.9), "{got:?}");
}
