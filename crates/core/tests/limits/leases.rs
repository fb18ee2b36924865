//! Orders of events around the end of a lease that a generated case seldom
//! meets, and the room that a reservation keeps in its bucket.

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

/// Rate at which a burst takes longer to mint than an old lease is left alone.
const SLOW: Rate = Rate {
    schema: 1,
    tokens_per_s: 20,
    burst_tokens: 900,
};

const TAKE_ALL: [Op; 3] = [
    Op::Take {
        at: 0,
        percent: 100,
    },
    Op::Take {
        at: 1,
        percent: 100,
    },
    Op::Take {
        at: 2,
        percent: 100,
    },
];

/// The holder's clock runs half a percent slow and the watcher's half a
/// percent fast, so the watcher sees the lease's time pass earlier than the
/// holder does. It waits beyond the lease as long as clocks may differ: taken
/// at once, both would spend on one share of the burst.
#[test]
fn takeover_waits_for_the_lease_and_clock_drift() {
    let mut model = Model::new(3, &RATE);
    model.advance_to(SHORT_LEASE_MS - 500);
    model.apply(&Op::Sync { at: 0, live: 1 });
    model.apply(&Op::Advance(700));
    TAKE_ALL.iter().for_each(|op| model.apply(op));
    assert_eq!(model.check(), Ok(()));
}

/// A renewal arrives at the platform, but its answer reaches the holder only
/// 110 s later. Others have seen the renewal when it arrived, so the lease
/// runs from before it was sent: run from the answer on, holder and successor
/// would both mint for 110 s.
#[test]
fn a_lease_starts_before_its_write_is_sent() {
    let mut model = Model::new(3, &SLOW);
    let mut ops = vec![
        Op::Advance(SHORT_LEASE_MS / 2),
        Op::Begin { at: 1, live: 3 },
        Op::Arrive { at: 1, outcome: 9 },
        Op::List(0),
        Op::Advance(110_000),
        Op::Answer(1),
        Op::Advance(13_000),
        Op::Sync { at: 0, live: 1 },
        Op::Advance(60_000),
    ];
    ops.extend(TAKE_ALL);
    ops.iter().for_each(|op| model.apply(op));
    assert_eq!(model.check(), Ok(()));
}

/// All buckets are emptied just before leases lapse. The old holder mints
/// nothing for the time after the lapse, though its other slots leave it room
/// for more: its successor mints for that time.
#[test]
fn no_tokens_are_refilled_after_a_lease_ends() {
    let mut model = Model::new(3, &SLOW);
    model.advance_to(SHORT_LEASE_MS / 2 + 1_000);
    model.apply(&Op::Sync { at: 0, live: 3 });
    model.apply(&Op::Sync { at: 2, live: 3 });
    model.advance_to(SHORT_LEASE_MS - 500);
    TAKE_ALL.iter().for_each(|op| model.apply(op));
    model.advance_to(SHORT_LEASE_MS + 3_000);
    model.apply(&Op::Sync { at: 0, live: 1 });
    model.apply(&TAKE_ALL[0]);
    model.apply(&Op::Advance(20_000));
    TAKE_ALL.iter().for_each(|op| model.apply(op));
    assert_eq!(model.check(), Ok(()));
}

/// Two answers run while the bucket refills. What it mints takes the room of
/// the one that began first; the later one still puts all of its tokens back.
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

/// A giver restarts while tokens that it granted are out. What comes back
/// reaches its successor on the same address, which granted nothing of it:
/// taken for a part of its own, they would come on top of its bucket.
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
    after.ledger().take_back("gallery", grant.id, grant.tokens);
    assert_eq!((grant.tokens, own.map(|r| r.tokens)), (100, Some(100)));
    assert_eq!(after.ledger().tokens("gallery", &RATE, 5_000), 800);
}

/// An instance is killed just after its callers used all of its tokens, and
/// its successor on the same address takes its slots over at once. It starts
/// with nothing: started full, each restart would hand the burst out again.
#[test]
fn a_restarted_instance_starts_with_empty_buckets() {
    let mut model = Model::new(3, &RATE);
    TAKE_ALL.iter().for_each(|op| model.apply(op));
    model.apply(&Op::Crash {
        at: 0,
        new_address: false,
    });
    model.apply(&Op::Sync { at: 0, live: 3 });
    TAKE_ALL.iter().for_each(|op| model.apply(op));
    assert_eq!(model.check(), Ok(()));
}
