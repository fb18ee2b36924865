//! Writes, withdrawals, lagging lists, cut and replayed watches, old peers,
//! restarts: whatever the order, no instance goes back.

use {
    mangowalk_core::{
        config::{Delta, Store, View, Write},
        peer::ConfigEntry,
        platform::{Change, ListReply, Object, ObjectKey, WatchReply},
        record::Kind,
    },
    proptest::prelude::*,
    serde_json::json,
};

const INSTANCES: usize = 3;
const NAMES: usize = 3;

#[derive(Debug, Clone)]
enum Op {
    Write { name: usize, readable: bool },
    Withdraw { name: usize },
    List { at: usize, lag: u64 },
    Watch { at: usize, cut: usize },
    Replay { at: usize, from: u64 },
    Ask { at: usize, peer: usize },
    Capture { at: usize, peer: usize },
    Deliver { at: usize },
    Restart { at: usize },
}

fn op() -> impl Strategy<Value = Op> {
    let at = 0..INSTANCES;
    let name = 0..NAMES;
    prop_oneof![
        4 => (name.clone(), any::<bool>()).prop_map(|(name, readable)| Op::Write { name, readable }),
        3 => name.prop_map(|name| Op::Withdraw { name }),
        3 => (at.clone(), 0..6_u64).prop_map(|(at, lag)| Op::List { at, lag }),
        2 => (at.clone(), 0..4_usize).prop_map(|(at, cut)| Op::Watch { at, cut }),
        1 => (at.clone(), 0..9_u64).prop_map(|(at, from)| Op::Replay { at, from }),
        3 => (at.clone(), at.clone()).prop_map(|(at, peer)| Op::Ask { at, peer }),
        2 => (at.clone(), at.clone()).prop_map(|(at, peer)| Op::Capture { at, peer }),
        2 => at.clone().prop_map(|at| Op::Deliver { at }),
        1 => at.prop_map(|at| Op::Restart { at }),
    ]
}

#[derive(Default)]
struct World {
    log: Vec<Change>,
    stores: Vec<Store>,
    late: Vec<Delta>,
}

fn name_of(name: usize) -> String {
    format!("team-{name}")
}

fn world() -> World {
    World {
        stores: vec![Store::default(); INSTANCES],
        ..World::default()
    }
}

impl World {
    fn revision(&self) -> u64 {
        self.log.len() as u64
    }

    fn write(&mut self, name: usize, readable: bool) {
        let schema = if readable { 1 } else { 99 };
        self.log.push(Change::Put(Object {
            key: ObjectKey::new("team", &name_of(name)),
            version: self.revision() + 1,
            body: json!({ "schema": schema }),
        }));
    }

    fn withdraw(&mut self, name: usize) {
        if !matches!(self.truth(name, self.revision()), Some((_, true))) {
            return;
        }
        self.log.push(Change::Delete {
            key: ObjectKey::new("team", &name_of(name)),
            version: self.revision() + 1,
        });
    }

    /// The last write of a record at a revision: its version, and whether it
    /// is live.
    fn truth(&self, name: usize, revision: u64) -> Option<(u64, bool)> {
        let upto = &self.log[..revision as usize];
        upto.iter().rev().find_map(|change| match change {
            Change::Put(o) if o.key.name == name_of(name) => Some((o.version, true)),
            Change::Delete { key, version } if key.name == name_of(name) => Some((*version, false)),
            _ => None,
        })
    }

    fn list(&self, revision: u64) -> ListReply {
        let live = (0..NAMES).filter_map(|name| match self.truth(name, revision) {
            Some((version, true)) => Some(version),
            _ => None,
        });
        let objects = live
            .filter_map(|version| match &self.log[version as usize - 1] {
                Change::Put(object) => Some(object.clone()),
                Change::Delete { .. } => None,
            })
            .collect();
        ListReply { revision, objects }
    }

    fn watch(&self, after: u64, cut: usize) -> WatchReply {
        let end = self.log.len().saturating_sub(cut).max(after as usize);
        WatchReply {
            revision: end as u64,
            changes: self.log[after as usize..end].to_vec(),
            compacted: false,
        }
    }

    fn ask(&self, at: usize, peer: usize) -> Delta {
        self.stores[peer].delta_for(&self.stores[at].digest())
    }

    fn step(&mut self, op: &Op) {
        match *op {
            Op::Write { name, readable } => self.write(name, readable),
            Op::Withdraw { name } => self.withdraw(name),
            Op::List { at, lag } => {
                let list = self.list(self.revision().saturating_sub(lag));
                self.stores[at].merge_list(&list);
            }
            Op::Watch { at, cut } if self.stores[at].revision() > 0 => {
                let reply = self.watch(self.stores[at].revision(), cut);
                self.stores[at].merge_watch(&reply);
            }
            Op::Watch { .. } => {}
            Op::Replay { at, from } => {
                for change in self.log.iter().skip(from as usize) {
                    if self.stores[at].revision() > 0 {
                        self.stores[at].merge_change(change);
                    }
                }
            }
            Op::Ask { at, peer } => {
                let delta = self.ask(at, peer);
                self.stores[at].merge_delta(&delta);
            }
            Op::Capture { at, peer } => self.late.push(self.ask(at, peer)),
            Op::Deliver { at } => {
                for delta in &self.late {
                    self.stores[at].merge_delta(delta);
                }
            }
            Op::Restart { at } => self.stores[at] = Store::default(),
        }
    }

    fn in_force(&self, at: usize, name: usize) -> u64 {
        self.stores[at]
            .entry(Kind::Team, &name_of(name))
            .map_or(0, |e| e.version_in_force())
    }

    /// What a store states to be complete up to must be so: no write up to
    /// its revision is missing, and nothing withdrawn by then is still held.
    fn check_complete(&self, at: usize) -> Result<(), TestCaseError> {
        let store = &self.stores[at];
        for name in 0..NAMES {
            let held = store.entry(Kind::Team, &name_of(name));
            match self.truth(name, store.revision()) {
                Some((version, true)) => {
                    prop_assert!(held.is_some_and(|e| e.version >= version), "missing");
                }
                Some((version, false)) => {
                    let live = held.filter(|e| e.body.is_some());
                    prop_assert!(live.is_none_or(|e| e.version > version), "still held");
                }
                None => {}
            }
        }
        Ok(())
    }

    fn check_converged(&self) -> Result<(), TestCaseError> {
        let views: Vec<View> = self.stores.iter().map(View::of).collect();
        prop_assert_eq!(&views[0].teams, &views[1].teams);
        prop_assert_eq!(&views[0].teams, &views[2].teams);
        for (at, name) in (0..INSTANCES).flat_map(|at| (0..NAMES).map(move |name| (at, name))) {
            let truth = self.truth(name, self.revision());
            let held = self.stores[at].entry(Kind::Team, &name_of(name));
            let live = held.is_some_and(|e| e.body.is_some());
            prop_assert_eq!(live, matches!(truth, Some((_, true))));
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: ProptestConfig::default().cases.max(4_000), ..ProptestConfig::default() })]

    /// A caller with a withdrawn key is refused by every instance that once
    /// refused it, and every instance ends with the same records. What
    /// decides is the platform's version alone, whatever brought the write.
    #[test]
    fn no_instance_goes_back_and_all_converge(ops in prop::collection::vec(op(), 1..40)) {
        let mut world = world();
        for op in &ops {
            let before: Vec<[u64; NAMES]> = (0..INSTANCES)
                .map(|at| std::array::from_fn(|name| world.in_force(at, name)))
                .collect();
            world.step(op);
            for (at, before) in before.iter().enumerate() {
                world.check_complete(at)?;
                let restarted = matches!(op, Op::Restart { at: restarted } if *restarted == at);
                for (name, before) in before.iter().enumerate() {
                    prop_assert!(restarted || world.in_force(at, name) >= *before, "went back");
                }
            }
        }
        let list = world.list(world.revision());
        world.stores[0].merge_list(&list);
        // Twice, so that what the first learns last goes round.
        for (at, peer) in [(1, 0), (2, 1), (0, 2), (1, 0), (2, 1), (0, 2)] {
            let delta = world.ask(at, peer);
            world.stores[at].merge_delta(&delta);
        }
        world.check_converged()?;
    }
}

/// An instance that listed after a withdrawal knows no tombstone. A peer
/// whose watch is stuck still holds the key and asks for what is newer. Sent
/// only newer entries, it would take over the revision and keep the key.
#[test]
fn a_peer_from_before_a_withdrawal_is_sent_the_whole() {
    let mut world = world();
    world.write(0, true);
    world.write(1, true);
    world.step(&Op::List { at: 0, lag: 0 });
    world.withdraw(0);
    world.write(1, true);
    world.step(&Op::List { at: 1, lag: 0 });
    world.step(&Op::Ask { at: 0, peer: 1 });
    assert_eq!(world.stores[0].revision(), 4);
    assert!(!View::of(&world.stores[0]).teams.contains_key("team-0"));
}

/// A key was withdrawn before this instance's first list, and a replayed
/// watch brings its old write. Taken as new, the key would work again.
#[test]
fn a_record_from_before_the_own_revision_is_not_new() {
    let mut world = world();
    world.write(0, true);
    let replayed = world.log.clone();
    world.withdraw(0);
    world.step(&Op::List { at: 1, lag: 0 });
    for change in &replayed {
        world.stores[1].merge_change(change);
    }
    assert!(!View::of(&world.stores[1]).teams.contains_key("team-0"));
}

/// A key was withdrawn before this instance's first list. It is written again
/// in a form that this build can't read, and a peer that missed the
/// withdrawal sends the last form it could read. Taken as in force, the
/// withdrawn key would work again.
#[test]
fn a_last_readable_write_from_before_a_withdrawal_is_not_in_force() {
    let mut world = world();
    world.write(0, true);
    world.withdraw(0);
    world.step(&Op::List { at: 1, lag: 0 });
    world.stores[1].merge_peer(&ConfigEntry {
        kind: "team".to_owned(),
        name: "team-0".to_owned(),
        version: 3,
        body: Some("{\"schema\":99}".to_owned()),
        last: Some(Write {
            version: 1,
            body: Some("{\"schema\":1}".to_owned()),
        }),
    });
    assert!(!View::of(&world.stores[1]).teams.contains_key("team-0"));
}
