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
    List { instance: usize, lag: u64 },
    Watch { instance: usize, cut: usize },
    Replay { instance: usize, from: u64 },
    Sync { instance: usize, peer: usize },
    Capture { instance: usize, peer: usize },
    Deliver { instance: usize },
    Restart { instance: usize },
}

fn op() -> impl Strategy<Value = Op> {
    let instance = 0..INSTANCES;
    let name = 0..NAMES;
    prop_oneof![
        4 => (name.clone(), any::<bool>()).prop_map(|(name, readable)| Op::Write { name, readable }),
        3 => name.prop_map(|name| Op::Withdraw { name }),
        3 => (instance.clone(), 0..6_u64).prop_map(|(instance, lag)| Op::List { instance, lag }),
        2 => (instance.clone(), 0..4_usize).prop_map(|(instance, cut)| Op::Watch { instance, cut }),
        1 => (instance.clone(), 0..9_u64).prop_map(|(instance, from)| Op::Replay { instance, from }),
        3 => (instance.clone(), instance.clone()).prop_map(|(instance, peer)| Op::Sync { instance, peer }),
        2 => (instance.clone(), instance.clone()).prop_map(|(instance, peer)| Op::Capture { instance, peer }),
        2 => instance.clone().prop_map(|instance| Op::Deliver { instance }),
        1 => instance.prop_map(|instance| Op::Restart { instance }),
    ]
}

#[derive(Default)]
struct Simulation {
    log: Vec<Change>,
    stores: Vec<Store>,
    delayed: Vec<Delta>,
}

fn name_of(name: usize) -> String {
    format!("team-{name}")
}

fn simulation() -> Simulation {
    Simulation {
        stores: vec![Store::default(); INSTANCES],
        ..Simulation::default()
    }
}

impl Simulation {
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
        if !matches!(self.last_write(name, self.revision()), Some((_, true))) {
            return;
        }
        self.log.push(Change::Delete {
            key: ObjectKey::new("team", &name_of(name)),
            version: self.revision() + 1,
        });
    }

    /// The last write of a record at a revision: its version, and whether it
    /// is live.
    fn last_write(&self, name: usize, revision: u64) -> Option<(u64, bool)> {
        let prefix = &self.log[..revision as usize];
        prefix.iter().rev().find_map(|change| match change {
            Change::Put(o) if o.key.name == name_of(name) => Some((o.version, true)),
            Change::Delete { key, version } if key.name == name_of(name) => Some((*version, false)),
            _ => None,
        })
    }

    fn list(&self, revision: u64) -> ListReply {
        let live = (0..NAMES).filter_map(|name| match self.last_write(name, revision) {
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

    fn delta_from(&self, instance: usize, peer: usize) -> Delta {
        self.stores[peer].delta_for(&self.stores[instance].digest())
    }

    fn step(&mut self, op: &Op) {
        match *op {
            Op::Write { name, readable } => self.write(name, readable),
            Op::Withdraw { name } => self.withdraw(name),
            Op::List { instance, lag } => {
                let list = self.list(self.revision().saturating_sub(lag));
                self.stores[instance].merge_list(&list);
            }
            Op::Watch { instance, cut } if self.stores[instance].revision() > 0 => {
                let reply = self.watch(self.stores[instance].revision(), cut);
                self.stores[instance].merge_watch(&reply);
            }
            Op::Watch { .. } => {}
            Op::Replay { instance, from } => {
                for change in self.log.iter().skip(from as usize) {
                    if self.stores[instance].revision() > 0 {
                        self.stores[instance].merge_change(change);
                    }
                }
            }
            Op::Sync { instance, peer } => {
                let delta = self.delta_from(instance, peer);
                self.stores[instance].merge_delta(&delta);
            }
            Op::Capture { instance, peer } => self.delayed.push(self.delta_from(instance, peer)),
            Op::Deliver { instance } => {
                for delta in &self.delayed {
                    self.stores[instance].merge_delta(delta);
                }
            }
            Op::Restart { instance } => self.stores[instance] = Store::default(),
        }
    }

    fn in_force(&self, instance: usize, name: usize) -> u64 {
        self.stores[instance]
            .entry(Kind::Team, &name_of(name))
            .map_or(0, |e| e.version_in_force())
    }

    /// What a store states to be complete up to must be so: no write up to
    /// its revision is missing, and nothing withdrawn by then is still held.
    fn check_complete(&self, instance: usize) -> Result<(), TestCaseError> {
        let store = &self.stores[instance];
        for name in 0..NAMES {
            let held = store.entry(Kind::Team, &name_of(name));
            match self.last_write(name, store.revision()) {
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
        for (instance, name) in
            (0..INSTANCES).flat_map(|instance| (0..NAMES).map(move |name| (instance, name)))
        {
            let last_write = self.last_write(name, self.revision());
            let held = self.stores[instance].entry(Kind::Team, &name_of(name));
            let live = held.is_some_and(|e| e.body.is_some());
            prop_assert_eq!(live, matches!(last_write, Some((_, true))));
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
    fn no_instance_reverts_and_all_converge(ops in prop::collection::vec(op(), 1..40)) {
        let mut simulation = simulation();
        for op in &ops {
            let before: Vec<[u64; NAMES]> = (0..INSTANCES)
                .map(|instance| std::array::from_fn(|name| simulation.in_force(instance, name)))
                .collect();
            simulation.step(op);
            for (instance, before) in before.iter().enumerate() {
                simulation.check_complete(instance)?;
                let restarted = matches!(op, Op::Restart { instance: restarted } if *restarted == instance);
                for (name, before) in before.iter().enumerate() {
                    prop_assert!(restarted || simulation.in_force(instance, name) >= *before, "went back");
                }
            }
        }
        let list = simulation.list(simulation.revision());
        simulation.stores[0].merge_list(&list);
        // Twice, so that what the first learns last goes round.
        for (instance, peer) in [(1, 0), (2, 1), (0, 2), (1, 0), (2, 1), (0, 2)] {
            let delta = simulation.delta_from(instance, peer);
            simulation.stores[instance].merge_delta(&delta);
        }
        simulation.check_converged()?;
    }
}

/// An instance that listed after a withdrawal knows no tombstone. A peer
/// whose watch is stuck still holds the key and asks for what is newer. Sent
/// only newer entries, it would take over the revision and keep the key.
#[test]
fn a_peer_older_than_a_withdrawal_receives_a_full_delta() {
    let mut simulation = simulation();
    simulation.write(0, true);
    simulation.write(1, true);
    simulation.step(&Op::List {
        instance: 0,
        lag: 0,
    });
    simulation.withdraw(0);
    simulation.write(1, true);
    simulation.step(&Op::List {
        instance: 1,
        lag: 0,
    });
    simulation.step(&Op::Sync {
        instance: 0,
        peer: 1,
    });
    assert_eq!(simulation.stores[0].revision(), 4);
    assert!(!View::of(&simulation.stores[0]).teams.contains_key("team-0"));
}

/// A key was withdrawn before this instance's first list, and a replayed
/// watch brings its old write. Taken as new, the key would work again.
#[test]
fn a_replayed_write_before_the_own_revision_is_rejected() {
    let mut simulation = simulation();
    simulation.write(0, true);
    let replayed = simulation.log.clone();
    simulation.withdraw(0);
    simulation.step(&Op::List {
        instance: 1,
        lag: 0,
    });
    for change in &replayed {
        simulation.stores[1].merge_change(change);
    }
    assert!(!View::of(&simulation.stores[1]).teams.contains_key("team-0"));
}

/// A key was withdrawn before this instance's first list. It is written again
/// in a form that this build can't read, and a peer that missed the
/// withdrawal sends the last form it could read. Taken as in force, the
/// withdrawn key would work again.
#[test]
fn a_last_readable_write_from_before_a_withdrawal_is_not_in_force() {
    let mut simulation = simulation();
    simulation.write(0, true);
    simulation.withdraw(0);
    simulation.step(&Op::List {
        instance: 1,
        lag: 0,
    });
    simulation.stores[1].merge_peer(&ConfigEntry {
        kind: "team".to_owned(),
        name: "team-0".to_owned(),
        version: 3,
        body: Some("{\"schema\":99}".to_owned()),
        last_readable: Some(Write {
            version: 1,
            body: Some("{\"schema\":1}".to_owned()),
        }),
    });
    assert!(!View::of(&simulation.stores[1]).teams.contains_key("team-0"));
}
