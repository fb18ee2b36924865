//! Whom a crash is charged to, and how instances tell each other.

use {
    mangowalk_core::poison::{
        CRASH_RETENTION_MS, CrashReport, MAX_CRASHES, PoisonLedger, most_suspect,
    },
    proptest::prelude::*,
    std::collections::BTreeSet,
};

const POISON: u64 = 0;

proptest! {
    /// One request crashes whatever runs it, and others run beside it. Nobody
    /// knows which it is. It is refused after three crashes all the same, and
    /// none of its neighbours answers for any: from the second crash on it is
    /// the most suspect, and the first is its own too.
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

    /// Exchanges come in any order, twice or late. Every instance ends with
    /// the same count, and a request that completed anywhere is clear
    /// everywhere.
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

/// Two instances tell each other of a crash, one long after it. It is forgotten all
/// the same: told with a time of receipt, each would keep it alive for the
/// other, and an engine's own fault would condemn a request for ever.
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

/// A caller sends ever new requests that crash engines. What is remembered
/// stays bounded, and the latest are kept.
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
