//! Rate limits of teams, applied over all instances.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{Caller, Deployment, RouteKind},
    std::time::{Duration, Instant},
};

/// Tokens that each plain request of the team takes.
const TOKENS_PER_REQUEST: f64 = 200.0;

/// Rate and burst of the team.
const TOKENS_PER_S: f64 = 1_000.0;
const BURST_TOKENS: f64 = 4_000.0;

/// A team sends many times its rate to three instances in turn. Over all of them it
/// must get at most its rate and burst plus 10%. Refusals must be 429, which states
/// that the request has not run, with a time after which to retry.
#[test]
fn a_team_rate_applies_once_across_all_instances() {
    let deployment = Deployment::start(PROGRAM, 3, 1);
    let began = Instant::now();
    let (mut served, mut refused) = (0, 0);
    while began.elapsed() < Duration::from_secs(4) {
        for machine in &deployment.machines {
            let caller = Caller::new(machine.caller_address(), "key-of-small");
            let reply = caller.plain(
                "GET",
                RouteKind::Idempotent.path(),
                &Caller::new_request_id(),
            );
            match reply.status {
                200 => served += 1,
                429 => {
                    assert!(reply.retry_after_s().is_some_and(|s| s > 0.0));
                    refused += 1;
                }
                status => panic!("status {status}"),
            }
        }
        std::thread::sleep(Duration::from_millis(25));
    }
    let allowed = (TOKENS_PER_S * began.elapsed().as_secs_f64() + BURST_TOKENS) * 1.1;
    let got = f64::from(served) * TOKENS_PER_REQUEST;
    assert!(got <= allowed, "{got} tokens of {allowed}");
    // The rate must be usable at whichever instance the requests arrive.
    assert!(got >= TOKENS_PER_S * 4.0 * 0.7, "{got} tokens");
    assert!(refused > 0);
}

/// A team uses up its rate. A team without a limit must not be refused for it.
#[test]
fn a_team_without_a_limit_is_not_refused_for_another_teams_rate() {
    let deployment = Deployment::start(PROGRAM, 1, 1);
    let small = Caller::new(deployment.machines[0].caller_address(), "key-of-small");
    for _ in 0..30 {
        small.plain(
            "GET",
            RouteKind::Idempotent.path(),
            &Caller::new_request_id(),
        );
    }
    let caller = deployment.caller(0);
    for _ in 0..10 {
        let reply = caller.plain(
            "GET",
            RouteKind::Idempotent.path(),
            &Caller::new_request_id(),
        );
        assert_eq!(reply.status, 200);
    }
}
