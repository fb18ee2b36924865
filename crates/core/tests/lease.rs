//! The lease has at most one holder, whatever is paused or lost.

use {
    mangowalk_core::membership::{
        ControllerLease, ControllerLeaseHeld, ControllerLeaseSettings, Watching,
    },
    proptest::prelude::*,
};

const INSTANCES: usize = 3;

/// What happens to the reply to a write of the lease.
#[derive(Debug, Clone, Copy)]
enum Reply {
    Received,
    Lost,
}

#[derive(Debug, Clone)]
enum Op {
    /// Time passes, up to more than the duration of a lease.
    Wait { ms: u64 },
    /// An instance acts, and is paused after its write, before it reads the
    /// reply.
    Act {
        index: usize,
        pause_ms: u64,
        reply: Reply,
    },
}

fn op() -> impl Strategy<Value = Op> {
    let reply = prop_oneof![3 => Just(Reply::Received), 1 => Just(Reply::Lost)];
    let pause = prop_oneof![3 => Just(0_u64), 1 => 0..20_000_u64];
    prop_oneof![
        1 => (0..9_000_u64).prop_map(|ms| Op::Wait { ms }),
        3 => (0..INSTANCES, pause, reply)
            .prop_map(|(index, pause_ms, reply)| Op::Act { index, pause_ms, reply }),
    ]
}

#[derive(Clone, Copy)]
enum State {
    Watching(ControllerLease<Watching>),
    Held(ControllerLease<ControllerLeaseHeld>),
}

struct Simulation {
    now_ms: u64,
    version: u64,
    instances: Vec<State>,
}

impl Simulation {
    fn act(&mut self, index: usize, pause_ms: u64, reply: Reply) {
        match self.instances[index] {
            State::Held(held) if !held.is_valid(self.now_ms) => {
                self.instances[index] = State::Watching(held.lost(self.now_ms));
            }
            State::Held(held) if held.needs_renewal(self.now_ms) => {
                let sent_ms = self.now_ms;
                let written = self.write(held.fencing(), pause_ms, reply);
                if let Some(version) = written {
                    self.instances[index] = State::Held(held.renewed(version, sent_ms));
                }
            }
            State::Held(_) => {}
            State::Watching(mut watching) => {
                watching.observe(self.version, self.now_ms);
                self.instances[index] = State::Watching(watching);
                let sent_ms = self.now_ms;
                let free = watching.free_version(sent_ms);
                let written = free.and_then(|version| self.write(version, pause_ms, reply));
                if let Some(version) = written {
                    self.instances[index] = State::Held(watching.acquired(version, sent_ms));
                }
            }
        }
    }

    /// Writes if the stored version is the expected one. The pause comes before
    /// the reply is read.
    fn write(&mut self, expected: u64, pause_ms: u64, reply: Reply) -> Option<u64> {
        let matches_version = expected == self.version;
        self.version += u64::from(matches_version);
        let version = self.version;
        self.now_ms += pause_ms;
        (matches_version && matches!(reply, Reply::Received)).then_some(version)
    }

    fn valid_fencing(&self) -> Vec<u64> {
        let held = self.instances.iter().filter_map(|k| match k {
            State::Held(held) if held.is_valid(self.now_ms) => Some(held.fencing()),
            _ => None,
        });
        held.collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: ProptestConfig::default().cases.max(4_000), ..ProptestConfig::default() })]

    /// Two holders at the same time could order two versions at an engine that
    /// ignores fencing numbers. For engines that check them, a later holder
    /// must have a higher number.
    #[test]
    fn at_most_one_holder_and_growing_fencing_numbers(ops in prop::collection::vec(op(), 1..60)) {
        let watching = ControllerLease::watching(ControllerLeaseSettings::default(), 0);
        let mut simulation = Simulation {
            now_ms: 0,
            version: 0,
            instances: vec![State::Watching(watching); INSTANCES],
        };
        let mut highest = 0;
        for op in &ops {
            match *op {
                Op::Wait { ms } => simulation.now_ms += ms,
                Op::Act { index, pause_ms, reply } => simulation.act(index, pause_ms, reply),
            }
            let valid_fencing = simulation.valid_fencing();
            prop_assert!(valid_fencing.len() <= 1, "{} holders at the same time", valid_fencing.len());
            if let Some(fencing) = valid_fencing.first() {
                prop_assert!(*fencing >= highest, "the fencing number decreased");
                highest = *fencing;
            }
        }
    }
}
