//! Measures the latency that a router adds to a stream, and the resources that
//! open streams take.
//!
//! `measure_streams PROGRAM` starts a fleet of stand-ins with one router, and
//! prints a table. Calls through the router and direct calls to the same engine
//! alternate, so that both run under the same load of the machine.

use {
    hdrhistogram::Histogram,
    mangowalk_core::engine::GenerateRequest,
    mangowalk_standins::{EngineFaults, EngineSettings, Fleet, FleetSettings, RawCaller},
    serde_json::json,
    std::{
        env, fs,
        sync::atomic::{AtomicUsize, Ordering},
        thread,
        time::Instant,
    },
};

/// Number of pairs of calls, each one direct and one through the router.
const PAIRS: u64 = 1_000;

/// Numbers of open streams at which latency and resources are measured.
const OPEN_STREAMS: [usize; 4] = [0, 100, 250, 500];

/// Requests at each number of open streams, and concurrent callers that send them.
const REQUESTS: usize = 2_000;
const CALLERS: usize = 16;

/// Upper bound of the histograms, in microseconds.
const MAX_CALL_US: u64 = 60_000_000;

fn main() {
    let Some(program) = env::args().nth(1) else {
        eprintln!("usage: measure_streams PROGRAM");
        return;
    };
    let fleet = Fleet::start(&FleetSettings {
        program,
        engines: 1,
        engine: EngineSettings {
            slots: 4_096,
            token_us: 1_000,
            ..EngineSettings::default()
        },
        router_args: vec!["--token-timeout-ms=110000".to_owned()],
        tokens_per_s: 100_000_000,
        burst_tokens: 100_000_000,
        ..FleetSettings::default()
    });
    fleet.wait_until_served();
    measure_first_tokens(&fleet);
    measure_open_streams(&fleet);
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_CALL_US, 3).expect("bounds in order")
}

fn print_times(name: &str, times: &Histogram<u64>) {
    println!(
        "{name:<28} median {:>7.2} ms  p99 {:>7.2} ms",
        times.value_at_quantile(0.5) as f64 / 1_000.0,
        times.value_at_quantile(0.99) as f64 / 1_000.0,
    );
}

fn measure_first_tokens(fleet: &Fleet) {
    let (mut direct, mut routed) = (histogram(), histogram());
    for i in 0..PAIRS {
        let prompt = format!("pair {i}");
        direct.saturating_record(time_us(|| call_engine(fleet, &prompt)));
        routed.saturating_record(time_us(|| {
            call_router(fleet, &prompt, 3);
        }));
    }
    println!("time to first token, {PAIRS} pairs, an engine of 1 ms a token");
    print_times("direct", &direct);
    print_times("through the router", &routed);
}

fn time_us(call: impl FnOnce()) -> u64 {
    let started = Instant::now();
    call();
    started.elapsed().as_micros() as u64
}

/// Calls the engine directly and reads until the first token.
fn call_engine(fleet: &Fleet, prompt: &str) {
    let engine = &fleet.engines[0];
    let state = engine.state();
    let request = GenerateRequest {
        request_id: prompt.to_owned(),
        attempt: 1,
        cache_salt: "direct".to_owned(),
        model: state.model,
        version: state.version,
        incarnation: state.incarnation,
        prompt: prompt.to_owned(),
        max_tokens: 3,
        generated: Vec::new(),
        priority: 5,
    };
    let body = serde_json::to_string(&request).expect("a text");
    let mut caller = RawCaller::connect(engine.address());
    caller.send(&http_request("/generate", &body));
    assert!(caller.read_until("w0x"));
}

/// Calls the router and reads until the first token.
fn call_router(fleet: &Fleet, prompt: &str, max_tokens: u32) -> RawCaller {
    let body = json!({
        "model": "drafting",
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": max_tokens,
        "stream": true,
    })
    .to_string();
    let mut caller = RawCaller::connect(fleet.routers[0].address());
    caller.send(&http_request("/v1/chat/completions", &body));
    assert!(caller.read_until("w0x"), "{}", caller.text());
    caller
}

fn http_request(path: &str, body: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {}\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        Fleet::KEY,
        body.len()
    )
    .into_bytes()
}

/// Opens streams that stay open, and measures other requests meanwhile.
fn measure_open_streams(fleet: &Fleet) {
    fleet.engines[0].set_faults(EngineFaults {
        freeze_after_tokens: Some(1),
        ..EngineFaults::default()
    });
    println!("\nopen streams in one router, requests of one token by {CALLERS} callers");
    println!("open   requests/s   first token: median    p99   VmRSS MiB   threads");
    let mut streams = Vec::new();
    for open in OPEN_STREAMS {
        while streams.len() < open {
            let prompt = format!("stream {}", streams.len());
            streams.push(call_router(fleet, &prompt, 100));
        }
        let (rate, times) = measure_load(fleet);
        let (rss_mib, threads) = process_usage(fleet);
        println!(
            "{open:>4} {rate:>12.0} {:>19.2} ms {:>5.2} ms {rss_mib:>8.1} {threads:>9}",
            times.value_at_quantile(0.5) as f64 / 1_000.0,
            times.value_at_quantile(0.99) as f64 / 1_000.0,
        );
    }
}

/// Sends requests of one token from several concurrent callers. Returns the
/// requests per second and the times to first token.
fn measure_load(fleet: &Fleet) -> (f64, Histogram<u64>) {
    let next = AtomicUsize::new(0);
    let started = Instant::now();
    let mut times = histogram();
    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|_| scope.spawn(|| send_requests(fleet, &next)))
            .collect();
        for caller in callers {
            times += caller.join().expect("a caller");
        }
    });
    (REQUESTS as f64 / started.elapsed().as_secs_f64(), times)
}

fn send_requests(fleet: &Fleet, next: &AtomicUsize) -> Histogram<u64> {
    let mut times = histogram();
    loop {
        let i = next.fetch_add(1, Ordering::Relaxed);
        if i >= REQUESTS {
            return times;
        }
        times.saturating_record(time_us(|| {
            call_router(fleet, &format!("short {i}"), 1);
        }));
    }
}

/// Returns the resident memory in MiB and the number of threads of the router's
/// process.
fn process_usage(fleet: &Fleet) -> (f64, u64) {
    let pid = fleet.routers[0].pid().unwrap_or_default();
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let field = |name: &str| -> u64 {
        status
            .lines()
            .find_map(|line| {
                line.strip_prefix(name)?
                    .split_whitespace()
                    .next()?
                    .parse()
                    .ok()
            })
            .unwrap_or_default()
    };
    (field("VmRSS:") as f64 / 1_024.0, field("Threads:"))
}
