//! Memory and processing time of the state of one process.

use {
    crate::process::own_resident_kib,
    mangowalk_core::{
        config::{Delta, Store, View},
        limits::Ledger,
        peer::{InstanceView, PeerReply},
        record::Rate,
    },
    mangowalkd::shared_state::SharedPeers,
    serde_json::json,
    std::{hint::black_box, net::SocketAddr, time::Instant},
};

const RECORDS: [usize; 3] = [500, 2_000, 8_000];
const INSTANCES: [usize; 4] = [8, 32, 128, 350];
const TEAMS: [u64; 3] = [5, 58, 230];
const REPEATS: u32 = 50;

/// Exchanges after which an answer contains no membership updates.
const SETTLE_ROUNDS: u32 = 5_000;

/// Prints the cost of the state for increasing numbers of records, instances and
/// teams.
pub(crate) fn measure() {
    println!("## Records in force\n");
    println!("| records | memory KiB | view rebuilt us | one merge us |");
    println!("| --- | --- | --- | --- |");
    for records in RECORDS {
        config(records);
    }
    println!("\n## Exchange between instances\n");
    println!("| instances known | bytes of an answer with news | at rest |");
    println!("| --- | --- | --- |");
    for instances in INSTANCES {
        exchange(instances);
    }
    println!("\n## Tokens\n");
    println!("| teams | ns to mint and take for every team |");
    println!("| --- | --- |");
    for teams in TEAMS {
        tokens(teams);
    }
}

fn config(records: usize) {
    let before_kib = own_resident_kib();
    let mut store = Store::default();
    for i in 0..records {
        let body = json!({
            "schema": 1,
            "address": SocketAddr::from(([10, 0, (i >> 8) as u8, i as u8], 8_000)),
            "failure_domain": "domain-1",
            "role": { "engine": { "model": "drafting" } },
        });
        let name = format!("engine-{i}");
        store.merge("upstream", &name, i as u64 + 1, Some(&body.to_string()));
    }
    let view = View::of(&store);
    let memory_kib = own_resident_kib().saturating_sub(before_kib);
    let started = Instant::now();
    for _ in 0..REPEATS {
        black_box(View::of(&store));
    }
    let view_us = started.elapsed().as_micros() / u128::from(REPEATS);
    let body = json!({ "schema": 1 }).to_string();
    let started = Instant::now();
    for i in 0..REPEATS {
        let version = records as u64 + 2 + u64::from(i);
        store.merge("team", "gallery", version, Some(&body));
    }
    let merge_us = started.elapsed().as_micros() / u128::from(REPEATS);
    println!("| {records} | {memory_kib} | {view_us} | {merge_us} |");
    black_box((store, view));
}

fn exchange(instances: usize) {
    let view = |i: usize| InstanceView {
        caller_address: SocketAddr::from(([10, 0, (i >> 8) as u8, i as u8], 8_000)),
        peer_address: SocketAddr::from(([10, 0, (i >> 8) as u8, i as u8], 8_001)),
        incarnation: u64::MAX / (i as u64 + 1),
        heartbeat: 1 << 20,
        failure_domain: "domain-1".to_owned(),
        ready: true,
        departing: false,
        suspected: false,
    };
    let peers = SharedPeers::default();
    for i in 1..instances {
        peers.merge_indirect(&view(i), i as u64);
    }
    let mean_bytes = |rounds: u32| -> usize {
        let bytes: usize = (0..rounds).map(|_| answer_bytes(&peers, view(0))).sum();
        bytes / rounds as usize
    };
    let fresh_bytes = mean_bytes(1);
    mean_bytes(SETTLE_ROUNDS);
    println!("| {instances} | {fresh_bytes} | {} |", mean_bytes(REPEATS));
}

fn answer_bytes(peers: &SharedPeers, from: InstanceView) -> usize {
    let reply = PeerReply::Exchange {
        from,
        updates: peers.next_updates(),
        delta: Delta::default(),
        crashes: Vec::new(),
    };
    postcard::to_stdvec(&reply).map_or(0, |b| b.len())
}

fn tokens(teams: u64) {
    let rate = Rate {
        schema: 1,
        tokens_per_s: 100_000,
        burst_tokens: 400_000,
    };
    let mut ledger = Ledger::default();
    for slot in 0..2 {
        ledger.hold(slot, u64::MAX, 0);
    }
    let names: Vec<String> = (0..teams).map(|i| format!("team-{i}")).collect();
    let started = Instant::now();
    for now_ms in 1..=u64::from(REPEATS) {
        for name in &names {
            if let Some(reservation) = black_box(ledger.take(name, &rate, 10, now_ms)) {
                ledger.settle(&reservation, 5);
            }
        }
    }
    let ns = started.elapsed().as_nanos() / u128::from(REPEATS);
    println!("| {teams} | {ns} |");
}
