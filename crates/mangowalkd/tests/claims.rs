//! Retries of calls that are not repeatable, under faults.

use {
    mangowalk_standins::{
        Answer, Fleet, FleetSettings, PlatformFaults, ServiceFaults, free_address,
    },
    serde_json::json,
    std::{net::SocketAddr, thread, time::Duration},
};

fn fleet() -> Fleet {
    let fleet = Fleet::start(&FleetSettings {
        program: env!("CARGO_BIN_EXE_mangowalkd").to_owned(),
        routers: 2,
        ..FleetSettings::default()
    });
    for router in 0..2 {
        for _ in 0..100 {
            if fleet.chat(router, "warm", 1, false).status == 200 {
                break;
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
    wait_for_slots(&fleet);
    fleet
}

/// Waits until each router holds slots. One that holds none refuses its teams once
/// the other is gone.
fn wait_for_slots(fleet: &Fleet) {
    for router in &fleet.routers {
        let holder = router.address().to_string();
        let holds_slot = || {
            let slots = fleet.platform.list("slot");
            slots
                .iter()
                .any(|slot| slot.body["holder"] == holder.as_str())
        };
        for _ in 0..100 {
            if holds_slot() {
                break;
            }
            thread::sleep(Duration::from_millis(100));
        }
        assert!(holds_slot(), "{holder} holds no slot");
    }
}

fn book_at(address: SocketAddr, key: &str, body: &str) -> Answer {
    let bearer = format!("Bearer {}", Fleet::KEY);
    let headers = [("Authorization", bearer.as_str()), ("Idempotency-Key", key)];
    Answer::post(address, "/v1/services/orders/book", &headers, body)
}

fn book(fleet: &Fleet, router: usize, key: &str, body: &str) -> Answer {
    book_at(fleet.routers[router].address(), key, body)
}

fn runs(fleet: &Fleet, body: &str) -> u64 {
    fleet.service.runs().get(body).copied().unwrap_or_default()
}

fn outcome(answer: &Answer) -> String {
    answer
        .header("x-mangowalk-outcome")
        .unwrap_or_default()
        .to_owned()
}

fn set_down(fleet: &Fleet, down: bool) {
    fleet.platform.set_faults(PlatformFaults {
        down,
        ..PlatformFaults::default()
    });
}

/// Retries through the second router until it no longer responds that the call
/// is still running: outcomes are written in the background, and the response
/// does not wait for that.
fn book_until_settled(fleet: &Fleet, key: &str, body: &str) -> Answer {
    let mut answer = Answer::default();
    for _ in 0..50 {
        answer = book(fleet, 1, key, body);
        if answer.status != 409 {
            break;
        }
        thread::sleep(Duration::from_millis(100));
    }
    answer
}

/// The caller's router is killed while the service processes a deposit. The
/// caller retries through another router, which finds the claim. The deposit
/// may have been taken, so the outcome is `unknown` and the call does not run
/// again.
#[test]
fn a_call_sent_again_after_its_router_died_runs_once() {
    let mut fleet = fleet();
    fleet.service.set_faults(ServiceFaults {
        delay_ms: 600,
        ..ServiceFaults::default()
    });
    let address = fleet.routers[0].address();
    let first = thread::spawn(move || book_at(address, "deposit-1", "deposit"));
    thread::sleep(Duration::from_millis(300));
    fleet.routers[0].kill();
    assert_eq!(first.join().expect("the caller finishes").status, 0);
    let second = book(&fleet, 1, "deposit-1", "deposit");
    thread::sleep(Duration::from_millis(700));
    assert_eq!((second.status, outcome(&second).as_str()), (409, "unknown"));
    assert_eq!(runs(&fleet, "deposit"), 1);
}

/// The service takes a deposit and its response is lost. The outcome is
/// `unknown`, and a retry through either router does not take the deposit a
/// second time.
#[test]
fn a_call_whose_response_was_lost_runs_once() {
    let fleet = fleet();
    fleet.service.set_faults(ServiceFaults {
        lose_replies: 1,
        ..ServiceFaults::default()
    });
    let first = book(&fleet, 0, "deposit-2", "deposit");
    assert_eq!((first.status, outcome(&first).as_str()), (502, "unknown"));
    for router in [0, 1] {
        let again = book(&fleet, router, "deposit-2", "deposit");
        assert_eq!((again.status, outcome(&again).as_str()), (409, "unknown"));
    }
    assert_eq!(runs(&fleet, "deposit"), 1);
}

/// A call has completed, but the caller's connection broke, so it retries
/// through another router. It gets the same complete response, and the call ran
/// once.
#[test]
fn a_retry_at_another_router_gets_the_recorded_response() {
    let fleet = fleet();
    let first = book(&fleet, 0, "seat-1", "seat");
    let again = book_until_settled(&fleet, "seat-1", "seat");
    assert_eq!((first.status, again.status), (200, 200));
    assert_eq!(first.body, again.body);
    assert_eq!(runs(&fleet, "seat"), 1);
}

/// Two different calls have the same idempotency key. The second is refused:
/// the response to the first would be wrong for it, and so would running it
/// under the claim of the first.
#[test]
fn a_key_used_for_another_call_is_refused() {
    let fleet = fleet();
    assert_eq!(book(&fleet, 0, "seat-2", "seat").status, 200);
    let other = book(&fleet, 1, "seat-2", "other seat");
    assert_eq!((other.status, outcome(&other).as_str()), (422, "not_run"));
    assert_eq!(runs(&fleet, "other seat"), 0);
}

/// The platform stores the claim and its reply is lost. The router reads the
/// claim back, finds its own nonce, and sends the call once.
#[test]
fn a_claim_whose_reply_was_lost_is_read_back() {
    let fleet = fleet();
    fleet.platform.set_faults(PlatformFaults {
        lose_replies: 1,
        lose_replies_of: Some("claim".to_owned()),
        ..PlatformFaults::default()
    });
    let answer = book(&fleet, 0, "seat-3", "seat");
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(runs(&fleet, "seat"), 1);
}

/// The platform is down, so the router can't know whether another one runs the
/// call. It refuses the call as not run, and the call has not run: a retry
/// after the outage runs it once.
#[test]
fn an_outage_refuses_a_call_as_not_run() {
    let fleet = fleet();
    set_down(&fleet, true);
    let refused = book(&fleet, 0, "deposit-3", "deposit");
    assert_eq!(
        (refused.status, outcome(&refused).as_str()),
        (503, "not_run")
    );
    assert_eq!(runs(&fleet, "deposit"), 0);
    set_down(&fleet, false);
    assert_eq!(
        book_until_settled(&fleet, "deposit-3", "deposit").status,
        200
    );
    assert_eq!(runs(&fleet, "deposit"), 1);
}

/// The platform stores the claim, its reply is lost, and the claim can't be
/// read back either. The call was not sent, so it is refused as not run and the
/// claim is withdrawn later. Otherwise retries would be told for a day that the
/// call may have run.
#[test]
fn a_claim_that_can_not_be_read_back_is_withdrawn() {
    let fleet = fleet();
    fleet.platform.set_faults(PlatformFaults {
        lose_replies: 1,
        lose_replies_of: Some("claim".to_owned()),
        lose_reads: true,
        ..PlatformFaults::default()
    });
    let refused = book(&fleet, 0, "deposit-5", "deposit");
    assert_eq!(
        (refused.status, outcome(&refused).as_str()),
        (503, "not_run")
    );
    assert_eq!(runs(&fleet, "deposit"), 0);
    set_down(&fleet, false);
    assert_eq!(
        book_until_settled(&fleet, "deposit-5", "deposit").status,
        200
    );
    assert_eq!(runs(&fleet, "deposit"), 1);
}

/// The connection to the service fails. The call was not sent, so its claim is
/// withdrawn, and a retry runs once the service is reachable.
#[test]
fn a_call_that_was_not_sent_can_be_retried() {
    let fleet = fleet();
    let record = |address: SocketAddr| {
        json!({
            "schema": 1,
            "address": address,
            "failure_domain": "a",
            "role": { "service": { "service": "orders", "repeatable": false } },
        })
    };
    fleet
        .platform
        .put("upstream", "orders-0", record(free_address()));
    thread::sleep(Duration::from_millis(300));
    let refused = book(&fleet, 0, "deposit-4", "deposit");
    assert_eq!(
        (refused.status, outcome(&refused).as_str()),
        (503, "not_run")
    );
    fleet
        .platform
        .put("upstream", "orders-0", record(fleet.service.address()));
    thread::sleep(Duration::from_millis(300));
    assert_eq!(
        book_until_settled(&fleet, "deposit-4", "deposit").status,
        200
    );
    assert_eq!(runs(&fleet, "deposit"), 1);
}

/// The same call arrives at both routers at the same time. The platform creates
/// its claim only once, so one router runs the call and the other responds that
/// it is already running.
#[test]
fn a_call_sent_to_two_routers_at_once_runs_once() {
    let fleet = fleet();
    for round in 0..10 {
        let (key, body) = (format!("race-{round}"), format!("race {round}"));
        let statuses: Vec<u16> = thread::scope(|scope| {
            let both = [0, 1].map(|router| {
                let (fleet, key, body) = (&fleet, &key, &body);
                scope.spawn(move || book(fleet, router, key, body).status)
            });
            both.map(|caller| caller.join().unwrap_or_default())
                .to_vec()
        });
        assert!(statuses.contains(&200), "{statuses:?}");
        assert_eq!(runs(&fleet, &body), 1);
    }
}
