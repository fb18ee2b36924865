//! Graceful shutdown of an instance.

use {
    mangowalk_standins::{Answer, EngineFaults, Fleet, FleetSettings, ServiceFaults, eventually},
    std::{
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
};

fn fleet() -> Fleet {
    Fleet::start(&FleetSettings {
        program: env!("CARGO_BIN_EXE_mangowalkd").to_owned(),
        routers: 2,
        router_args: vec!["--depart-grace-ms=5000".to_owned()],
        ..FleetSettings::default()
    })
}

fn addresses(fleet: &Fleet, router: usize) -> Vec<SocketAddr> {
    let answer = Answer::get(fleet.routers[router].address(), "/v1/addresses", &[]);
    serde_json::from_value(answer.json()["addresses"].clone()).unwrap_or_default()
}

/// An instance is terminated while streams are open. Every stream must complete.
/// Callers that still use its address must be served and get the address of the
/// other instance. The process must exit with success.
#[test]
fn a_shutdown_cuts_off_no_request() {
    let mut fleet = fleet();
    eventually("both instances are listed and serve", || {
        addresses(&fleet, 0).len() == 2 && fleet.chat(0, "warm", 2, false).status == 200
    });
    let (leaving, staying) = (fleet.routers[0].address(), fleet.routers[1].address());
    let expected = |i: usize| Fleet::expected(&format!("order {i}"), 150);
    thread::scope(|scope| {
        let fleet = &fleet;
        let streams: Vec<_> = (0..6)
            .map(|i| scope.spawn(move || fleet.chat(0, &format!("order {i}"), 150, true)))
            .collect();
        eventually("the streams run", || {
            let running = |e: &mangowalk_standins::EngineStandIn| e.state().load.running;
            fleet.engines.iter().map(running).sum::<u32>() == 6
        });
        fleet.routers[0].terminate();
        eventually("the departing instance lists only the other one", || {
            addresses(fleet, 0) == [staying]
        });
        eventually("the other instance no longer lists it", || {
            addresses(fleet, 1) == [staying]
        });
        let late = fleet.chat(0, "late", 5, false);
        assert_eq!(late.status, 200, "the departing instance still serves");
        for (i, stream) in streams.into_iter().enumerate() {
            let answer = stream.join().expect("a caller");
            assert_eq!(answer.streamed_text(), expected(i), "{}", answer.body);
            assert!(answer.is_done());
        }
        thread::sleep(Duration::from_secs(1));
        let later = fleet.chat(0, "later", 5, false);
        assert_eq!(
            later.status, 200,
            "it still serves after its streams have ended"
        );
    });
    let status = fleet.routers[0].wait().expect("a status");
    assert!(status.success(), "{status}");
    let listed = |a: SocketAddr| fleet.platform.get("instance", &a.to_string()).is_some();
    assert!(!listed(leaving) && listed(staying));
}

/// Time that a departing instance waits for open requests.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends a request with this body, for a whole answer, a stream, or to a service.
fn send(fleet: &Fleet, number: usize, text: &str) -> Answer {
    if number % 3 < 2 {
        return fleet.chat(0, text, 20, number % 3 == 1);
    }
    let bearer = format!("Bearer {}", Fleet::KEY);
    let headers = [
        ("Authorization", bearer.as_str()),
        ("Idempotency-Key", text),
    ];
    Answer::post(
        fleet.routers[0].address(),
        "/v1/services/orders/book",
        &headers,
        text,
    )
}

fn times_run(fleet: &Fleet, text: &str) -> u64 {
    let prompts = fleet.engines.iter().flat_map(|engine| engine.prompts());
    let counted = prompts.chain(fleet.service.runs());
    counted
        .filter(|(prompt, _)| prompt.contains(text))
        .map(|(_, times)| times)
        .sum()
}

/// Guards against requests that are taken late in a shutdown, as long as others are open, and
/// cut off at its end with no answer.
#[test]
fn late_requests_of_a_shutdown_are_answered_or_not_run() {
    let mut fleet = Fleet::start(&FleetSettings {
        program: env!("CARGO_BIN_EXE_mangowalkd").to_owned(),
        router_args: [
            "--depart-grace-ms=500",
            "--drain-timeout-ms=3000",
            "--request-timeout-ms=20000",
        ]
        .map(str::to_owned)
        .to_vec(),
        ..FleetSettings::default()
    });
    fleet.wait_until_served();
    for engine in &fleet.engines {
        engine.set_faults(EngineFaults {
            slow_factor: 10,
            ..EngineFaults::default()
        });
    }
    fleet.service.set_faults(ServiceFaults {
        delay_ms: 800,
        ..ServiceFaults::default()
    });
    assert_eq!(send(&fleet, 0, "before").status, 200);
    fleet.routers[0].terminate();
    let until = Instant::now() + DRAIN_TIMEOUT;
    let answers: Vec<(String, Answer)> = thread::scope(|scope| {
        let (fleet, mut sent) = (&fleet, Vec::new());
        while Instant::now() < until {
            let number = sent.len();
            sent.push(scope.spawn(move || {
                let text = format!("late-{number}-end");
                let answer = send(fleet, number, &text);
                (text, answer)
            }));
            thread::sleep(Duration::from_millis(60));
        }
        let sent = sent.into_iter();
        sent.map(|request| request.join().expect("the caller ends"))
            .collect()
    });
    let mut answered = 0;
    for (text, answer) in answers {
        let runs = times_run(&fleet, &text);
        let case = format!("{text}: {runs} runs, {answer:?}");
        match answer.status {
            200 => assert!(answer.ended, "{case}"),
            503 => assert!(
                runs == 0 && answer.header("retry-after").is_some(),
                "{case}"
            ),
            0 => assert_eq!(runs, 0, "{case}"),
            _ => panic!("{case}"),
        }
        answered += usize::from(answer.status == 200);
    }
    assert!(answered > 0, "callers are served meanwhile");
    let status = fleet.routers[0].wait().expect("a status");
    assert!(status.success(), "{status}");
}
