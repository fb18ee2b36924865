//! Known contents of the KV cache stores.

use {
    mangowalk_core::kv_store::{
        Candidate, KvStoreReport, KvStoreSettings, KvStores, StoreContents, kv_store_key,
        served_domains,
    },
    std::{collections::BTreeSet, net::SocketAddr},
};

/// A KV cache store that restarts is empty, so no part may count as stored; nor
/// while it does not answer.
#[test]
fn a_kv_store_is_empty_after_a_restart() {
    let mut cache_store = StoreContents::default();
    let key = kv_store_key("w1", 5);
    cache_store.record_answer(10, false);
    cache_store.apply_change(key, true);
    assert!(cache_store.holds(key) && !cache_store.holds(kv_store_key("w2", 5)));
    cache_store.mark_down();
    assert!(!cache_store.holds(key));
    cache_store.record_answer(11, false);
    assert!(!cache_store.holds(key));
}

/// Many requests read the same part at the same time. Only one engine may be
/// asked to save it to the store; another is asked once the first must have
/// given up.
#[test]
fn a_part_is_saved_by_one_engine_at_a_time() {
    let mut cache_store = KvStores::default();
    assert!(cache_store.claim_save(5, 1_000));
    assert!(!cache_store.claim_save(5, 1_001) && !cache_store.claim_save(5, 3_499));
    assert!(cache_store.claim_save(6, 1_001));
    assert!(cache_store.claim_save(5, 3_500));
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 8_260))
}

fn stores(count: u8) -> KvStores {
    let mut stores = KvStores::default();
    let addresses: Vec<SocketAddr> = (1..=count).map(address).collect();
    stores.set_addresses(&addresses, 0);
    for address in addresses {
        let contents = stores.contents_mut(address).expect("it is configured");
        contents.record_answer(1, false);
    }
    stores
}

fn report(changes: Vec<(u64, bool)>, held_count: u32) -> KvStoreReport {
    KvStoreReport {
        store: address(1),
        epoch: 1,
        is_up: true,
        held_count,
        changes,
    }
}

/// One of two stores would stay empty, and its link unused, if all parts were saved
/// in the first one of the configuration.
#[test]
fn parts_are_spread_over_all_stores() {
    let stores = stores(3);
    let mut counts = [0; 3];
    for part in 0..3_000 {
        let home = stores.home(part * 7_919).expect("a store answers");
        let number = (1..=3).position(|number| address(number) == home);
        counts[number.expect("it is one of the three")] += 1;
    }
    assert!(
        counts.iter().all(|count| (800..1_200).contains(count)),
        "{counts:?}"
    );
}

/// A store that is lost must not move the parts of the others, and its own parts are
/// saved in those that answer.
#[test]
fn a_lost_store_moves_only_its_own_parts() {
    let mut stores = stores(3);
    let before: Vec<_> = (0..500).map(|part| stores.home(part)).collect();
    stores
        .contents_mut(address(2))
        .expect("it is configured")
        .mark_down();
    for (part, home) in (0..500).zip(before) {
        let after = stores.home(part);
        assert!(after.is_some() && after != Some(address(2)));
        assert!(home == Some(address(2)) || home == after);
    }
}

/// An instance that follows no store must know from reports what the stores hold;
/// otherwise it would have each part saved again with each use.
#[test]
fn reports_of_peers_tell_what_a_store_holds() {
    let mut stores = stores(2);
    stores.apply_report(&report(vec![(5, true), (6, true), (5, false)], 1), 100);
    assert_eq!(stores.holder(6), Some(address(1)));
    assert_eq!(stores.holder(5), None);
    let restarted = KvStoreReport {
        epoch: 2,
        ..report(Vec::new(), 0)
    };
    stores.apply_report(&restarted, 200);
    assert_eq!(stores.holder(6), None);
    let down = KvStoreReport {
        is_up: false,
        ..report(Vec::new(), 0)
    };
    stores.apply_report(&down, 300);
    assert_eq!(
        stores.home(6),
        Some(address(2)),
        "only the other one answers"
    );
}

/// If the follower of a failure domain is lost, entries may be out of date. Nothing
/// counts as held then, and the store as answering, as fetches show whether it does.
#[test]
fn without_reports_nothing_is_known_of_a_store() {
    let settings = KvStoreSettings::default();
    let mut stores = stores(1);
    stores.apply_report(&report(vec![(6, true)], 1), 1_000);
    stores.expire_reports(&settings, 2_999);
    assert_eq!(stores.holder(6), Some(address(1)));
    stores.expire_reports(&settings, 3_000);
    assert_eq!(stores.holder(6), None);
    assert_eq!(stores.home(6), Some(address(1)));
}

/// A new instance has missed all earlier reports. It reads the changes once, and not
/// again with each report that follows.
#[test]
fn an_instance_that_is_behind_reads_the_changes_once() {
    let settings = KvStoreSettings::default();
    let mut stores = stores(1);
    stores.apply_report(&report(vec![(6, true)], 20), 1_000);
    assert!(
        stores.take_catch_ups(&settings, 1_000).is_empty(),
        "a few are missing"
    );
    stores.apply_report(&report(Vec::new(), 500), 1_100);
    assert_eq!(stores.take_catch_ups(&settings, 1_100), [address(1)]);
    assert!(stores.take_catch_ups(&settings, 1_200).is_empty());
    assert_eq!(stores.take_catch_ups(&settings, 6_100), [address(1)]);
}

/// A store refuses calls beyond a dozen. Whatever the size of the fleet, few
/// instances may follow, and each failure domain must be served by exactly one.
#[test]
fn each_failure_domain_is_served_by_one_of_few_followers() {
    for (instances, domains, max_followers) in [(9, 3, 8), (95, 6, 8), (354, 6, 8), (60, 20, 8)] {
        let names: Vec<(String, String)> = (0..instances)
            .map(|n| (format!("edge-{n}"), format!("domain-{}", n % domains)))
            .collect();
        let live = || {
            names
                .iter()
                .map(|(name, domain)| Candidate { name, domain })
        };
        let mut served = Vec::new();
        let mut followers = 0;
        for (name, _) in &names {
            let domains = served_domains(name, live(), max_followers);
            followers += usize::from(!domains.is_empty());
            served.extend(domains);
        }
        let distinct: BTreeSet<&str> = served.iter().copied().collect();
        assert_eq!((served.len(), distinct.len()), (domains, domains));
        assert!(followers <= max_followers, "{followers} of {instances}");
    }
}
