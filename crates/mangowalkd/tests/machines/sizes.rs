//! Deployments of unusual sizes, with more instances than engines.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{Caller, Deployment, Reply, RouteKind, wait_until},
    std::{thread, time::Duration},
};

/// Twenty instances in three failure domains share two engines. They are more than
/// the engines and more than one heartbeat reaches. Callers of each instance must
/// be served, and one lease holder must order new weights at both engines.
#[test]
fn twenty_instances_share_two_engines() {
    let deployment = Deployment::start(PROGRAM, 20, 2);
    for machine in 0..20 {
        let caller = deployment.caller(machine);
        let reply = caller.stream(RouteKind::Resumable.path(), &Caller::new_request_id());
        assert!(reply.is_complete_stream(), "instance {machine}: {reply:?}");
        let reply = caller.plain("POST", RouteKind::Once.path(), &Caller::new_request_id());
        assert_eq!(reply.status, 200, "instance {machine}: {reply:?}");
    }
    deployment.publish_weights(2);
    wait_until("both engines have the new weights", || {
        deployment
            .engines
            .iter()
            .all(|engine| engine.version() == 2)
    });
    let orders = deployment.engines.iter().flat_map(|engine| engine.orders());
    let mut holders: Vec<String> = orders.map(|order| order.holder).collect();
    holders.sort();
    holders.dedup();
    assert_eq!(holders.len(), 1, "{holders:?}");
}

/// A team's rate allows less than one request per second over twenty instances. Its
/// callers send to all of them at the same time. The requests that run must stay
/// within rate and burst, and some must run.
#[test]
fn twenty_instances_share_a_tiny_rate() {
    let deployment = Deployment::start(PROGRAM, 20, 2);
    let mut ran = 0;
    for _ in 0..8 {
        let replies: Vec<Reply> = thread::scope(|scope| {
            let requests: Vec<_> = (0..20)
                .map(|machine| deployment.caller(machine))
                .map(|caller| scope.spawn(move || send_as_small_team(caller)))
                .collect();
            let replies = requests.into_iter().map(|reply| reply.join());
            replies.map(|reply| reply.expect("it ends")).collect()
        });
        ran += replies.iter().filter(|reply| reply.status == 200).count();
        thread::sleep(Duration::from_millis(700));
    }
    // A request takes 1,050 tokens. Six seconds allow 6,000 by the rate and 4,000 by
    // the burst.
    assert!((2..=9).contains(&ran), "{ran} of 160 ran");
}

fn send_as_small_team(mut caller: Caller) -> Reply {
    caller.key = Some("key-of-small".to_owned());
    let reply = caller.stream(RouteKind::Stream.path(), &Caller::new_request_id());
    assert!([200, 429].contains(&reply.status), "{reply:?}");
    let has_retry_after = reply.retry_after_s().is_some_and(|wait_s| wait_s > 0.0);
    assert!(reply.status == 200 || has_retry_after, "{reply:?}");
    reply
}
