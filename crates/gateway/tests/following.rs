//! Tests for how long after an outage of the store the engines that have no entry
//! in it are still used.

use mangowalk_gateway::instance::StoreAvailability;

const EXPIRED_ENTRY_GRACE_MS: u64 = 2_000;
const SETTLED_MS: u64 = 3_000;

fn grace_end_ms(availability: &StoreAvailability, now_ms: u64) -> Option<u64> {
    availability.missing_entries_usable_until_ms(EXPIRED_ENTRY_GRACE_MS, SETTLED_MS, now_ms)
}

#[test]
fn without_a_failed_read_missing_entries_get_no_grace_period() {
    let availability = StoreAvailability::default();
    availability.read_answered(1_000);
    assert_eq!(grace_end_ms(&availability, 1_000), None);
}

/// An instance reads several kinds of objects again after an outage. Guards
/// against a grace period that restarts with the answer for each kind.
#[test]
fn the_grace_period_starts_at_the_first_answer_after_an_outage() {
    let availability = StoreAvailability::default();
    availability.read_failed(9_500);
    assert_eq!(grace_end_ms(&availability, 10_000), Some(12_000));
    availability.read_answered(10_000);
    availability.read_answered(11_100);
    assert_eq!(grace_end_ms(&availability, 11_200), Some(12_000));
}

/// The last failed read waited long for an answer, so the next read was answered
/// late. Guards against a grace period that ends more than `SETTLED_MS` after the
/// failed read began, when the engine list must be applied as read.
#[test]
fn the_grace_period_is_capped_after_a_late_answer() {
    let availability = StoreAvailability::default();
    availability.read_failed(10_000);
    availability.read_answered(12_200);
    assert_eq!(grace_end_ms(&availability, 12_200), Some(13_000));
}

/// Guards against counting the grace period from the recovery of an earlier
/// outage. It would already be over, which would leave no engine in use.
#[test]
fn each_outage_starts_its_own_grace_period() {
    let availability = StoreAvailability::default();
    availability.read_failed(1_000);
    availability.read_answered(1_400);
    availability.read_failed(20_000);
    assert_eq!(grace_end_ms(&availability, 20_500), Some(22_500));
}

/// Guards against a grace period that ends or restarts because of a read that
/// began before the store recovered and fails after it.
#[test]
fn a_read_that_began_before_recovery_and_fails_after_it_is_ignored() {
    let availability = StoreAvailability::default();
    availability.read_failed(9_800);
    availability.read_answered(10_300);
    availability.read_failed(9_900);
    availability.read_answered(11_000);
    assert_eq!(grace_end_ms(&availability, 11_000), Some(12_300));
}
