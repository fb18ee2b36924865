//! When an instance lists the slots again.

use mangowalk_core::limits::ListSchedule;

/// An instance that has just started loses the race for its first slot of a team
/// to another one. It refuses the team until it holds a slot, so it must list the
/// free ones at once rather than after the usual second.
#[test]
fn a_lost_race_is_followed_by_a_list_at_once() {
    for draw in [0, u64::MAX / 2, u64::MAX] {
        let mut schedule = ListSchedule::default();
        schedule.record_list(draw, 1_000);
        let pause_ms = schedule.record_lost_race(draw, 1_010);
        assert!(pause_ms <= 125, "{pause_ms}");
        assert!(schedule.is_due(1_010 + pause_ms));
    }
}

/// In a herd of starts all instances lose races again and again. Their lists must
/// become rarer, or the platform refuses the calls of all of them.
#[test]
fn repeated_lost_races_are_followed_by_rarer_lists() {
    let mut schedule = ListSchedule::default();
    let mut now_ms = 0;
    let mut lists = 0;
    while now_ms < 10_000 {
        if schedule.is_due(now_ms) {
            lists += 1;
            schedule.record_list(now_ms, now_ms);
        }
        now_ms += schedule.record_lost_race(now_ms, now_ms).max(1);
    }
    assert!(lists <= 16, "{lists}");
    schedule.record_writes();
    assert!(schedule.record_lost_race(0, now_ms) <= 125);
}
