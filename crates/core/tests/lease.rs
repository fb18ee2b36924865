//! One holder at a time, whatever is paused or lost.

use {
    mangowalk_core::membership::{Held, Lease, LeaseSettings, Watching},
    proptest::prelude::*,
};

const KEEPERS: usize = 3;

/// What happens to a write of the lease.
#[derive(Debug, Clone, Copy)]
enum Reply {
    Comes,
    Lost,
}

#[derive(Debug, Clone)]
enum Op {
    /// Time passes, up to more than a lease.
    Pass { ms: u64 },
    /// A keeper acts: it was paused between its look and its write.
    Act {
        at: usize,
        pause_ms: u64,
        reply: Reply,
    },
}

fn op() -> impl Strategy<Value = Op> {
    let reply = prop_oneof![3 => Just(Reply::Comes), 1 => Just(Reply::Lost)];
    let pause = prop_oneof![3 => Just(0_u64), 1 => 0..20_000_u64];
    prop_oneof![
        1 => (0..9_000_u64).prop_map(|ms| Op::Pass { ms }),
        3 => (0..KEEPERS, pause, reply)
            .prop_map(|(at, pause_ms, reply)| Op::Act { at, pause_ms, reply }),
    ]
}

#[derive(Clone, Copy)]
enum State {
    Watching(Lease<Watching>),
    Held(Lease<Held>),
}

struct World {
    now_ms: u64,
    version: u64,
    keepers: Vec<State>,
}

impl World {
    fn act(&mut self, at: usize, pause_ms: u64, reply: Reply) {
        match self.keepers[at] {
            State::Held(held) if !held.is_valid(self.now_ms) => {
                self.keepers[at] = State::Watching(held.lost(self.now_ms));
            }
            State::Held(held) if held.wants_renewal(self.now_ms) => {
                let asked_ms = self.now_ms;
                let written = self.write(held.fencing(), pause_ms, reply);
                if let Some(version) = written {
                    self.keepers[at] = State::Held(held.renewed(version, asked_ms));
                }
            }
            State::Held(_) => {}
            State::Watching(mut watching) => {
                watching.observe(self.version, self.now_ms);
                self.keepers[at] = State::Watching(watching);
                let asked_ms = self.now_ms;
                let free = watching.free(asked_ms);
                let written = free.and_then(|version| self.write(version, pause_ms, reply));
                if let Some(version) = written {
                    self.keepers[at] = State::Held(watching.taken(version, asked_ms));
                }
            }
        }
    }

    /// Writes if the version is the expected one, and pauses before the reply
    /// is read.
    fn write(&mut self, expected: u64, pause_ms: u64, reply: Reply) -> Option<u64> {
        let fits = expected == self.version;
        self.version += u64::from(fits);
        let version = self.version;
        self.now_ms += pause_ms;
        (fits && matches!(reply, Reply::Comes)).then_some(version)
    }

    fn valid(&self) -> Vec<u64> {
        let held = self.keepers.iter().filter_map(|k| match k {
            State::Held(held) if held.is_valid(self.now_ms) => Some(held.fencing()),
            _ => None,
        });
        held.collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: ProptestConfig::default().cases.max(4_000), ..ProptestConfig::default() })]

    /// An engine that ignores fencing numbers follows whoever orders. Two
    /// holders at once would order it two versions; and a later holder must
    /// have the higher number, for the engines that check.
    #[test]
    fn one_holder_at_a_time_and_numbers_grow(ops in prop::collection::vec(op(), 1..60)) {
        let watching = Lease::watching(LeaseSettings::default(), 0);
        let mut world = World {
            now_ms: 0,
            version: 0,
            keepers: vec![State::Watching(watching); KEEPERS],
        };
        let mut highest = 0;
        for op in &ops {
            match *op {
                Op::Pass { ms } => world.now_ms += ms,
                Op::Act { at, pause_ms, reply } => world.act(at, pause_ms, reply),
            }
            let valid = world.valid();
            prop_assert!(valid.len() <= 1, "{} holders", valid.len());
            if let Some(fencing) = valid.first() {
                prop_assert!(*fencing >= highest, "the number fell");
                highest = *fencing;
            }
        }
    }
}
