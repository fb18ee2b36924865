//! Orders of events around the end of a lease that generated cases rarely
//! reach, and the capacity that a reservation keeps in its bucket.

use {
    super::model::{Model, Op},
    mangowalk_core::{
        limits::{Bucket, InstanceLimits, SHORT_LEASE_MS, SLOTS_PER_TEAM, team_slots},
        record::Rate,
    },
};

const RATE: Rate = Rate {
    schema: 1,
    tokens_per_s: 700,
    burst_tokens: 900,
};

/// Rate at which refilling the burst takes longer than the wait before an
/// expired lease is taken over.
const SLOW: Rate = Rate {
    schema: 1,
    tokens_per_s: 20,
    burst_tokens: 900,
};

const TAKE_ALL: [Op; 3] = [
    Op::Take {
        instance: 0,
        percent: 100,
    },
    Op::Take {
        instance: 1,
        percent: 100,
    },
    Op::Take {
        instance: 2,
        percent: 100,
    },
];

/// The holder's clock runs 0.5 % slow and the observer's 0.5 % fast, so the
/// lease ends earlier for the observer than for the holder. The observer must
/// wait beyond the lease by the allowance for clock drift; otherwise both would
/// spend the same share of the burst.
#[test]
fn takeover_waits_for_the_lease_and_clock_drift() {
    let mut model = Model::new(3, &RATE);
    model.advance_to(SHORT_LEASE_MS - 500);
    model.apply(&Op::Sync {
        instance: 0,
        live: 1,
    });
    model.apply(&Op::Advance(700));
    TAKE_ALL.iter().for_each(|op| model.apply(op));
    assert_eq!(model.check(), Ok(()));
}

/// A renewal takes effect on the platform, but its answer reaches the holder
/// 110 s later. Other instances see the renewal when it takes effect, so the
/// lease must start before the write was sent. If it started at the answer,
/// holder and successor would both refill for 110 s.
#[test]
fn a_lease_starts_before_its_write_is_sent() {
    let mut model = Model::new(3, &SLOW);
    let mut ops = vec![
        Op::Advance(SHORT_LEASE_MS / 2),
        Op::Begin {
            instance: 1,
            live: 3,
        },
        Op::Arrive {
            instance: 1,
            outcome: 9,
        },
        Op::List(0),
        Op::Advance(110_000),
        Op::Answer(1),
        Op::Advance(13_000),
        Op::Sync {
            instance: 0,
            live: 1,
        },
        Op::Advance(60_000),
    ];
    ops.extend(TAKE_ALL);
    ops.iter().for_each(|op| model.apply(op));
    assert_eq!(model.check(), Ok(()));
}

/// All buckets are emptied just before leases expire. The old holder must not
/// refill for the time after the expiry, although its other slots leave
/// capacity in its bucket, because its successor refills for that time.
#[test]
fn no_tokens_are_refilled_after_a_lease_ends() {
    let mut model = Model::new(3, &SLOW);
    model.advance_to(SHORT_LEASE_MS / 2 + 1_000);
    model.apply(&Op::Sync {
        instance: 0,
        live: 3,
    });
    model.apply(&Op::Sync {
        instance: 2,
        live: 3,
    });
    model.advance_to(SHORT_LEASE_MS - 500);
    TAKE_ALL.iter().for_each(|op| model.apply(op));
    model.advance_to(SHORT_LEASE_MS + 3_000);
    model.apply(&Op::Sync {
        instance: 0,
        live: 1,
    });
    model.apply(&TAKE_ALL[0]);
    model.apply(&Op::Advance(20_000));
    TAKE_ALL.iter().for_each(|op| model.apply(op));
    assert_eq!(model.check(), Ok(()));
}

/// A bucket refills while two reservations are open. The refill must reduce the
/// refund of the older debit; the newer one is still refunded in full.
#[test]
fn refill_reduces_the_refund_of_the_oldest_debit_first() {
    let forever = || std::iter::repeat_n(u64::MAX, SLOTS_PER_TEAM);
    let mut bucket = Bucket::empty(&RATE, 0);
    bucket.refill(forever(), 10_000);
    assert!(bucket.take(100, 1) && bucket.take(100, 2));
    bucket.refill(forever(), 10_100);
    assert_eq!(bucket.refund(100, 2), 0);
    assert_eq!(bucket.refund(100, 1), 70);
    assert_eq!(bucket.tokens(), 900);
}

/// An instance restarts on the same address while tokens that it granted are in
/// use. The refund reaches the new process, which did not grant them. If it
/// matched the refund to a debit of its own, the tokens would come on top of
/// its bucket.
#[test]
fn a_restarted_instance_ignores_refunds_of_earlier_grants() {
    let address = ([127, 0, 0, 1], 7_000).into();
    let [mut before, mut after] = [1, 1_000].map(|incarnation| {
        let mut limits = InstanceLimits::new(address, incarnation);
        for slot in team_slots("gallery") {
            let _ = limits.apply_write_result(slot, 0, &Ok(1), 0);
        }
        limits.ledger().tokens("gallery", &RATE, 0);
        limits
    });
    let grant = before.ledger().grant("gallery", &RATE, 100, 5_000);
    let own = after.ledger().take("gallery", &RATE, 100, 5_000);
    after
        .ledger()
        .apply_refund("gallery", grant.id, grant.tokens);
    assert_eq!((grant.tokens, own.map(|r| r.tokens)), (100, Some(100)));
    assert_eq!(after.ledger().tokens("gallery", &RATE, 5_000), 800);
}

/// An instance is killed just after all of its tokens were used, and restarts on
/// the same address, where it takes its slots over at once. Its buckets must be
/// empty; with full buckets, each restart would grant the burst again.
#[test]
fn a_restarted_instance_starts_with_empty_buckets() {
    let mut model = Model::new(3, &RATE);
    TAKE_ALL.iter().for_each(|op| model.apply(op));
    model.apply(&Op::Crash {
        instance: 0,
        new_address: false,
    });
    model.apply(&Op::Sync {
        instance: 0,
        live: 3,
    });
    TAKE_ALL.iter().for_each(|op| model.apply(op));
    assert_eq!(model.check(), Ok(()));
}
