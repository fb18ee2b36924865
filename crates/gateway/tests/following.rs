//! How long engines are used that the list lacks after the store was away.

use mangowalk_gateway::instance::Following;

const LAPSED_MS: u64 = 2_000;
const SETTLED_MS: u64 = 3_000;

fn until_ms(following: &Following, now_ms: u64) -> Option<u64> {
    following.keep_missing_until_ms(LAPSED_MS, SETTLED_MS, now_ms)
}

#[test]
fn there_is_no_grace_while_the_store_never_failed() {
    let following = Following::default();
    following.answered(1_000);
    assert_eq!(until_ms(&following, 1_000), None);
}

/// Guards against a grace that begins anew with each kind that is read again.
#[test]
fn the_grace_counts_from_the_first_answer() {
    let following = Following::default();
    following.failed(9_500);
    assert_eq!(until_ms(&following, 10_000), Some(12_000));
    following.answered(10_000);
    following.answered(11_100);
    assert_eq!(until_ms(&following, 11_200), Some(12_000));
}

/// Guards against a grace that outlasts the time after which the list has to be
/// gone by, where a reading waited in vain before the next one was answered.
#[test]
fn the_grace_ends_in_time_after_a_late_answer() {
    let following = Following::default();
    following.failed(10_000);
    following.answered(12_200);
    assert_eq!(until_ms(&following, 12_200), Some(13_000));
}

/// Guards against taking the return of an earlier outage for that of the next,
/// which would leave no engine in use.
#[test]
fn each_outage_has_a_grace_of_its_own() {
    let following = Following::default();
    following.failed(1_000);
    following.answered(1_400);
    following.failed(20_000);
    assert_eq!(until_ms(&following, 20_500), Some(22_500));
}

/// Guards against a reading from before the store's return that ends its grace
/// or lets it begin anew.
#[test]
fn a_reading_that_fails_late_does_not_count() {
    let following = Following::default();
    following.failed(9_800);
    following.answered(10_300);
    following.failed(9_900);
    following.answered(11_000);
    assert_eq!(until_ms(&following, 11_000), Some(12_300));
}
