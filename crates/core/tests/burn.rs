//! Burn report: counting by window, sums over instances, levels and memory use.

use {
    mangowalk_core::{
        burn::{
            BOUNDS_MS, BurnReport, CELLS_PER_WINDOW, Counts, Ledger, Level, Objective, Observation,
            RequestEnd, TeamBurn, Window,
        },
        refusal::{Outcome, Refusal},
    },
    proptest::prelude::*,
};

const OBJECTIVE_MS: u64 = 600;

fn observation(first_ms: u64, end: RequestEnd) -> Observation {
    Observation {
        first_token_ms: Some(first_ms),
        end,
        tokens: 10,
    }
}

fn published(ledger: &Ledger, now_ms: u64, tokens_per_s: u64) -> Vec<TeamBurn> {
    let mut teams = ledger.publish(now_ms);
    for team in &mut teams {
        team.tokens_per_s = tokens_per_s;
    }
    teams
}

fn counts(ledger: &Ledger, window: usize, now_ms: u64) -> Counts {
    let teams = ledger.publish(now_ms);
    teams
        .first()
        .map_or(Counts::default(), |t| t.windows[window].counts)
}

fn end() -> impl Strategy<Value = RequestEnd> {
    prop_oneof![
        Just(RequestEnd::Complete),
        Just(RequestEnd::Cut),
        Just(RequestEnd::Abandoned),
        Just(RequestEnd::Rejected),
        Just(RequestEnd::OverRate),
        Just(RequestEnd::TurnedAway),
    ]
}

proptest! {
    /// The report must not depend on how requests are distributed over the
    /// instances, or its figures would change with a restart and operators
    /// could not rely on them.
    #[test]
    fn the_report_does_not_depend_on_the_instance_that_counted(
        requests in prop::collection::vec((0u64..20_000, end(), 0usize..5), 1..200),
    ) {
        let mut spread = vec![Ledger::default(); 5];
        let mut whole = Ledger::default();
        for (i, (first_ms, end, instance)) in requests.iter().enumerate() {
            let now_ms = 1_000_000 + i as u64;
            let observation = observation(*first_ms, *end);
            spread[*instance].record("gallery", &observation, OBJECTIVE_MS, now_ms);
            whole.record("gallery", &observation, OBJECTIVE_MS, now_ms);
        }
        let parts: Vec<TeamBurn> =
            spread.iter().flat_map(|l| published(l, 1_001_000, 1)).collect();
        prop_assert_eq!(
            BurnReport::of(&parts),
            BurnReport::of(&published(&whole, 1_001_000, 1))
        );
    }

    /// A request is counted in a window for the window's full length, and for
    /// at most one cell more.
    #[test]
    fn a_request_is_counted_for_the_window_and_at_most_one_cell_more(at_ms in 0u64..100_000_000, later_ms in 0u64..50_000_000) {
        let mut ledger = Ledger::default();
        ledger.record("gallery", &observation(1, RequestEnd::Complete), OBJECTIVE_MS, at_ms);
        for (i, window) in Window::ALL.into_iter().enumerate() {
            let counted = counts(&ledger, i, at_ms + later_ms).complete == 1;
            if later_ms <= window.length_ms() {
                prop_assert!(counted, "{window} no longer counts it after {later_ms} ms");
            }
            if later_ms > window.length_ms() + window.length_ms() / CELLS_PER_WINDOW {
                prop_assert!(!counted, "{window} still counts it after {later_ms} ms");
            }
        }
    }

    /// A thread that waited for the lock records with an older time than the
    /// previous thread. This must not clear any counts.
    #[test]
    fn recording_with_an_older_time_keeps_existing_counts(at_ms in 400_000u64..1_000_000, back_ms in 0u64..400_000) {
        let mut ledger = Ledger::default();
        ledger.record("gallery", &observation(1, RequestEnd::Complete), OBJECTIVE_MS, at_ms);
        ledger.record("gallery", &observation(1, RequestEnd::Complete), OBJECTIVE_MS, at_ms - back_ms);
        prop_assert!(counts(&ledger, 0, at_ms).complete >= 1);
        prop_assert_eq!(counts(&ledger, 2, at_ms).complete, 2);
    }
}

/// Instances refuse requests for the rate although the team requested less than
/// its rate in total, because the shares of the rate are at the wrong
/// instances. These refusals count as bad. Once the team requests more than its
/// rate, the same refusals must not count.
#[test]
fn rate_refusals_are_bad_only_while_the_team_is_within_its_rate() {
    let mut ledger = Ledger::default();
    for _ in 0..10 {
        ledger.record(
            "gallery",
            &observation(1, RequestEnd::Complete),
            OBJECTIVE_MS,
            300_000,
        );
        ledger.record(
            "gallery",
            &observation(1, RequestEnd::OverRate),
            OBJECTIVE_MS,
            300_000,
        );
    }
    let bad = |tokens_per_s| {
        let report = BurnReport::of(&published(&ledger, 300_000, tokens_per_s));
        let row = report
            .rows
            .into_iter()
            .find(|r| r.objective == Objective::Admitted);
        row.map(|r| r.windows[0].bad)
    };
    // 200 tokens were requested within 300 s.
    assert_eq!(bad(1), Some(10));
    assert_eq!(bad(0), Some(0));
    let over_rate_tokens = 100_000;
    ledger.record(
        "gallery",
        &Observation {
            tokens: over_rate_tokens,
            ..observation(1, RequestEnd::OverRate)
        },
        OBJECTIVE_MS,
        300_000,
    );
    let report = BurnReport::of(&published(&ledger, 300_000, 1));
    let row = report
        .rows
        .iter()
        .find(|r| r.objective == Objective::Admitted);
    assert_eq!(row.map(|r| r.windows[0].bad), Some(0));
}

/// An engine fails for five minutes and recovers. The level is fast while the
/// burn rate is high in both windows, and drops soon after the failure,
/// although the one-hour window still contains it.
#[test]
fn the_level_falls_soon_after_the_failure_ends() {
    let mut ledger = Ledger::default();
    let minute_ms = 60_000;
    let level = |ledger: &Ledger, now_ms| {
        let report = BurnReport::of(&published(ledger, now_ms, 0));
        report.rows.iter().map(|r| r.level).max()
    };
    for minute in 0..60 {
        let end = if minute >= 55 {
            RequestEnd::Cut
        } else {
            RequestEnd::Complete
        };
        for _ in 0..100 {
            ledger.record(
                "gallery",
                &observation(1, end),
                OBJECTIVE_MS,
                minute * minute_ms,
            );
        }
    }
    assert_eq!(level(&ledger, 60 * minute_ms), Some(Level::Fast));
    for minute in 60..70 {
        for _ in 0..100 {
            ledger.record(
                "gallery",
                &observation(1, RequestEnd::Complete),
                OBJECTIVE_MS,
                minute * minute_ms,
            );
        }
    }
    assert_ne!(level(&ledger, 70 * minute_ms), Some(Level::Fast));
}

#[test]
fn each_refusal_is_counted_under_the_expected_end() {
    let unavailable = Refusal::Unavailable {
        reason: "full",
        retry_ms: 1,
    };
    let lost = Refusal::Lost {
        remedy: "ask",
        outcome: Outcome::Unknown,
    };
    let cases = [
        (
            Refusal::RateLimited { retry_ms: 1 },
            false,
            RequestEnd::OverRate,
        ),
        (unavailable.clone(), false, RequestEnd::TurnedAway),
        (unavailable, true, RequestEnd::Cut),
        (lost, false, RequestEnd::Cut),
        (Refusal::Unauthorized, false, RequestEnd::Rejected),
        (
            Refusal::OverBurst {
                reserve_tokens: 2,
                burst_tokens: 1,
            },
            false,
            RequestEnd::Rejected,
        ),
    ];
    for (refusal, answered, end) in cases {
        assert_eq!(
            RequestEnd::from_refusal(&refusal, answered),
            end,
            "{refusal}"
        );
    }
}

/// Memory use for 230 teams, the expected number in two years, and for more
/// team names than the ledger accepts.
#[test]
fn memory_is_bounded() {
    let mut ledger = Ledger::default();
    let mut note = |teams: std::ops::Range<u32>| {
        for team in teams {
            ledger.record(
                &format!("team-{team:04}"),
                &observation(1, RequestEnd::Complete),
                OBJECTIVE_MS,
                1,
            );
        }
        ledger.memory_bytes()
    };
    let at_230 = note(0..230);
    assert!(at_230 < 2 << 20, "{at_230} bytes for 230 teams");
    let at_most = note(0..10_000);
    assert!(at_most < 5 << 20, "{at_most} bytes for 10,000 names");
}

#[test]
fn a_time_equal_to_a_bound_is_counted_in_its_bucket() {
    let mut counts = Counts::default();
    for bound_ms in BOUNDS_MS {
        counts.record(&observation(bound_ms, RequestEnd::Complete), OBJECTIVE_MS);
    }
    assert_eq!(counts.first_token.percentile_ms(50), Some(BOUNDS_MS[5]));
    assert_eq!(counts.first_token.percentile_ms(100), Some(BOUNDS_MS[10]));
    counts.record(
        &observation(BOUNDS_MS[10] + 1, RequestEnd::Complete),
        OBJECTIVE_MS,
    );
    assert_eq!(counts.first_token.percentile_ms(100), None);
    assert_eq!((counts.first_in_time, counts.first_late), (6, 6));
}
