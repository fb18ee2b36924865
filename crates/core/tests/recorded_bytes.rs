//! Encodings recorded from an earlier build.
//!
//! Instances of two builds exchange messages and share stored objects during an
//! upgrade, so the encodings must not change. Fields of the same type have
//! different values here, so that swapping two of them changes the bytes.

use {
    mangowalk_core::{
        burn::{
            BurnReport, BurnRow, Counts, Histogram, InstanceBurn, Level, Objective, TeamBurn,
            TeamSummary, Window, WindowBurn, WindowCounts,
        },
        claim::{ClaimBody, ClaimState, EpochBody, ReplyBody, StoredReply},
        config::{Delta, Digest, Write},
        limits::SlotBody,
        mesh::{Heartbeat, OrderPhase, OrderReport, PeerMessage, TeamReport},
        peer::{ConfigEntry, InstanceView, PeerReply, PeerRequest},
        poison::CrashReport,
        pool::{Departure, Load},
        record::{Drain, Key, Model, Rate, Team, Upstream, UpstreamRole},
        rollout::{Failure, Plan},
        status::{
            Candidate, ControlTraffic, ExplainReply, ExplainRequest, InstanceStatus, PeerStatus,
            Phase, RecordStatus, RefusedRecord, UpstreamStatus,
        },
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{fmt::Debug, net::SocketAddr},
};

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2);
    digits
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap())
        .collect()
}

/// Checks a message between instances against its recorded bytes.
fn check_message<T>(value: &T, recorded: &str)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    assert_eq!(to_hex(&postcard::to_stdvec(value).unwrap()), recorded);
    let decoded: T = postcard::from_bytes(&from_hex(recorded)).unwrap();
    assert_eq!(&decoded, value);
}

/// Checks a stored object against its recorded text.
fn check_object<T>(value: &T, recorded: &str)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    assert_eq!(serde_json::to_string(value).unwrap(), recorded);
    let decoded: T = serde_json::from_str(recorded).unwrap();
    assert_eq!(&decoded, value);
}

fn address(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

fn crashes() -> Vec<CrashReport> {
    let report = |request, crash, age_ms, cleared| CrashReport {
        request,
        crash,
        age_ms,
        cleared,
    };
    vec![
        report(u64::MAX, 301, 302, true),
        report(303, 304, 305, false),
    ]
}

fn orders() -> Vec<OrderReport> {
    let order = |engine: &str, phase, version, age_ms| OrderReport {
        engine: engine.to_owned(),
        model: "m-large".to_owned(),
        version,
        phase,
        age_ms,
    };
    vec![
        order("e-1", OrderPhase::Planned, 41, 401),
        order("e-2", OrderPhase::Sent, 42, 402),
        order("e-3", OrderPhase::Done, 43, 403),
    ]
}

fn departures() -> Vec<Departure> {
    let departure = |start, revision, is_over| Departure {
        start,
        revision,
        is_over,
    };
    vec![departure(0xdead_beef, 501, false), departure(7, 502, true)]
}

fn teams() -> Vec<TeamReport> {
    vec![TeamReport {
        team: "search".to_owned(),
        spent: 1234.5,
        level: -7.25,
        demand_per_s: 88.75,
    }]
}

fn loads() -> Vec<(String, Load)> {
    let load = Load {
        requests: 3,
        memory_tokens: 70_000,
        prefill_tokens: 9_000,
        must_finish: 2,
    };
    vec![("e-1".to_owned(), load)]
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        name: "i-1".to_owned(),
        incarnation: 1 << 60,
        up_ms: 102,
        sequence: 103,
        caller_address: address("10.0.0.1:8080"),
        peer_address: address("[fd00::1]:7946"),
        domain: "zone-a".to_owned(),
        ready: true,
        stopped: false,
        has_store: false,
        configuration_version: 104,
        versions: vec![
            ("m-large".to_owned(), 42, Some(105)),
            ("m-small".to_owned(), 43, None),
        ],
        loads: loads(),
        placements: vec![(0xfeed_0000_0001, 106), (107, 0xffff_ffff)],
        silent_engines: vec!["e-8".to_owned(), "e-9".to_owned()],
        engines_revision: 108,
        departures: departures(),
        crashes: crashes(),
        knows_rates: true,
        instances: 109,
        counted_for_ms: 110,
        teams: teams(),
        holds_lease: false,
        ordered_ago_ms: Some(111),
        orders: orders(),
        peers: vec![address("10.0.0.2:7946"), address("10.0.0.3:7947")],
    }
}

fn view(flags: [bool; 3], port: u16) -> InstanceView {
    InstanceView {
        caller_address: SocketAddr::from(([10, 1, 0, 1], port)),
        peer_address: SocketAddr::from(([10, 1, 0, 2], port + 1)),
        incarnation: 201,
        heartbeat: 202,
        failure_domain: "zone-b".to_owned(),
        ready: flags[0],
        departing: flags[1],
        suspected: flags[2],
    }
}

fn views() -> Vec<InstanceView> {
    vec![
        view([false, true, false], 2000),
        view([false, false, true], 3000),
    ]
}

fn delta() -> Delta {
    let refused = ConfigEntry {
        kind: "team".to_owned(),
        name: "search".to_owned(),
        version: 603,
        body: Some("{\"schema\":2}".to_owned()),
        last_readable: Some(Write {
            version: 604,
            body: Some("{\"schema\":1}".to_owned()),
        }),
    };
    let withdrawn = ConfigEntry {
        kind: "model".to_owned(),
        name: "m-large".to_owned(),
        version: 605,
        body: None,
        last_readable: None,
    };
    Delta {
        after: 601,
        revision: 602,
        is_full: true,
        entries: vec![refused, withdrawn],
    }
}

#[test]
fn a_heartbeat_of_another_build_is_understood() {
    let message = PeerMessage::Direct(Box::new(heartbeat()));
    check_message(&message, HEARTBEAT_DIRECT);
}

// No two flags have the same values in all three heartbeats, so that swapping
// two flags changes the bytes of at least one of them.

#[test]
fn a_heartbeat_to_relay_of_another_build_is_understood() {
    let message = PeerMessage::ToRelay(Box::new(Heartbeat {
        ready: false,
        stopped: true,
        holds_lease: true,
        ordered_ago_ms: None,
        ..heartbeat()
    }));
    check_message(&message, HEARTBEAT_TO_RELAY);
}

#[test]
fn a_relayed_heartbeat_of_another_build_is_understood() {
    let message = PeerMessage::Relayed(Box::new(Heartbeat {
        ready: false,
        has_store: true,
        knows_rates: false,
        holds_lease: true,
        ..heartbeat()
    }));
    check_message(&message, HEARTBEAT_RELAYED);
}

#[test]
fn requests_of_another_build_are_understood() {
    let exchange = PeerRequest::Exchange {
        from: view([true, false, false], 1000),
        digest: Digest {
            revision: 701,
            hash: u64::MAX - 1,
        },
        updates: views(),
        crashes: crashes(),
    };
    check_message(&exchange, REQUEST_EXCHANGE);
    let grant = PeerRequest::Grant {
        team: "search".to_owned(),
        tokens: 702,
    };
    check_message(&grant, REQUEST_GRANT);
    let give_back = PeerRequest::GiveBack {
        team: "search".to_owned(),
        part: 703,
        tokens: 704,
    };
    check_message(&give_back, REQUEST_GIVE_BACK);
    let crashes = PeerRequest::Crashes { crashes: crashes() };
    check_message(&crashes, REQUEST_CRASHES);
}

#[test]
fn replies_of_another_build_are_understood() {
    let exchange = PeerReply::Exchange {
        from: view([true, false, false], 1000),
        updates: views(),
        delta: delta(),
        crashes: crashes(),
    };
    check_message(&exchange, REPLY_EXCHANGE);
    let granted = PeerReply::Granted {
        tokens: 801,
        left_tokens: 802,
        part: 803,
    };
    check_message(&granted, REPLY_GRANTED);
    check_message(&PeerReply::Unsupported, REPLY_UNSUPPORTED);
    let crashes = PeerReply::Crashes { crashes: crashes() };
    check_message(&crashes, REPLY_CRASHES);
}

#[test]
fn team_records_of_another_build_are_understood() {
    let team = Team {
        schema: 1,
        priority: 3,
        first_token_ms: 450,
    };
    check_object(&team, TEAM);
    let rate = Rate {
        schema: 1,
        tokens_per_s: 9_000,
        burst_tokens: 60_000,
    };
    check_object(&rate, RATE);
    let key = Key {
        schema: 1,
        team: "search".to_owned(),
        digest: "0123456789abcdef".repeat(4),
    };
    check_object(&key, KEY);
}

#[test]
fn model_records_of_another_build_are_understood() {
    let model = Model {
        schema: 1,
        version: "w-42".to_owned(),
        concurrent_loads: 4,
    };
    check_object(&model, MODEL);
    let drain = Drain {
        schema: 1,
        model: "m-large".to_owned(),
    };
    check_object(&drain, DRAIN);
}

#[test]
fn upstream_records_of_another_build_are_understood() {
    let upstream = |role, departing| Upstream {
        schema: 1,
        address: address("10.2.0.1:9000"),
        failure_domain: "zone-a".to_owned(),
        role,
        departing,
    };
    let engine = UpstreamRole::Engine {
        model: "m-large".to_owned(),
        checks_fencing: true,
    };
    check_object(&upstream(engine, false), UPSTREAM_ENGINE);
    let service = UpstreamRole::Service {
        service: "billing".to_owned(),
        repeatable: true,
    };
    check_object(&upstream(service, true), UPSTREAM_SERVICE);
}

#[test]
fn slots_of_another_build_are_understood() {
    let slot = SlotBody {
        schema: 1,
        holder: address("10.0.0.1:8080"),
        incarnation: 901,
        nonce: 902,
        lease_ms: 903,
    };
    check_object(&slot, SLOT);
}

fn claim(epoch: Option<u64>, state: ClaimState) -> ClaimBody {
    ClaimBody {
        schema: 1,
        holder: address("10.0.0.1:8080"),
        incarnation: 911,
        nonce: 912,
        request: "c0ffee".to_owned(),
        epoch,
        state,
    }
}

fn ran(content_type: &str, body: ReplyBody) -> ClaimState {
    ClaimState::Ran(StoredReply {
        status: 201,
        content_type: content_type.to_owned(),
        body,
    })
}

#[test]
fn claims_of_another_build_are_understood() {
    check_object(&claim(None, ClaimState::Claimed), CLAIM_CLAIMED);
    check_object(
        &claim(Some(913), ClaimState::RanTooLong),
        CLAIM_RAN_TOO_LONG,
    );
    check_object(&claim(Some(914), ClaimState::Unknown), CLAIM_UNKNOWN);
    let text = ran("application/json", ReplyBody::Text("{\"id\":7}".to_owned()));
    check_object(&claim(Some(915), text), CLAIM_RAN_TEXT);
    let bytes = ran("application/x-any", ReplyBody::Bytes(vec![0, 159, 255]));
    check_object(&claim(Some(916), bytes), CLAIM_RAN_BYTES);
}

#[test]
fn epochs_of_another_build_are_understood() {
    let epoch = EpochBody {
        schema: 1,
        number: 917,
    };
    check_object(&epoch, EPOCH);
}

#[test]
fn rollout_plans_of_another_build_are_understood() {
    let plan = Plan {
        schema: 1,
        target: "w-42".to_owned(),
        fallback: "w-41".to_owned(),
        done: false,
        failure: Some(Failure {
            engine: "e-1".to_owned(),
            reason: "The weights are missing.".to_owned(),
        }),
    };
    check_object(&plan, PLAN_FAILED);
    let plan = Plan {
        done: true,
        failure: None,
        ..plan
    };
    check_object(&plan, PLAN_DONE);
}

/// Returns a histogram with another count in each bucket.
fn histogram() -> Histogram {
    let mut histogram = Histogram::default();
    let times_ms = [
        20, 40, 80, 150, 300, 500, 700, 1_000, 1_500, 3_000, 9_000, 20_000,
    ];
    for (count, time_ms) in (1..).zip(times_ms) {
        for _ in 0..count {
            histogram.record(time_ms);
        }
    }
    histogram
}

fn counts() -> Counts {
    Counts {
        complete: 21,
        cut: 22,
        abandoned: 23,
        rejected: 24,
        over_rate: 25,
        turned_away: 26,
        first_in_time: 27,
        first_late: 28,
        served_tokens: 29,
        over_rate_tokens: 30,
        first_token: histogram(),
    }
}

#[test]
fn burn_counts_of_another_build_are_understood() {
    let windows = Window::ALL.map(|window| WindowCounts {
        window,
        covered_ms: window.length_ms() - 1,
        counts: counts(),
    });
    let burn = InstanceBurn {
        caller_address: address("10.0.0.1:8080"),
        teams: vec![TeamBurn {
            team: "search".to_owned(),
            tokens_per_s: 9_000,
            windows: windows.to_vec(),
        }],
    };
    check_object(&burn, INSTANCE_BURN);
}

#[test]
fn burn_reports_of_another_build_are_understood() {
    let levels = [Level::Ok, Level::Slow, Level::Fast];
    let rows = Objective::ALL.into_iter().zip(levels);
    let windows = Window::ALL.map(|window| WindowBurn {
        window,
        good: 31,
        bad: 32,
        burn: 14.5,
    });
    let rows = rows.map(|(objective, level)| BurnRow {
        team: "search".to_owned(),
        objective,
        level,
        windows: windows.to_vec(),
    });
    let report = BurnReport {
        rows: rows.collect(),
        teams: vec![TeamSummary {
            team: "search".to_owned(),
            first_token_half_ms: Some(200),
            first_token_99_percent_ms: None,
            over_rate: vec![33, 34, 35],
            asked_percent: vec![36, 37, 38],
        }],
    };
    check_object(&report, BURN_REPORT);
}

fn instance_status(phase: Phase) -> InstanceStatus {
    InstanceStatus {
        caller_address: address("10.0.0.1:8080"),
        peer_address: address("[fd00::1]:7946"),
        failure_domain: "zone-a".to_owned(),
        incarnation: 51,
        program_version: "0.1.0".to_owned(),
        phase,
        revision: 52,
        refused: vec![RefusedRecord {
            kind: "team".to_owned(),
            name: "search".to_owned(),
            version: 53,
            why: "The record has no schema number.".to_owned(),
            earlier_in_force: true,
        }],
        open_requests: 54,
        queued: 55,
        slots: 56,
        upstreams: vec![upstream_status()],
        peers: vec![peer_status()],
        control: control_traffic(),
    }
}

fn upstream_status() -> UpstreamStatus {
    UpstreamStatus {
        name: "e-1".to_owned(),
        address: address("10.2.0.1:9000"),
        serves: "m-large".to_owned(),
        departing: true,
        state: "serving".to_owned(),
        version: Some("w-42".to_owned()),
        in_flight: 57,
        running: 58,
        waiting: 59,
    }
}

fn peer_status() -> PeerStatus {
    PeerStatus {
        caller_address: address("10.0.0.2:8080"),
        failure_domain: "zone-b".to_owned(),
        ready: true,
        departing: false,
        silent_ms: 60,
    }
}

fn control_traffic() -> ControlTraffic {
    ControlTraffic {
        platform_calls: 61,
        platform_bytes: 62,
        peer_messages: 63,
        peer_bytes: 64,
        engine_calls: 65,
        engine_bytes: 66,
    }
}

#[test]
fn instance_status_of_another_build_is_understood() {
    check_object(&instance_status(Phase::Starting), STATUS_STARTING);
    check_object(&instance_status(Phase::Ready), STATUS_READY);
    check_object(&instance_status(Phase::Departing), STATUS_DEPARTING);
}

#[test]
fn record_status_of_another_build_is_understood() {
    let status = RecordStatus {
        schema: 1,
        kind: "team".to_owned(),
        name: "search".to_owned(),
        version: 71,
        accepted: false,
        why: Some("Field priority is out of range.".to_owned()),
        version_in_force: 72,
        reader_schema: 73,
    };
    check_object(&status, RECORD_STATUS);
}

#[test]
fn explanations_of_another_build_are_understood() {
    let request = ExplainRequest {
        team: "search".to_owned(),
        model: "m-large".to_owned(),
        prompt: "Hello".to_owned(),
        max_tokens: 74,
    };
    check_object(&request, EXPLAIN_REQUEST);
    let reply = ExplainReply {
        engine: Some("e-1".to_owned()),
        refusal: Some("No engine is free.".to_owned()),
        steps: vec!["The rate has tokens left.".to_owned()],
        candidates: vec![Candidate {
            engine: "e-2".to_owned(),
            usable: true,
            reason: "It has the prefix.".to_owned(),
        }],
    };
    check_object(&reply, EXPLAIN_REPLY);
}

const HEARTBEAT_DIRECT: &str = concat!(
    "0003692d318080808080808080106667000a000001903f01fd0000000000000000000000000000018a3e",
    "067a6f6e652d610100006802076d2d6c617267652a0169076d2d736d616c6c2b000103652d3103f0a204",
    "a846020281808080d0dd3f6a6bffffffff0f0203652d3803652d396c02effdb6f50df5030007f6030102",
    "ffffffffffffffffff01ad02ae0201af02b002b10200016d6e010673656172636800000000004a934000",
    "00e8c00080b14200016f0303652d31076d2d6c617267652900910303652d32076d2d6c617267652a0192",
    "0303652d33076d2d6c617267652b02930302000a0000028a3e000a0000038b3e",
);

const HEARTBEAT_TO_RELAY: &str = concat!(
    "0103692d318080808080808080106667000a000001903f01fd0000000000000000000000000000018a3e",
    "067a6f6e652d610001006802076d2d6c617267652a0169076d2d736d616c6c2b000103652d3103f0a204",
    "a846020281808080d0dd3f6a6bffffffff0f0203652d3803652d396c02effdb6f50df5030007f6030102",
    "ffffffffffffffffff01ad02ae0201af02b002b10200016d6e010673656172636800000000004a934000",
    "00e8c00080b14201000303652d31076d2d6c617267652900910303652d32076d2d6c617267652a019203",
    "03652d33076d2d6c617267652b02930302000a0000028a3e000a0000038b3e",
);

const HEARTBEAT_RELAYED: &str = concat!(
    "0203692d318080808080808080106667000a000001903f01fd0000000000000000000000000000018a3e",
    "067a6f6e652d610000016802076d2d6c617267652a0169076d2d736d616c6c2b000103652d3103f0a204",
    "a846020281808080d0dd3f6a6bffffffff0f0203652d3803652d396c02effdb6f50df5030007f6030102",
    "ffffffffffffffffff01ad02ae0201af02b002b10200006d6e010673656172636800000000004a934000",
    "00e8c00080b14201016f0303652d31076d2d6c617267652900910303652d32076d2d6c617267652a0192",
    "0303652d33076d2d6c617267652b02930302000a0000028a3e000a0000038b3e",
);

const INSTANCE_BURN: &str = concat!(
    r#"{"caller_address":"10.0.0.1:8080","teams":[{"team":"search","tokens_per_s":9000,"#,
    r#""windows":[{"window":"5m","covered_ms":299999,"counts":{"complete":21,"cut":22,"#,
    r#""abandoned":23,"rejected":24,"over_rate":25,"turned_away":26,"first_in_time":27,"#,
    r#""first_late":28,"served_tokens":29,"over_rate_tokens":30,"first_token":[1,2,3,4,5,6,"#,
    r#"7,8,9,10,11,12]}},{"window":"1h","covered_ms":3599999,"counts":{"complete":21,"#,
    r#""cut":22,"abandoned":23,"rejected":24,"over_rate":25,"turned_away":26,"#,
    r#""first_in_time":27,"first_late":28,"served_tokens":29,"over_rate_tokens":30,"#,
    r#""first_token":[1,2,3,4,5,6,7,8,9,10,11,12]}},{"window":"6h","covered_ms":21599999,"#,
    r#""counts":{"complete":21,"cut":22,"abandoned":23,"rejected":24,"over_rate":25,"#,
    r#""turned_away":26,"first_in_time":27,"first_late":28,"served_tokens":29,"#,
    r#""over_rate_tokens":30,"first_token":[1,2,3,4,5,6,7,8,9,10,11,12]}}]}]}"#,
);

const BURN_REPORT: &str = concat!(
    r#"{"rows":[{"team":"search","objective":"first_token","level":"ok","#,
    r#""windows":[{"window":"5m","good":31,"bad":32,"burn":14.5},{"window":"1h","good":31,"#,
    r#""bad":32,"burn":14.5},{"window":"6h","good":31,"bad":32,"burn":14.5}]},"#,
    r#"{"team":"search","objective":"complete","level":"slow","windows":[{"window":"5m","#,
    r#""good":31,"bad":32,"burn":14.5},{"window":"1h","good":31,"bad":32,"burn":14.5},"#,
    r#"{"window":"6h","good":31,"bad":32,"burn":14.5}]},{"team":"search","#,
    r#""objective":"admitted","level":"fast","windows":[{"window":"5m","good":31,"bad":32,"#,
    r#""burn":14.5},{"window":"1h","good":31,"bad":32,"burn":14.5},{"window":"6h","#,
    r#""good":31,"bad":32,"burn":14.5}]}],"teams":[{"team":"search","#,
    r#""first_token_half_ms":200,"first_token_99_percent_ms":null,"over_rate":[33,34,35],"#,
    r#""asked_percent":[36,37,38]}]}"#,
);

const CLAIM_CLAIMED: &str = concat!(
    r#"{"schema":1,"holder":"10.0.0.1:8080","incarnation":911,"nonce":912,"#,
    r#""request":"c0ffee","epoch":null,"state":"claimed"}"#,
);

const CLAIM_RAN_TOO_LONG: &str = concat!(
    r#"{"schema":1,"holder":"10.0.0.1:8080","incarnation":911,"nonce":912,"#,
    r#""request":"c0ffee","epoch":913,"state":"ran_too_long"}"#,
);

const CLAIM_UNKNOWN: &str = concat!(
    r#"{"schema":1,"holder":"10.0.0.1:8080","incarnation":911,"nonce":912,"#,
    r#""request":"c0ffee","epoch":914,"state":"unknown"}"#,
);

const CLAIM_RAN_TEXT: &str = concat!(
    r#"{"schema":1,"holder":"10.0.0.1:8080","incarnation":911,"nonce":912,"#,
    r#""request":"c0ffee","epoch":915,"state":{"ran":{"status":201,"#,
    r#""content_type":"application/json","body":{"text":"{\"id\":7}"}}}}"#,
);

const CLAIM_RAN_BYTES: &str = concat!(
    r#"{"schema":1,"holder":"10.0.0.1:8080","incarnation":911,"nonce":912,"#,
    r#""request":"c0ffee","epoch":916,"state":{"ran":{"status":201,"#,
    r#""content_type":"application/x-any","body":{"bytes":[0,159,255]}}}}"#,
);

const EPOCH: &str = r#"{"schema":1,"number":917}"#;

const EXPLAIN_REQUEST: &str =
    r#"{"team":"search","model":"m-large","prompt":"Hello","max_tokens":74}"#;

const EXPLAIN_REPLY: &str = concat!(
    r#"{"engine":"e-1","refusal":"No engine is free.","#,
    r#""steps":["The rate has tokens left."],"candidates":[{"engine":"e-2","usable":true,"#,
    r#""reason":"It has the prefix."}]}"#,
);

const STATUS_STARTING: &str = concat!(
    r#"{"caller_address":"10.0.0.1:8080","peer_address":"[fd00::1]:7946","#,
    r#""failure_domain":"zone-a","incarnation":51,"program_version":"0.1.0","#,
    r#""phase":"starting","revision":52,"refused":[{"kind":"team","name":"search","#,
    r#""version":53,"why":"The record has no schema number.","earlier_in_force":true}],"#,
    r#""open_requests":54,"queued":55,"slots":56,"upstreams":[{"name":"e-1","#,
    r#""address":"10.2.0.1:9000","serves":"m-large","departing":true,"state":"serving","#,
    r#""version":"w-42","in_flight":57,"running":58,"waiting":59}],"#,
    r#""peers":[{"caller_address":"10.0.0.2:8080","failure_domain":"zone-b","ready":true,"#,
    r#""departing":false,"silent_ms":60}],"control":{"platform_calls":61,"#,
    r#""platform_bytes":62,"peer_messages":63,"peer_bytes":64,"engine_calls":65,"#,
    r#""engine_bytes":66}}"#,
);

const STATUS_READY: &str = concat!(
    r#"{"caller_address":"10.0.0.1:8080","peer_address":"[fd00::1]:7946","#,
    r#""failure_domain":"zone-a","incarnation":51,"program_version":"0.1.0","#,
    r#""phase":"ready","revision":52,"refused":[{"kind":"team","name":"search","#,
    r#""version":53,"why":"The record has no schema number.","earlier_in_force":true}],"#,
    r#""open_requests":54,"queued":55,"slots":56,"upstreams":[{"name":"e-1","#,
    r#""address":"10.2.0.1:9000","serves":"m-large","departing":true,"state":"serving","#,
    r#""version":"w-42","in_flight":57,"running":58,"waiting":59}],"#,
    r#""peers":[{"caller_address":"10.0.0.2:8080","failure_domain":"zone-b","ready":true,"#,
    r#""departing":false,"silent_ms":60}],"control":{"platform_calls":61,"#,
    r#""platform_bytes":62,"peer_messages":63,"peer_bytes":64,"engine_calls":65,"#,
    r#""engine_bytes":66}}"#,
);

const STATUS_DEPARTING: &str = concat!(
    r#"{"caller_address":"10.0.0.1:8080","peer_address":"[fd00::1]:7946","#,
    r#""failure_domain":"zone-a","incarnation":51,"program_version":"0.1.0","#,
    r#""phase":"departing","revision":52,"refused":[{"kind":"team","name":"search","#,
    r#""version":53,"why":"The record has no schema number.","earlier_in_force":true}],"#,
    r#""open_requests":54,"queued":55,"slots":56,"upstreams":[{"name":"e-1","#,
    r#""address":"10.2.0.1:9000","serves":"m-large","departing":true,"state":"serving","#,
    r#""version":"w-42","in_flight":57,"running":58,"waiting":59}],"#,
    r#""peers":[{"caller_address":"10.0.0.2:8080","failure_domain":"zone-b","ready":true,"#,
    r#""departing":false,"silent_ms":60}],"control":{"platform_calls":61,"#,
    r#""platform_bytes":62,"peer_messages":63,"peer_bytes":64,"engine_calls":65,"#,
    r#""engine_bytes":66}}"#,
);

const MODEL: &str = r#"{"schema":1,"version":"w-42","concurrent_loads":4}"#;

const DRAIN: &str = r#"{"schema":1,"model":"m-large"}"#;

const RECORD_STATUS: &str = concat!(
    r#"{"schema":1,"kind":"team","name":"search","version":71,"accepted":false,"#,
    r#""why":"Field priority is out of range.","version_in_force":72,"reader_schema":73}"#,
);

const REPLY_EXCHANGE: &str = concat!(
    "00000a010001e807000a010002e907c901ca01067a6f6e652d6201000002000a010001d00f000a010002",
    "d10fc901ca01067a6f6e652d62000100000a010001b817000a010002b917c901ca01067a6f6e652d6200",
    "0001d904da040102047465616d06736561726368db04010c7b22736368656d61223a327d01dc04010c7b",
    "22736368656d61223a317d056d6f64656c076d2d6c61726765dd04000002ffffffffffffffffff01ad02",
    "ae0201af02b002b10200",
);

const REPLY_GRANTED: &str = "01a106a206a306";

const REPLY_UNSUPPORTED: &str = "02";

const REPLY_CRASHES: &str = "0302ffffffffffffffffff01ad02ae0201af02b002b10200";

const REQUEST_EXCHANGE: &str = concat!(
    "00000a010001e807000a010002e907c901ca01067a6f6e652d62010000bd05feffffffffffffffff0102",
    "000a010001d00f000a010002d10fc901ca01067a6f6e652d62000100000a010001b817000a010002b917",
    "c901ca01067a6f6e652d6200000102ffffffffffffffffff01ad02ae0201af02b002b10200",
);

const REQUEST_GRANT: &str = "0106736561726368be05";

const REQUEST_GIVE_BACK: &str = "0206736561726368bf05c005";

const REQUEST_CRASHES: &str = "0302ffffffffffffffffff01ad02ae0201af02b002b10200";

const PLAN_FAILED: &str = concat!(
    r#"{"schema":1,"target":"w-42","good":"w-41","done":false,"failure":{"engine":"e-1","#,
    r#""reason":"The weights are missing."}}"#,
);

const PLAN_DONE: &str = r#"{"schema":1,"target":"w-42","good":"w-41","done":true,"failure":null}"#;

const SLOT: &str =
    r#"{"schema":1,"holder":"10.0.0.1:8080","incarnation":901,"nonce":902,"lease_ms":903}"#;

const TEAM: &str = r#"{"schema":1,"priority":3,"first_token_ms":450}"#;

const RATE: &str = r#"{"schema":1,"tokens_per_s":9000,"burst_tokens":60000}"#;

const KEY: &str = concat!(
    r#"{"schema":1,"team":"search","#,
    r#""digest":"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"}"#,
);

const UPSTREAM_ENGINE: &str = concat!(
    r#"{"schema":1,"address":"10.2.0.1:9000","failure_domain":"zone-a","#,
    r#""role":{"engine":{"model":"m-large","checks_fencing":true}},"departing":false}"#,
);

const UPSTREAM_SERVICE: &str = concat!(
    r#"{"schema":1,"address":"10.2.0.1:9000","failure_domain":"zone-a","#,
    r#""role":{"service":{"service":"billing","repeatable":true}},"departing":true}"#,
);
