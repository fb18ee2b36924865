//! Configurations that change, and a store that is unavailable.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{Caller, Deployment, RouteKind, StoreFault, wait_until},
    serde_json::json,
    std::time::{Duration, Instant},
};

#[test]
fn a_new_configuration_takes_effect_at_all_instances_within_two_seconds() {
    let mut deployment = Deployment::start(PROGRAM, 3, 1);
    deployment.configure(|configuration| {
        let mut route = configuration["Routes"][2].clone();
        route["Name"] = json!("later");
        route["PathPrefix"] = json!("/later/");
        let routes = configuration["Routes"]
            .as_array_mut()
            .expect("routes are a list");
        routes.push(route);
    });
    let changed = Instant::now();
    for machine in 0..3 {
        let caller = deployment.caller(machine);
        wait_until("the new route is served", || {
            caller
                .plain("GET", "/later/1", &Caller::new_request_id())
                .status
                == 200
        });
    }
    assert!(changed.elapsed() < Duration::from_secs(2));
}

/// A key is withdrawn. Each instance must reject it within two seconds.
#[test]
fn a_withdrawn_key_is_rejected_at_all_instances() {
    let mut deployment = Deployment::start(PROGRAM, 2, 1);
    deployment.configure(|configuration| {
        configuration["Tenants"][1]["ApiKeys"] = json!([]);
    });
    std::thread::sleep(Duration::from_millis(1_500));
    for machine in 0..2 {
        let mut caller = deployment.caller(machine);
        caller.key = Some("key-of-walled".to_owned());
        let reply = caller.plain(
            "GET",
            RouteKind::Idempotent.path(),
            &Caller::new_request_id(),
        );
        assert_eq!(reply.status, 401);
    }
}

/// A key is withdrawn, and then a lagging read returns the previous version, which
/// still contains it. Each instance must keep rejecting the key.
#[test]
fn an_older_version_does_not_restore_a_withdrawn_key() {
    let mut deployment = Deployment::start(PROGRAM, 2, 1);
    let older = deployment.configuration.clone();
    deployment.configure(|configuration| {
        configuration["Tenants"][1]["ApiKeys"] = json!([]);
    });
    let path = RouteKind::Idempotent.path();
    let status = |machine: usize| {
        let mut caller = deployment.caller(machine);
        caller.key = Some("key-of-walled".to_owned());
        caller.plain("GET", path, &Caller::new_request_id()).status
    };
    wait_until("both instances reject the key", || {
        (0..2).all(|machine| status(machine) == 401)
    });
    deployment.store.write("config", "main", older);
    let until = Instant::now() + Duration::from_millis(1_200);
    while Instant::now() < until {
        assert_eq!((status(0), status(1)), (401, 401));
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// A configuration that can't be decoded is written. The current one must stay in
/// effect until the next readable one replaces it.
#[test]
fn an_unreadable_configuration_is_ignored() {
    let mut deployment = Deployment::start(PROGRAM, 1, 1);
    deployment.store.write(
        "config",
        "main",
        json!({ "Version": 900, "Routes": "none" }),
    );
    std::thread::sleep(Duration::from_millis(500));
    let caller = deployment.caller(0);
    let path = RouteKind::Idempotent.path();
    assert_eq!(
        caller.plain("GET", path, &Caller::new_request_id()).status,
        200
    );
    deployment.configuration["Version"] = json!(901);
    deployment.configure(|configuration| configuration["Routes"] = json!([]));
    wait_until("the next version is in effect", || {
        caller.plain("GET", path, &Caller::new_request_id()).status == 404
    });
}

/// The store refuses every call for seconds. Requests must be served from the known
/// state meanwhile, and a change must take effect after the store recovers.
#[test]
fn requests_are_served_while_the_store_is_unavailable() {
    let mut deployment = Deployment::start(PROGRAM, 2, 1);
    deployment.store.set_fault(StoreFault::Busy);
    std::thread::sleep(Duration::from_millis(1_500));
    for machine in 0..2 {
        let caller = deployment.caller(machine);
        let reply = caller.stream(RouteKind::Stream.path(), &Caller::new_request_id());
        assert!(reply.is_complete_stream(), "{reply:?}");
    }
    deployment.store.set_fault(StoreFault::None);
    deployment.configure(|configuration| configuration["Routes"] = json!([]));
    let caller = deployment.caller(0);
    wait_until("the change is in effect", || {
        caller
            .plain("GET", RouteKind::Once.path(), &Caller::new_request_id())
            .status
            == 404
    });
}

/// An instance starts while the store is unavailable and has no configuration. It
/// must report that it is starting, by 503 with a retry time, and never that a route
/// is missing.
#[test]
fn an_instance_without_a_configuration_answers_503() {
    let mut deployment = Deployment::prepare(PROGRAM, 1, 1);
    deployment.store.set_fault(StoreFault::Busy);
    deployment.machines[0].start();
    let caller = deployment.caller(0);
    wait_until("the instance listens", || {
        caller
            .plain(
                "GET",
                RouteKind::Idempotent.path(),
                &Caller::new_request_id(),
            )
            .status
            != 0
    });
    let reply = caller.plain(
        "GET",
        RouteKind::Idempotent.path(),
        &Caller::new_request_id(),
    );
    assert_eq!(reply.status, 503);
    assert!(reply.retry_after_s().is_some());
    assert_eq!(deployment.machines[0].ready_status(), 503);
    deployment.store.set_fault(StoreFault::None);
    deployment.wait_until_ready();
}
