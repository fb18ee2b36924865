//! Rates and bursts that several router processes share, under faults.

use {
    mangowalk_standins::{Answer, EngineSettings, Fleet, FleetSettings, PlatformFaults},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

const SLOTS: usize = 512;
const TOKENS_PER_S: u64 = 2_000;
const BURST_TOKENS: u64 = 3_000;
const MAX_TOKENS: u32 = 90;

/// Time in which an empty bucket refills to the full burst, with a margin.
const REFILL_TIME: Duration = Duration::from_millis(1_800);

fn fleet(routers: usize) -> Fleet {
    let fleet = Fleet::start(&FleetSettings {
        program: env!("CARGO_BIN_EXE_mangowalkd").to_owned(),
        routers,
        engine: EngineSettings {
            slots: 64,
            miss_us: 0,
            token_us: 0,
            ..EngineSettings::default()
        },
        tokens_per_s: TOKENS_PER_S,
        burst_tokens: BURST_TOKENS,
        ..FleetSettings::default()
    });
    wait_for_slots(&fleet);
    fleet
}

/// Waits until the routers hold all slots, none of them more than 9/8 of its
/// share.
fn wait_for_slots(fleet: &Fleet) {
    let max_slots = SLOTS.div_ceil(fleet.routers.len()) * 9 / 8;
    for _ in 0..300 {
        let held: Vec<usize> = (0..fleet.routers.len())
            .map(|router| slots_of(fleet, router))
            .collect();
        if held.iter().sum::<usize>() == SLOTS && held.iter().all(|held| *held <= max_slots) {
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
    panic!("the routers do not hold every slot");
}

fn slots_of(fleet: &Fleet, router: usize) -> usize {
    let holder = fleet.routers[router].address().to_string();
    let slots = fleet.platform.list("slot");
    slots
        .iter()
        .filter(|s| s.body["holder"] == holder.as_str())
        .count()
}

/// Sends requests to the routers in turn for the given time, and returns the
/// tokens of all answers.
fn spend(fleet: &Fleet, routers: &[usize], time: Duration) -> u64 {
    let started = Instant::now();
    let mut tokens = 0;
    for router in routers.iter().cycle() {
        if started.elapsed() > time {
            break;
        }
        tokens += tokens_of(&fleet.chat(*router, "Is walnut in stock?", MAX_TOKENS, false));
    }
    tokens
}

fn tokens_of(answer: &Answer) -> u64 {
    answer.json()["usage"]["total_tokens"]
        .as_u64()
        .unwrap_or_default()
}

/// Returns the maximum number of tokens that may have been granted since a
/// time.
fn max_granted_tokens(since: Instant) -> u64 {
    BURST_TOKENS + TOKENS_PER_S * since.elapsed().as_millis() as u64 / 1_000 + TOKENS_PER_S / 100
}

/// Callers of one team send several times its rate, first to both routers and
/// then to one. In total they get no more tokens than rate and burst allow, and
/// no less than most of the rate.
#[test]
fn two_routers_share_one_rate() {
    let fleet = fleet(2);
    thread::sleep(REFILL_TIME);
    let since = Instant::now();
    let tokens = spend(&fleet, &[0, 1], Duration::from_secs(2))
        + spend(&fleet, &[0], Duration::from_secs(2));
    assert!(
        tokens <= max_granted_tokens(since),
        "{tokens} over {}",
        max_granted_tokens(since)
    );
    assert!(
        tokens >= 4 * TOKENS_PER_S,
        "{tokens} are less than the rate"
    );
}

/// All callers use one of two routers and send half of the rate, in bursts.
/// That router refills only half of the rate itself, so without tokens from its
/// peer some requests of a burst would be refused. None is refused.
#[test]
fn a_skewed_load_within_the_rate_is_not_refused() {
    let fleet = fleet(2);
    thread::sleep(REFILL_TIME);
    for burst in 0..4 {
        for i in 0..20 {
            let answer = fleet.chat(0, "Is walnut in stock?", MAX_TOKENS, false);
            assert_eq!(answer.status, 200, "{burst} {i} {}", answer.body);
        }
        thread::sleep(REFILL_TIME);
    }
}

/// Every router is killed right after its callers used the burst, and restarted
/// immediately. The new process takes over the slots of the old one, so callers
/// are served again soon. It starts with an empty bucket: with a full one, each
/// restart would grant the burst again.
#[test]
fn restarting_every_router_grants_no_second_burst() {
    let mut fleet = fleet(2);
    thread::sleep(REFILL_TIME);
    let since = Instant::now();
    let mut tokens = spend(&fleet, &[0, 1], Duration::from_millis(700));
    for _ in 0..2 {
        fleet.routers.iter_mut().for_each(|router| router.kill());
        fleet.routers.iter_mut().for_each(|router| router.restart());
        fleet.routers.iter().for_each(|router| router.wait_ready());
        let after = spend(&fleet, &[0, 1], Duration::from_millis(1_500));
        assert!(after > TOKENS_PER_S / 4, "{after} tokens after a restart");
        tokens += after;
    }
    assert!(
        tokens <= max_granted_tokens(since),
        "{tokens} over {}",
        max_granted_tokens(since)
    );
}

/// One router is paused while the other serves. Callers of the other one get at
/// least its share and don't wait long for the paused one. After it resumes,
/// both together stay within rate and burst.
#[test]
fn a_paused_router_neither_blocks_nor_doubles_tokens() {
    let fleet = fleet(2);
    thread::sleep(REFILL_TIME);
    let since = Instant::now();
    fleet.routers[1].pause();
    let alone = spend(&fleet, &[0], Duration::from_secs(2));
    fleet.routers[1].resume();
    let tokens = alone + spend(&fleet, &[0, 1], Duration::from_secs(1));
    assert!(
        alone >= TOKENS_PER_S * 2 / 3,
        "{alone} tokens beside a paused router"
    );
    assert!(
        tokens <= max_granted_tokens(since),
        "{tokens} over {}",
        max_granted_tokens(since)
    );
}

/// The platform is down for a while. Slots are held under long leases, so
/// callers within the rate are not affected.
#[test]
fn a_platform_outage_refuses_no_request_within_the_rate() {
    let fleet = fleet(2);
    thread::sleep(REFILL_TIME);
    fleet.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    for _ in 0..3 {
        for i in 0..15 {
            let answer = fleet.chat(i % 2, "Is walnut in stock?", MAX_TOKENS, false);
            assert_eq!(answer.status, 200, "{}", answer.body);
        }
        thread::sleep(REFILL_TIME);
    }
}

/// A router restarts while the replies to its writes are lost after the writes
/// took effect. It reads the slots back and still gets its share.
#[test]
fn lost_replies_to_slot_writes_lose_no_slots() {
    let mut fleet = fleet(2);
    fleet.routers[0].kill();
    fleet.platform.set_faults(PlatformFaults {
        lose_replies: 40,
        ..PlatformFaults::default()
    });
    fleet.routers[0].restart();
    fleet.routers[0].wait_ready();
    wait_for_slots(&fleet);
    thread::sleep(REFILL_TIME);
    let since = Instant::now();
    let tokens = spend(&fleet, &[0, 1], Duration::from_secs(1));
    assert!(tokens >= BURST_TOKENS / 2, "{tokens}");
    assert!(
        tokens <= max_granted_tokens(since),
        "{tokens} over {}",
        max_granted_tokens(since)
    );
}

/// A router shuts down gracefully. It releases its slots, and the other one
/// takes them long before their leases expire.
#[test]
fn a_graceful_shutdown_releases_slots() {
    let mut fleet = fleet(2);
    fleet.routers[1].terminate();
    fleet.routers[1].wait();
    assert_eq!(slots_of(&fleet, 1), 0);
    for _ in 0..300 {
        if slots_of(&fleet, 0) == SLOTS {
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
    panic!("the other router holds {} slots", slots_of(&fleet, 0));
}

/// The only router restarts while the platform is down. It can't know which
/// tokens were granted before, so it refuses requests as not run.
#[test]
fn a_router_without_slots_refuses_as_not_run() {
    let mut fleet = fleet(1);
    fleet.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    fleet.routers[0].kill();
    fleet.routers[0].restart();
    let answer = (0..100)
        .map(|_| {
            thread::sleep(Duration::from_millis(20));
            fleet.chat(0, "Is walnut in stock?", MAX_TOKENS, false)
        })
        .find(|answer| answer.status != 0)
        .unwrap_or_default();
    assert_eq!(answer.status, 503, "{}", answer.body);
    assert_eq!(answer.json()["error"]["outcome"], "not_run");
}
