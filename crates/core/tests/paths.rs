//! Paths of an instance to the engines, and the peers that serve its requests while it has
//! none.

use mangowalk_core::path::{
    PathReport, PathSettings, PeerCandidate, PeerPaths, ServicePaths, choose_peer, sample_engines,
};

fn report(incarnation: u64, up_ms: u64, cut_services: &[&str]) -> PathReport {
    PathReport {
        name: "m1".to_owned(),
        incarnation,
        up_ms,
        cut_services: cut_services.iter().map(|name| name.to_string()).collect(),
        valid_ms: 1_200,
    }
}

/// Guards against a connection from before a cut, accepted late, ending the cut.
#[test]
fn only_a_connection_begun_after_the_loss_brings_the_path_back() {
    let mut paths = ServicePaths::default();
    assert_eq!(paths.record_accepted("llm", 100), None);
    paths.record_lost("llm", 500);
    assert_eq!(paths.record_accepted("llm", 499), None);
    assert!(paths.is_lost("llm") && !paths.is_lost("desk"));
    assert_eq!(paths.record_accepted("llm", 700), Some(500));
    assert!(!paths.is_lost("llm"));
    assert!(paths.was_accepted_since("llm", 700) && !paths.was_accepted_since("llm", 701));
}

/// Guards against an older report, or one whose author has fallen silent, keeping
/// requests from a peer.
#[test]
fn reports_of_peers_end_and_never_go_back() {
    let mut peers = PeerPaths::default();
    peers.apply(report(1, 900, &["llm"]), 1_000);
    assert!(peers.is_cut("m1", "llm", 2_199) && !peers.is_cut("m1", "desk", 2_199));
    assert!(!peers.is_cut("m1", "llm", 2_200));
    peers.apply(report(1, 1_000, &[]), 1_100);
    peers.apply(report(1, 900, &["llm"]), 1_150);
    assert!(!peers.is_cut("m1", "llm", 1_200));
    peers.apply(report(2, 5, &["llm"]), 1_300);
    assert!(peers.is_cut("m1", "llm", 1_400));
    peers.retain(|name| name != "m1");
    assert!(!peers.is_cut("m1", "llm", 1_400));
}

/// Guards against instances that are cut off together all choosing one peer.
#[test]
fn requests_are_spread_over_the_peers() {
    let names: Vec<String> = (0..10).map(|number| format!("m{number}")).collect();
    let mut open = [0_u32; 10];
    for draw in 0..1_000_u64 {
        let candidates = names.iter().zip(open).map(|(name, open)| PeerCandidate {
            name,
            address: "127.0.0.1:7602".parse().expect("an address"),
            is_near: name == "m0",
            open,
        });
        let chosen = choose_peer(candidates, draw.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let chosen = chosen.expect("there are candidates").name;
        let index = names.iter().position(|name| name == chosen);
        open[index.expect("a candidate")] += 1;
    }
    let (least, most) = (open.iter().min(), open.iter().max());
    assert!(most <= Some(&110) && least >= Some(&90), "{open:?}");
    assert!(choose_peer(std::iter::empty(), 1).is_none());
}

/// Guards against reports of a fleet that is cut off filling its links.
#[test]
fn reports_of_large_fleets_are_rarer_and_hold_longer() {
    let settings = PathSettings::default();
    let intervals = [5, 100, 300, 1_000].map(|peers| settings.report_interval_ms(peers));
    assert_eq!(intervals, [300, 300, 600, 2_000]);
    assert_eq!(settings.report_valid_ms(1_000), 8_000);
}

/// Guards against a check of the path that tries engines of one failure domain only.
#[test]
fn a_sample_holds_engines_of_all_domains() {
    use mangowalk_core::pool::{EngineEntry, Incarnation, KnownEngine};
    let engines: Vec<KnownEngine> = (0..12)
        .map(|number| {
            KnownEngine::new(EngineEntry {
                incarnation: Incarnation {
                    id: format!("e{number}"),
                    born_ms: 0,
                },
                revision: 1,
                service: "llm".to_owned(),
                software: "v1".to_owned(),
                address: "127.0.0.1:80".parse().expect("an address"),
                domain: format!("d{}", number % 4),
                slots: 8,
                draining: false,
                models: Vec::new(),
                cold_left_ms: 0,
            })
        })
        .collect();
    for draw in 0..20 {
        let sample = sample_engines(engines.iter(), 4, draw, 0);
        let mut domains: Vec<&str> = sample.iter().map(|entry| entry.domain.as_str()).collect();
        domains.sort_unstable();
        assert_eq!(domains, ["d0", "d1", "d2", "d3"]);
    }
}
