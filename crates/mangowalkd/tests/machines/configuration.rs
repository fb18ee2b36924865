//! Configurations that change, and a store that goes away.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{Caller, Deployment, RouteKind, StoreFault, wait},
    serde_json::json,
    std::time::{Duration, Instant},
};

#[test]
fn a_new_version_is_in_force_everywhere_soon() {
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
        wait("the new route is served", || {
            caller.plain("GET", "/later/1", &Caller::fresh_id()).status == 200
        });
    }
    assert!(changed.elapsed() < Duration::from_secs(2));
}

/// A key is withdrawn. It must stop within two seconds at each instance.
#[test]
fn a_withdrawn_key_stops() {
    let mut deployment = Deployment::start(PROGRAM, 2, 1);
    deployment.configure(|configuration| {
        configuration["Tenants"][1]["ApiKeys"] = json!([]);
    });
    std::thread::sleep(Duration::from_millis(1_500));
    for machine in 0..2 {
        let mut caller = deployment.caller(machine);
        caller.key = Some("key-of-walled".to_owned());
        let reply = caller.plain("GET", RouteKind::Idempotent.path(), &Caller::fresh_id());
        assert_eq!(reply.status, 401);
    }
}

/// A key was withdrawn, and then a lagging read brings the version before, which
/// still has it. The key must stay out at each instance.
#[test]
fn an_older_version_does_not_bring_a_withdrawn_key_back() {
    let mut deployment = Deployment::start(PROGRAM, 2, 1);
    let older = deployment.configuration.clone();
    deployment.configure(|configuration| {
        configuration["Tenants"][1]["ApiKeys"] = json!([]);
    });
    let path = RouteKind::Idempotent.path();
    let status = |machine: usize| {
        let mut caller = deployment.caller(machine);
        caller.key = Some("key-of-walled".to_owned());
        caller.plain("GET", path, &Caller::fresh_id()).status
    };
    wait("the key is out at both", || {
        (0..2).all(|machine| status(machine) == 401)
    });
    deployment.store.write("config", "main", older);
    let until = Instant::now() + Duration::from_millis(1_200);
    while Instant::now() < until {
        assert_eq!((status(0), status(1)), (401, 401));
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// A version that can't be read follows one that can. The one in force stays
/// in force, and the next readable one replaces it.
#[test]
fn a_version_that_cannot_be_read_changes_nothing() {
    let mut deployment = Deployment::start(PROGRAM, 1, 1);
    deployment.store.write(
        "config",
        "main",
        json!({ "Version": 900, "Routes": "none" }),
    );
    std::thread::sleep(Duration::from_millis(500));
    let caller = deployment.caller(0);
    let path = RouteKind::Idempotent.path();
    assert_eq!(caller.plain("GET", path, &Caller::fresh_id()).status, 200);
    deployment.configuration["Version"] = json!(901);
    deployment.configure(|configuration| configuration["Routes"] = json!([]));
    wait("the next version is in force", || {
        caller.plain("GET", path, &Caller::fresh_id()).status == 404
    });
}

/// The store refuses every call for seconds. What was known goes on being
/// served, and changes are seen soon after it is back.
#[test]
fn requests_do_not_wait_for_the_store() {
    let mut deployment = Deployment::start(PROGRAM, 2, 1);
    deployment.store.set_fault(StoreFault::Busy);
    std::thread::sleep(Duration::from_millis(1_500));
    for machine in 0..2 {
        let caller = deployment.caller(machine);
        let reply = caller.stream(RouteKind::Stream.path(), &Caller::fresh_id());
        assert!(reply.is_whole_stream(), "{reply:?}");
    }
    deployment.store.set_fault(StoreFault::None);
    deployment.configure(|configuration| configuration["Routes"] = json!([]));
    let caller = deployment.caller(0);
    wait("the change is seen", || {
        caller
            .plain("GET", RouteKind::Once.path(), &Caller::fresh_id())
            .status
            == 404
    });
}

/// An instance starts while the store is away. It knows no configuration, so
/// it must say that it is starting (503) and never that a route is missing.
#[test]
fn an_instance_that_knows_nothing_says_so() {
    let mut deployment = Deployment::prepare(PROGRAM, 1, 1);
    deployment.store.set_fault(StoreFault::Busy);
    deployment.machines[0].start();
    let caller = deployment.caller(0);
    wait("the instance listens", || {
        caller
            .plain("GET", RouteKind::Idempotent.path(), &Caller::fresh_id())
            .status
            != 0
    });
    let reply = caller.plain("GET", RouteKind::Idempotent.path(), &Caller::fresh_id());
    assert_eq!(reply.status, 503);
    assert!(reply.retry_after_s().is_some());
    assert_eq!(deployment.machines[0].says_ready(), 503);
    deployment.store.set_fault(StoreFault::None);
    deployment.wait_until_ready();
}
