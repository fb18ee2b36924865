//! Attribution of crashes to requests, and its exchange between instances.

use {
    mangowalk_core::poison::{
        CRASH_RETENTION_MS, CrashReport, MAX_CRASHES, PoisonLedger, most_suspect,
    },
    proptest::prelude::*,
    std::collections::BTreeSet,
};

const POISON: u64 = 0;

proptest! {
    /// One request crashes every upstream that runs it, with other requests on
    /// the same upstream. It must reach the limit after three crashes, and no
    /// crash may count against the others: from the second crash on, the poison
    /// request has the most crashes, and the first crash is attributed to it as
    /// well.
    #[test]
    fn only_the_poison_request_reaches_the_crash_limit(
        crashes in prop::collection::vec(prop::collection::btree_set(1u64..20, 0..6), 3..8),
    ) {
        let mut ledger = PoisonLedger::default();
        for (crash, neighbours) in crashes.iter().enumerate().take(MAX_CRASHES) {
            let on_upstream: Vec<(u64, usize)> = [POISON]
                .iter()
                .chain(neighbours)
                .filter(|r| **r == POISON || ledger.crashes(**r, 0) == 0)
                .map(|r| (*r, ledger.crashes(*r, 0)))
                .collect();
            for request in most_suspect(&on_upstream) {
                ledger.record_crash(request, crash as u64, 0);
            }
        }
        prop_assert_eq!(ledger.crashes(POISON, 0), MAX_CRASHES);
        for neighbour in 1..20 {
            prop_assert_eq!(ledger.crashes(neighbour, 0), 0);
        }
    }

    /// Reports arrive in any order, repeated or late. All instances must end
    /// with the same counts, and a request that completed on one instance must
    /// be cleared on all.
    #[test]
    fn merging_reports_does_not_depend_on_their_order(
        reports in prop::collection::vec(
            (0u64..4, 0u64..4, any::<bool>()).prop_map(|(request, crash, cleared)| CrashReport {
                request, crash, age_ms: 0, cleared,
            }),
            0..12,
        ).prop_flat_map(|reports| (Just(reports.clone()), Just(reports).prop_shuffle())),
    ) {
        let (one, other) = reports;
        let (mut a, mut b) = (PoisonLedger::default(), PoisonLedger::default());
        a.merge(&one, 0);
        b.merge(&other, 0);
        b.merge(&one, 0);
        let charged = |request: u64| -> BTreeSet<u64> {
            let of = |cleared: bool| -> BTreeSet<u64> {
                let reports = one.iter().filter(|s| s.request == request && s.cleared == cleared);
                reports.map(|s| s.crash).collect()
            };
            of(false).difference(&of(true)).copied().collect()
        };
        for request in 0..4 {
            let own = charged(request);
            let more_suspect: BTreeSet<u64> = (0..4)
                .map(charged)
                .filter(|other| other.len() > own.len())
                .flatten()
                .collect();
            let counted = own.difference(&more_suspect).count();
            prop_assert_eq!(a.crashes(request, 0), counted);
            prop_assert_eq!(b.crashes(request, 0), counted);
        }
    }
}

/// Two instances keep exchanging reports of one crash. The crash must still
/// expire: if reports were dated by their time of receipt, each instance would
/// extend the retention on the other, and a request would be refused forever
/// for a fault of an engine.
#[test]
fn exchanging_reports_does_not_extend_their_retention() {
    let (mut a, mut b) = (PoisonLedger::default(), PoisonLedger::default());
    a.record_crash(1, 1, 0);
    for now_ms in (CRASH_RETENTION_MS / 2..=CRASH_RETENTION_MS).step_by(1_000) {
        b.merge(&a.reports(now_ms), now_ms);
        a.merge(&b.reports(now_ms), now_ms);
    }
    assert_eq!(
        (
            a.crashes(1, CRASH_RETENTION_MS),
            b.crashes(1, CRASH_RETENTION_MS)
        ),
        (0, 0)
    );
    assert!(a.reports(CRASH_RETENTION_MS).is_empty());
}

/// A caller keeps sending new requests that crash engines. The number of
/// recorded requests must stay bounded, and the latest must be kept.
#[test]
fn the_ledger_stays_bounded() {
    let mut ledger = PoisonLedger::default();
    for request in 0..6_000 {
        ledger.record_crash(request, request, request);
    }
    let held = (0..6_000).filter(|r| ledger.crashes(*r, 6_000) > 0).count();
    assert_eq!(held, 4_096);
    assert_eq!(ledger.crashes(5_999, 6_000), 1);
}
