//! Tests of the bound on the backlog of lower priorities at an engine.

use mangowalk_core::{
    admission::{Backlog, BacklogBound, BacklogSettings},
    pool::PrefillRate,
    routing::{
        Configuration, MostUrgent, RetryPolicy, Route, RouteTable, Tenant, WeightedService, urgency,
    },
};

const TARGET_MS: u64 = 250;

fn backlog(unread_tokens: u64, slowdown: f64) -> Backlog {
    Backlog {
        unread_tokens,
        slowdown,
    }
}

fn bound() -> BacklogBound {
    BacklogBound::new(TARGET_MS, &BacklogSettings::default())
}

/// Guards against a backlog of long prompts that delays a short prompt beyond its target, and
/// against an idle engine that gets no long prompt because one alone exceeds the bound.
#[test]
fn a_lower_priority_is_bounded_by_the_time_to_read_all_prompts() {
    // 40 tokens per ms, so 10,000 tokens within the target.
    let rate = PrefillRate::default();
    assert!(bound().admits(backlog(7_000, 1.0), 3_000, &rate));
    assert!(!bound().admits(backlog(7_001, 1.0), 3_000, &rate));
    assert!(!bound().admits(backlog(7_000, 2.0), 3_000, &rate));
    assert!(bound().admits(backlog(0, 4.0), 19_000, &rate));
    let wait_ms = bound().wait_ms(backlog(9_000, 1.0), 3_000, &rate);
    assert!((wait_ms - 50.0).abs() < 0.001, "{wait_ms}");
}

fn route(service: &str, priority: u8, target_ms: u64) -> Route {
    Route {
        name: format!("{service}-{priority}"),
        host: "h".to_owned(),
        path_prefix: format!("/{service}-{priority}/"),
        services: vec![WeightedService {
            service: service.to_owned(),
            weight: 1,
        }],
        retry: RetryPolicy::Stream,
        timeout_ms: 5_000,
        target_ms,
        target_gap_ms: 100,
        max_attempts: 1,
        priority,
        anonymous: false,
    }
}

fn team(name: &str, priority: Option<u8>) -> Tenant {
    Tenant {
        name: name.to_owned(),
        keys: vec![name.to_owned()],
        priority,
        rate: None,
        counts_tokens: false,
        plain_tokens: 0,
        isolated: false,
    }
}

/// Guards against a route of another service, or a team's priority, that is left out of what a
/// service protects.
#[test]
fn the_most_urgent_requests_of_a_service_count_teams_before_routes() {
    let table = RouteTable::new(Configuration {
        version: 1,
        routes: vec![
            route("llm", 2, 1_000),
            route("llm", 0, 250),
            route("other", 2, 400),
        ],
        tenants: vec![team("a", Some(1)), team("b", Some(2))],
        ..Configuration::default()
    });
    let expected = |urgency, target_ms| Some(MostUrgent { urgency, target_ms });
    assert_eq!(table.most_urgent("llm"), expected(2, 250));
    assert_eq!(table.most_urgent("other"), expected(3, 400));
    assert_eq!(table.most_urgent("none"), None);
    assert_eq!(urgency(Some(0), 2), 1);
    assert_eq!(urgency(None, 2), 2);
    assert_eq!(urgency(Some(200), 200), 9);
}
