//! The bound of a team's rate and burst, for generated orders of events.

use {
    super::model::{Model, Op},
    mangowalk_core::record::Rate,
    proptest::prelude::*,
};

const CASES: u32 = 2_000;
const MAX_OPS: usize = 60;
const INSTANCES: usize = 3;

/// Runs more cases than the default, and as many as PROPTEST_CASES asks for.
fn config() -> ProptestConfig {
    let default = ProptestConfig::default();
    ProptestConfig {
        cases: default.cases.max(CASES),
        ..default
    }
}

fn instance() -> impl Strategy<Value = usize> {
    0..INSTANCES
}

fn op() -> impl Strategy<Value = Op> {
    let index = 0usize..3;
    prop_oneof![
        4 => (0u64..400).prop_map(Op::Advance),
        1 => (0u64..30_000).prop_map(Op::Advance),
        2 => (55_000u64..65_000).prop_map(Op::Advance),
        2 => (119_000u64..123_000).prop_map(Op::Advance),
        1 => (1_700_000u64..1_900_000).prop_map(Op::Advance),
        1 => (3_590_000u64..3_640_000).prop_map(Op::Advance),
        2 => instance().prop_map(Op::List),
        4 => (instance(), 1u32..5).prop_map(|(at, live)| Op::Sync { at, live }),
        3 => (instance(), 1u32..5).prop_map(|(at, live)| Op::Begin { at, live }),
        3 => (instance(), 0u8..6).prop_map(|(at, outcome)| Op::Arrive { at, outcome }),
        3 => instance().prop_map(Op::Answer),
        12 => (instance(), 1u64..=100).prop_map(|(at, percent)| Op::Take { at, percent }),
        4 => (instance(), instance(), 1u64..=110)
            .prop_map(|(to, from, percent)| Op::Move { to, from, percent }),
        4 => (index.clone(), any::<bool>())
            .prop_map(|(index, lost)| Op::Receive { index, lost }),
        4 => (index, 0u64..=100, 0u8..3).prop_map(|(index, used_percent, messages)| {
            Op::Settle { index, used_percent, messages }
        }),
        1 => (instance(), any::<bool>()).prop_map(|(at, new_address)| Op::Crash { at, new_address }),
        1 => instance().prop_map(Op::Close),
    ]
}

proptest! {
    #![proptest_config(config())]

    /// What the team's callers receive in any span of time is at most
    /// burst + rate x span, whatever order these come in: writes of slots
    /// that arrive late, get no answer or fail; leases that lapse while
    /// their holder stands still; crashes, with the address kept or not;
    /// tokens moved and lost on the way; reservations put back late. Clocks
    /// run apart by up to half a percent.
    #[test]
    fn no_team_receives_more_than_rate_and_burst(
        tokens_per_s in prop::sample::select(vec![20, 700]),
        ops in prop::collection::vec(op(), 1..MAX_OPS),
    ) {
        let rate = Rate { schema: 1, tokens_per_s, burst_tokens: 900 };
        let mut model = Model::new(INSTANCES, &rate);
        for op in &ops {
            model.apply(op);
        }
        for at in 0..INSTANCES {
            model.apply(&Op::Take { at, percent: 100 });
        }
        if let Err(over) = model.check() {
            return Err(TestCaseError::fail(over));
        }
    }
}
