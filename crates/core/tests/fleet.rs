//! Routing, the retry budget, and mesh membership.

use {
    mangowalk_core::{
        mesh::{Heartbeat, MemberTable, MeshSettings, TeamReport},
        pool::Load,
        retries::{BudgetShare, FleetRetryBudget, RetrySettings},
        routing::{
            Configuration, RetryPolicy, Route, RouteError, RouteTable, Tenant, WeightedService,
            addresses_for_caller,
        },
    },
    proptest::prelude::*,
    std::net::SocketAddr,
};

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "Shop.example".to_owned(),
        path_prefix: prefix.to_owned(),
        services: vec![
            WeightedService {
                service: "one".to_owned(),
                weight: 90,
            },
            WeightedService {
                service: "two".to_owned(),
                weight: 10,
            },
        ],
        retry: RetryPolicy::Idempotent,
        timeout_ms: 1_000,
        target_ms: 100,
        target_gap_ms: 100,
        max_attempts: 2,
        priority: 1,
        anonymous: prefix == "/open/",
    }
}

fn table() -> RouteTable {
    RouteTable::new(Configuration {
        version: 3,
        routes: vec![
            route("short", "/a/"),
            route("long", "/a/b/"),
            route("open", "/open/"),
        ],
        tenants: vec![Tenant {
            name: "shop".to_owned(),
            keys: vec!["key".to_owned()],
            priority: None,
            rate: None,
            counts_tokens: true,
            plain_tokens: 200,
            isolated: false,
        }],
        ..Configuration::default()
    })
}

#[test]
fn the_longest_prefix_wins() {
    let table = table();
    let name = |path| {
        table
            .admit("shop.example:80", path, Some("key"))
            .map(|(route, _)| route.name.clone())
    };
    insta::assert_debug_snapshot!((name("/a/x"), name("/a/b/x"), name("/a/bx"), name("/b/")), @r#"
    (
        Ok(
            "short",
        ),
        Ok(
            "long",
        ),
        Ok(
            "short",
        ),
        Err(
            NoRoute,
        ),
    )
    "#);
}

#[test]
fn api_keys_are_required_except_on_anonymous_routes() {
    let table = table();
    assert_eq!(
        table.admit("shop.example", "/a/", None).err(),
        Some(RouteError::BadKey)
    );
    assert_eq!(
        table.admit("shop.example", "/a/", Some("KEY")).err(),
        Some(RouteError::BadKey)
    );
    assert!(table.admit("shop.example", "/open/", None).is_ok());
}

#[test]
fn services_get_their_share_of_requests() {
    let route = route("r", "/a/");
    let two = (0..1_000)
        .filter(|draw| route.service(*draw) == "two")
        .count();
    assert_eq!(two, 100);
}

/// Callers accept 64 addresses. If each were told the first 64 of 95 instances, a third
/// of the fleet would stay idle while the others are full.
#[test]
fn all_instances_of_a_large_fleet_are_told_to_callers() {
    let all: Vec<SocketAddr> = (0..95)
        .map(|n| SocketAddr::from(([10, 0, 0, n], 8_606)))
        .collect();
    let mut told = vec![0; all.len()];
    for caller in 0..200 {
        let addresses = addresses_for_caller(all.clone(), caller * 7_919, 64);
        assert_eq!(addresses.len(), 64);
        for address in addresses {
            let index = all.iter().position(|known| *known == address);
            told[index.expect("it is an instance")] += 1;
        }
    }
    // 135 on average.
    assert!(
        told.iter().all(|count| (90..180).contains(count)),
        "{told:?}"
    );
}

/// A caller asks again every second, at any instance. It must keep its connections,
/// also when an instance has left.
#[test]
fn a_caller_keeps_its_addresses() {
    let all: Vec<SocketAddr> = (0..95)
        .map(|n| SocketAddr::from(([10, 0, 0, n], 8_606)))
        .collect();
    let before = addresses_for_caller(all.clone(), 5, 64);
    let reversed = all.iter().rev().copied().collect();
    assert_eq!(before, addresses_for_caller(reversed, 5, 64));
    let lost = before[10];
    let remaining = all.into_iter().filter(|address| *address != lost).collect();
    let after = addresses_for_caller(remaining, 5, 64);
    let kept = before.iter().filter(|address| after.contains(address));
    assert_eq!(kept.count(), 63);
}

/// Whatever the order of requests and retries, the retries of all instances
/// within a window must stay within the budget of the service, though each
/// instance knows only its own.
#[test]
fn retries_of_all_instances_stay_within_the_budget() {
    let settings = RetrySettings::default();
    proptest!(ProptestConfig::with_cases(64), |(
        instances in 1_usize..9,
        wants in prop::collection::vec((0_usize..9, 1_u64..40, any::<bool>()), 50..800),
    )| {
        let share = BudgetShare {
            slack_fraction: 1.0 / instances as f64,
            up_ms: None,
        };
        let mut budgets: Vec<FleetRetryBudget> = (0..instances).map(|_| FleetRetryBudget::default()).collect();
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        let mut now_ms = 0;
        for (at, passed_ms, is_repeat) in wants {
            now_ms += passed_ms;
            let budget = &mut budgets[at % instances];
            if !is_repeat {
                budget.record_request(&settings, now_ms);
                requests.push(now_ms);
            } else if budget.try_retry(&settings, share, now_ms) {
                repeats.push(now_ms);
            }
        }
        for &end_ms in &repeats {
            let inside = |ms: &&u64| **ms <= end_ms && **ms + settings.window_ms > end_ms;
            let allowed = requests.iter().filter(inside).count() as f64 * settings.ratio + settings.slack;
            let taken = repeats.iter().filter(inside).count() as f64;
            prop_assert!(taken <= allowed, "{taken} of {allowed}");
        }
    });
}

fn heartbeat(name: &str, incarnation: u64, sequence: u64) -> Heartbeat {
    let address = "127.0.0.1:7600".parse().expect("an address");
    Heartbeat {
        name: name.to_owned(),
        incarnation,
        up_ms: 0,
        sequence,
        caller_address: address,
        peer_address: address,
        domain: "a".to_owned(),
        ready: true,
        stopped: false,
        has_store: true,
        configuration_version: 1,
        versions: Vec::new(),
        loads: Vec::new(),
        placements: Vec::new(),
        engines_revision: 1,
        departures: Vec::new(),
        silent_engines: Vec::new(),
        crashes: Vec::new(),
        knows_rates: true,
        instances: 2,
        counted_for_ms: 8_000,
        teams: Vec::new(),
        holds_lease: false,
        ordered_ago_ms: None,
        orders: Vec::new(),
        peers: vec!["127.0.0.2:7600".parse().expect("an address")],
    }
}

#[test]
fn a_late_heartbeat_is_dropped() {
    let mut members = MemberTable::default();
    assert!(members.receive(heartbeat("p", 2, 5), 0));
    assert!(!members.receive(heartbeat("p", 2, 4), 1));
    assert!(!members.receive(heartbeat("p", 1, 9), 1));
    assert!(
        members.receive(heartbeat("p", 3, 1), 1),
        "a new incarnation starts a new sequence"
    );
}

/// Guards against a peer that nobody hears for half a minute: it restarts after its clock was
/// set back, so that its later start has the lower incarnation.
#[test]
fn a_peer_that_restarts_with_its_clock_set_back_is_heard() {
    let beat = |incarnation, sequence, up_ms| Heartbeat {
        up_ms,
        ..heartbeat("p", incarnation, sequence)
    };
    let mut members = MemberTable::default();
    assert!(members.receive(beat(9, 5, 2_000), 10_000));
    assert!(
        !members.receive(beat(4, 1, 300), 10_900),
        "it may be the earlier start, heard late"
    );
    assert!(members.receive(beat(4, 1, 500), 11_100));
    assert!(members.receive(beat(4, 2, 700), 11_300));
    assert!(!members.receive(beat(4, 2, 700), 11_400), "a duplicate");
    let stopped = Heartbeat {
        stopped: true,
        ..beat(4, 3, 1_000)
    };
    assert!(members.receive(stopped, 11_600));
    assert!(
        !members.receive(beat(4, 2, 700), 12_700),
        "sent before the stop"
    );
    assert!(members.receive(beat(3, 1, 300), 12_700));
}

/// A peer stops sending. Callers must not be sent to it any more within a
/// second, but its share of the budgets must stay reserved: it may still be
/// serving behind a partition.
#[test]
fn a_silent_peer_is_not_advertised_but_still_counted() {
    let settings = MeshSettings::default();
    let mut members = MemberTable::default();
    members.receive(heartbeat("p", 1, 1), 0);
    let later_ms = settings.silent_after_ms + 1;
    assert_eq!(members.live(&settings, later_ms).count(), 0);
    assert_eq!(members.is_live("p", &settings, later_ms), Some(false));
    assert!(members.expire(&settings, later_ms).is_empty());
    assert_eq!(members.expire(&settings, settings.gone_after_ms + 1), ["p"]);
    assert_eq!(
        members.is_live("p", &settings, settings.gone_after_ms + 1),
        None
    );
}

/// Instances are replaced one after the other by instances of other names. A
/// team within its rate must not be refused because shares are still reserved
/// for instances that have stopped.
#[test]
fn a_stopped_peer_is_removed_at_once() {
    let settings = MeshSettings::default();
    let mut members = MemberTable::default();
    members.receive(heartbeat("p", 1, 1), 0);
    let last = Heartbeat {
        stopped: true,
        ready: false,
        ..heartbeat("p", 1, 2)
    };
    assert!(members.receive(last, 10));
    assert_eq!(members.is_live("p", &settings, 11), None);
    assert_eq!(members.iter().count(), 0);
}

/// A heartbeat that a relay delayed, or an indirect report of a peer, must not
/// restore an instance that has stopped.
#[test]
fn a_stopped_peer_is_not_restored_by_older_messages() {
    let mut members = MemberTable::default();
    let settings = MeshSettings::default();
    let heartbeat_of = |incarnation, sequence| Heartbeat {
        peers: Vec::new(),
        ..heartbeat("p", incarnation, sequence)
    };
    members.receive(heartbeat_of(1, 1), 0);
    let stopped = Heartbeat {
        stopped: true,
        ..heartbeat_of(1, 3)
    };
    assert!(members.receive(stopped, 10));
    assert!(!members.receive(heartbeat_of(1, 2), 200));
    let indirect_report = Heartbeat {
        peer_address: "127.0.0.3:7600".parse().expect("an address"),
        peers: vec![heartbeat_of(1, 2).peer_address],
        ..heartbeat("other", 1, 1)
    };
    assert!(members.receive(indirect_report, 210));
    let targets = members.targets("a", 1, 0, &settings, 220);
    assert_eq!((members.expected(), targets.direct.len()), (1, 1));
    assert!(
        members.receive(heartbeat_of(2, 1), 300),
        "the peer restarted"
    );
    assert_eq!(members.iter().count(), 2);
}

#[test]
fn addresses_that_never_answer_are_tried_for_a_limited_time() {
    let settings = MeshSettings::default();
    let mut members = MemberTable::default();
    members.receive(heartbeat("p", 1, 1), 0);
    let targets = |now_ms| members.targets("a", 1, 0, &settings, now_ms);
    assert_eq!(targets(10).direct.len(), 2);
    assert_eq!(targets(settings.candidate_ms + 1).direct.len(), 1);
    assert!(targets(10).relays.is_empty());
}

/// Callers are sent only to instances from which a heartbeat arrived recently.
/// With eighty instances in four failure domains, each must receive a recent
/// heartbeat of every other one within two intervals, though each instance
/// sends to few and some relays are dead.
#[test]
fn all_instances_receive_each_other_within_two_heartbeats() {
    let settings = MeshSettings::default();
    let address = |n: usize| format!("127.0.0.{n}:7600").parse().expect("an address");
    let domain = |n: usize| ["a", "b", "c", "d"][n % 4];
    let heartbeat_of = |n: usize, sequence| Heartbeat {
        peer_address: address(n),
        domain: domain(n).to_owned(),
        peers: Vec::new(),
        ..heartbeat(&format!("i{n:02}"), 1, sequence)
    };
    let mut tables: Vec<MemberTable> = (0..80).map(|_| MemberTable::default()).collect();
    for (own, table) in tables.iter_mut().enumerate() {
        for other in (0..80).filter(|other| *other != own) {
            table.receive(heartbeat_of(other, 1), 0);
        }
    }
    let is_dead = |n: usize| n % 10 == 3;
    let mut max_sent = 0;
    for sequence in 2..4 {
        let now_ms = 1_000 * sequence;
        for from in (0..80).filter(|n| !is_dead(*n)) {
            let targets = tables[from].targets(domain(from), sequence, 0, &settings, 0);
            max_sent = max_sent.max(targets.direct.len() + targets.relays.len());
            let mut receivers: Vec<SocketAddr> = targets.direct;
            for relay in targets.relays {
                let relay_index = (0..80)
                    .find(|n| address(*n) == relay)
                    .expect("the relay is an instance");
                if !is_dead(relay_index) {
                    receivers.push(relay);
                    receivers.extend(tables[relay_index].in_domain(domain(relay_index)));
                }
            }
            for to in (0..80).filter(|n| *n != from && receivers.contains(&address(*n))) {
                tables[to].receive(heartbeat_of(from, sequence), now_ms);
            }
        }
    }
    assert_eq!(max_sent, 19 + 3);
    for (own, table) in tables.iter().enumerate().filter(|(n, _)| !is_dead(*n)) {
        let received = table
            .iter()
            .filter(|member| member.received_ms >= 2_000)
            .count();
        assert_eq!(received, 71, "instance {own}");
    }
}

/// A heartbeat must fit into one datagram at the size of the current fleet. At
/// the design size it must grow with the engines at which an instance has work,
/// not with all engines.
#[test]
fn a_heartbeat_is_small() {
    let sized = |engines: usize, teams: usize, placed: usize| {
        let mut message = heartbeat("edge-south-texas-a-1", 1_700_000_000_000, 500);
        let load = Load {
            requests: 3,
            memory_tokens: 27_000,
            prefill_tokens: 9_000,
            must_finish: 1,
        };
        message.loads = (0..engines)
            .map(|n| (format!("i-{n:010x}"), load))
            .collect();
        message.placements = (0..placed)
            .map(|n| (u64::MAX - n as u64, n as u32))
            .collect();
        message.teams = (0..teams)
            .map(|n| TeamReport {
                team: format!("team{n:03}"),
                spent: 1e7,
                level: 1e5,
                demand_per_s: 1e5,
            })
            .collect();
        postcard::to_allocvec(&message)
            .expect("it is encoded")
            .len()
    };
    insta::assert_debug_snapshot!((sized(16, 5, 6), sized(22, 5, 12), sized(30, 230, 12)));
}
