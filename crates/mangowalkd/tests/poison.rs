//! A request that crashes each engine that runs it, and that is retried.

use {
    mangowalk_standins::{
        Answer, EngineFaults, EngineSettings, Fleet, FleetSettings, RouterProcess,
    },
    std::{thread, time::Duration},
};

const ENGINES: usize = 9;
const ROUTERS: usize = 3;
const ANSWER_TOKENS: u32 = 200;
const CRASHING_PROMPT: &str = "a prompt that crashes engines";

/// Time in which routers discover all engines.
const ENGINE_DISCOVERY_TIME: Duration = Duration::from_millis(2_500);

fn fleet() -> Fleet {
    let fleet = Fleet::start(&FleetSettings {
        program: env!("CARGO_BIN_EXE_mangowalkd").to_owned(),
        routers: ROUTERS,
        engines: ENGINES,
        engine: EngineSettings {
            slots: 32,
            token_us: 8_000,
            ..EngineSettings::default()
        },
        tokens_per_s: 10_000_000,
        burst_tokens: 10_000_000,
        ..FleetSettings::default()
    });
    thread::sleep(ENGINE_DISCOVERY_TIME);
    wait_for_peers(&fleet);
    for engine in &fleet.engines {
        engine.set_faults(EngineFaults {
            crash_on: Some(CRASHING_PROMPT.to_owned()),
            ..EngineFaults::default()
        });
    }
    fleet
}

/// Waits until each router lists the addresses of all routers to callers.
fn wait_for_peers(fleet: &Fleet) {
    let knows_all = |router: &RouterProcess| {
        let addresses = Answer::get(router.address(), "/v1/addresses", &[]).body;
        let mut all = fleet.routers.iter();
        all.all(|other| addresses.contains(&other.address().to_string()))
    };
    for _ in 0..200 {
        if fleet.routers.iter().all(knows_all) {
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
    panic!("the routers do not know each other");
}

fn crashes(fleet: &Fleet) -> u64 {
    fleet.engines.iter().map(|engine| engine.crashes()).sum()
}

fn send_crashing_request(fleet: &Fleet, router: usize) -> Answer {
    fleet.chat(router, CRASHING_PROMPT, 20, false)
}

/// Sends the request to each router in turn until one refuses it as the cause
/// of crashes.
fn send_until_refused(fleet: &Fleet) -> Answer {
    let mut answer = Answer::default();
    for i in 0..12 {
        answer = send_crashing_request(fleet, i % ROUTERS);
        if answer.status == 422 {
            break;
        }
        thread::sleep(Duration::from_millis(100));
    }
    answer
}

/// A caller sends a request that crashes engines, and retries it at other
/// routers. Each router also counts the crashes that the others report, so only
/// three engines crash in total, and then every router refuses the request
/// immediately.
#[test]
fn a_request_that_crashes_engines_is_refused_after_three_crashes() {
    let fleet = fleet();
    let refused = send_until_refused(&fleet);
    assert_eq!(refused.status, 422, "{}", refused.body);
    assert_eq!(crashes(&fleet), 3);
    for router in 0..ROUTERS {
        let again = send_crashing_request(&fleet, router);
        assert_eq!(again.status, 422, "{}", again.body);
        assert_eq!(again.header("x-mangowalk-outcome"), Some("not_run"));
    }
    assert_eq!(crashes(&fleet), 3);
}

/// Callers stream long answers from all engines while one sends a request that
/// crashes three of them. The interrupted answers resume on other engines and
/// complete, and retries of these requests are served: a crash is attributed
/// only to the most suspect request.
#[test]
fn other_requests_on_crashed_engines_complete() {
    let fleet = fleet();
    let prompts: Vec<String> = (0..18).map(|i| format!("innocent {i}")).collect();
    let answers: Vec<Answer> = thread::scope(|scope| {
        let callers: Vec<_> = prompts
            .iter()
            .enumerate()
            .map(|(i, prompt)| {
                let fleet = &fleet;
                scope.spawn(move || fleet.chat(i % ROUTERS, prompt, ANSWER_TOKENS, true))
            })
            .collect();
        thread::sleep(Duration::from_millis(200));
        assert_eq!(send_until_refused(&fleet).status, 422);
        callers
            .into_iter()
            .map(|caller| caller.join().unwrap_or_default())
            .collect()
    });
    for (prompt, answer) in prompts.iter().zip(&answers) {
        let end: String = answer.body.chars().rev().take(300).collect();
        let end: String = end.chars().rev().collect();
        assert!(answer.is_done(), "{prompt}: {end}");
        assert_eq!(
            answer.streamed_text(),
            Fleet::expected(prompt, u64::from(ANSWER_TOKENS))
        );
    }
    assert_eq!(crashes(&fleet), 3);
    for (i, prompt) in prompts.iter().enumerate() {
        assert_eq!(fleet.chat(i % ROUTERS, prompt, 20, false).status, 200);
    }
}

/// Guards against prompts that differ at their ends and share a beginning which crashes
/// engines: crashes are counted by request, so they never add up.
#[test]
fn prompts_with_a_beginning_that_crashes_engines_are_refused() {
    const CRASHES_TO_KNOW: u64 = 5;
    const LATE_REQUESTS: u64 = 3;
    let fleet = fleet();
    let beginning = format!("{CRASHING_PROMPT} {}", "and is shared ".repeat(60));
    let statuses: Vec<u16> = (0..16)
        .map(|i| {
            thread::sleep(Duration::from_millis(100));
            let prompt = format!("{beginning}{i}");
            fleet.chat(i % ROUTERS, &prompt, 20, false).status
        })
        .collect();
    let crashes = crashes(&fleet);
    assert!(
        crashes <= CRASHES_TO_KNOW + LATE_REQUESTS,
        "{crashes} crashes; {statuses:?}"
    );
}
