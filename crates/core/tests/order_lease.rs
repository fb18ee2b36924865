//! The lease of orders in fleets whose instances stop, restart and lose answers while they
//! take it from each other.

use {
    mangowalk_core::{
        mesh::{Heartbeat, MemberTable},
        weights::{
            HolderReport, LeaseClaim, ObservedRecord, OrderLease, OrderLeaseHeld,
            OrderLeaseSettings, Vacant,
        },
    },
    proptest::prelude::*,
    std::{cell::RefCell, fmt::Write, net::SocketAddr},
};

const INSTANCES: usize = 4;

/// Operation of one instance, or of all.
#[derive(Debug, Clone)]
enum Op {
    Wait {
        ms: u64,
    },
    /// Time passes in which each instance sends a heartbeat every 200 ms.
    WaitHeard {
        rounds: u64,
        delay_ms: u64,
    },
    /// Takes the lease, waits as long as it has to, renews the lease and orders.
    TakeAndOrder {
        at: usize,
    },
    /// Takes the lease as soon as it may, and releases it unused.
    TakeAndRelease {
        at: usize,
    },
    /// Sends a heartbeat, which all others receive after a delay.
    Heartbeat {
        at: usize,
        delay_ms: u64,
    },
    /// Reads the record, and writes it if its holder permits that.
    Take {
        at: usize,
        answer_is_lost: bool,
    },
    Renew {
        at: usize,
    },
    Order {
        at: usize,
    },
    /// Releases the lease, as an instance does that stops.
    Release {
        at: usize,
    },
    /// Starts as a new process. Its clock may have been set back meanwhile.
    Restart {
        at: usize,
        is_set_back: bool,
    },
}

fn delay() -> impl Strategy<Value = u64> {
    prop_oneof![4 => 0..60_u64, 1 => 0..900_u64]
}

fn op() -> impl Strategy<Value = Op> {
    let at = 0..INSTANCES;
    prop_oneof![
        2 => (1..1_200_u64).prop_map(|ms| Op::Wait { ms }),
        6 => (1..8_u64, delay()).prop_map(|(rounds, delay_ms)| Op::WaitHeard { rounds, delay_ms }),
        2 => at.clone().prop_map(|at| Op::TakeAndOrder { at }),
        2 => at.clone().prop_map(|at| Op::TakeAndRelease { at }),
        2 => (at.clone(), delay())
            .prop_map(|(at, delay_ms)| Op::Heartbeat { at, delay_ms }),
        6 => (at.clone(), prop::bool::weighted(0.2))
            .prop_map(|(at, answer_is_lost)| Op::Take { at, answer_is_lost }),
        3 => at.clone().prop_map(|at| Op::Renew { at }),
        6 => at.clone().prop_map(|at| Op::Order { at }),
        2 => at.clone().prop_map(|at| Op::Release { at }),
        1 => (at, prop::bool::weighted(0.3))
            .prop_map(|(at, is_set_back)| Op::Restart { at, is_set_back }),
    ]
}

enum LeaseState {
    Vacant(OrderLease<Vacant>),
    Held(OrderLease<OrderLeaseHeld>),
}

struct Instance {
    name: String,
    incarnation: u64,
    started_ms: u64,
    sequence: u64,
    last_order_ms: Option<u64>,
    lease: LeaseState,
    seen: Option<ObservedRecord>,
    members: MemberTable,
}

impl Instance {
    fn start(index: usize, incarnation: u64, started_ms: u64) -> Instance {
        let name = format!("m{index}");
        Instance {
            members: MemberTable::new(&name, "a"),
            name,
            incarnation,
            started_ms,
            sequence: 0,
            last_order_ms: None,
            lease: LeaseState::Vacant(OrderLease::new(OrderLeaseSettings::default())),
            seen: None,
        }
    }

    fn heartbeat(&mut self, now_ms: u64) -> Heartbeat {
        self.sequence += 1;
        let address: SocketAddr = "127.0.0.1:7600".parse().expect("an address");
        Heartbeat {
            name: self.name.clone(),
            incarnation: self.incarnation,
            up_ms: (now_ms - self.started_ms) as u32,
            sequence: self.sequence,
            caller_address: address,
            peer_address: address,
            domain: "a".to_owned(),
            ready: true,
            stopped: false,
            has_store: true,
            configuration_version: 1,
            versions: Vec::new(),
            loads: Vec::new(),
            placements: Vec::new(),
            engines_revision: 1,
            departures: Vec::new(),
            silent_engines: Vec::new(),
            crashes: Vec::new(),
            knows_rates: true,
            instances: INSTANCES as u32,
            counted_for_ms: 8_000,
            teams: Vec::new(),
            holds_lease: matches!(self.lease, LeaseState::Held(_)),
            ordered_ago_ms: self.last_order_ms.map(|at_ms| (now_ms - at_ms) as u32),
            orders: Vec::new(),
            peers: Vec::new(),
        }
    }
}

struct Record {
    holder: usize,
    fence: u64,
    revision: u64,
    claim: LeaseClaim,
}

#[derive(Debug, Clone, Copy)]
struct Order {
    at: usize,
    fence: u64,
    sent_ms: u64,
}

/// Instances, the store and the heartbeats on their way.
struct Fleet {
    now_ms: u64,
    record: Option<Record>,
    revision: u64,
    instances: Vec<Instance>,
    in_transit: Vec<(u64, Heartbeat)>,
    orders: Vec<Order>,
    /// Whether holders write records as earlier builds do.
    is_old_build: bool,
}

impl Fleet {
    fn start(size: usize, is_old_build: bool) -> Fleet {
        let now_ms = 100_000;
        let start = |index| Instance::start(index, 1_000, now_ms - 20_000);
        Fleet {
            now_ms,
            record: None,
            revision: 0,
            instances: (0..size).map(start).collect(),
            in_transit: Vec::new(),
            orders: Vec::new(),
            is_old_build,
        }
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Wait { ms } => self.now_ms += ms,
            Op::WaitHeard { rounds, delay_ms } => self.wait_heard(rounds, delay_ms),
            Op::TakeAndOrder { at } => self.take_and_order(at),
            Op::TakeAndRelease { at } => {
                self.take_soon(at);
                self.release(at);
            }
            Op::Heartbeat { at, delay_ms } => {
                let heartbeat = self.instances[at].heartbeat(self.now_ms);
                self.in_transit.push((self.now_ms + delay_ms, heartbeat));
            }
            Op::Take { at, answer_is_lost } => self.take(at, answer_is_lost),
            Op::Renew { at } => self.renew(at),
            Op::Order { at } => self.order(at),
            Op::Release { at } => self.release(at),
            Op::Restart { at, is_set_back } => self.restart(at, is_set_back),
        }
        self.deliver();
    }

    fn wait_heard(&mut self, rounds: u64, delay_ms: u64) {
        for _ in 0..rounds {
            self.now_ms += 200;
            for instance in &mut self.instances {
                let heartbeat = instance.heartbeat(self.now_ms);
                self.in_transit.push((self.now_ms + delay_ms, heartbeat));
            }
            self.deliver();
        }
    }

    fn take_and_order(&mut self, at: usize) {
        for _ in 0..50 {
            self.take(at, false);
            self.renew(at);
            self.order(at);
            if self.orders.last().is_some_and(|order| order.at == at) {
                return;
            }
            self.wait_heard(1, 20);
        }
    }

    fn take_soon(&mut self, at: usize) {
        for _ in 0..50 {
            self.take(at, false);
            if matches!(self.instances[at].lease, LeaseState::Held(_)) {
                return;
            }
            self.wait_heard(1, 20);
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        self.in_transit.sort_by_key(|(due_ms, _)| *due_ms);
        let arrived = self
            .in_transit
            .partition_point(|(due_ms, _)| *due_ms <= now_ms);
        for (due_ms, heartbeat) in self.in_transit.drain(..arrived) {
            for instance in &mut self.instances {
                if instance.name != heartbeat.name {
                    instance.members.receive(heartbeat.clone(), due_ms);
                }
            }
        }
    }

    fn take(&mut self, at: usize, answer_is_lost: bool) {
        let now_ms = self.now_ms;
        let instance = &mut self.instances[at];
        let LeaseState::Vacant(vacant) = &instance.lease else {
            return;
        };
        let no_orders_since_ms = match &self.record {
            None => None,
            Some(record) if record.holder == at && record.claim.is_settled => None,
            Some(record) => {
                let seen = instance
                    .seen
                    .filter(|seen| seen.revision == record.revision);
                let seen = *instance.seen.insert(seen.unwrap_or(ObservedRecord {
                    revision: record.revision,
                    first_seen_ms: now_ms,
                    claim: record.claim,
                }));
                let holder = format!("m{}", record.holder);
                let mut members = instance.members.iter();
                let member = members.find(|member| member.last_heartbeat.name == holder);
                let report = member.and_then(|member| {
                    HolderReport::new(&record.claim, &member.last_heartbeat, member.received_ms)
                });
                let settings = OrderLeaseSettings::default();
                let Some(since_ms) = seen.check_takeover(report, &settings, now_ms) else {
                    return;
                };
                Some(since_ms)
            }
        };
        let vacant = vacant.clone();
        if let Some(since_ms) = no_orders_since_ms.filter(|_| !self.is_old_build) {
            let last_ms = instance.last_order_ms.unwrap_or(0);
            instance.last_order_ms = Some(last_ms.max(since_ms));
        }
        let tells = !self.is_old_build;
        let claim = LeaseClaim {
            incarnation: instance.incarnation,
            is_settled: no_orders_since_ms.is_none(),
            quiet_ms: no_orders_since_ms.filter(|_| tells).map(|ms| now_ms - ms),
            heartbeat: tells.then_some(instance.sequence),
        };
        let fence = self.record.as_ref().map_or(1, |record| record.fence + 1);
        self.write(at, fence, claim);
        if !answer_is_lost {
            let held = vacant.take(fence, self.revision, no_orders_since_ms, now_ms);
            self.instances[at].lease = LeaseState::Held(held);
        }
        // Without sequence numbers in the record, only that the holder is heard soon shows
        // that it has the lease.
        if self.is_old_build {
            let heartbeat = self.instances[at].heartbeat(now_ms);
            self.in_transit.push((now_ms + 50, heartbeat));
        }
    }

    fn write(&mut self, holder: usize, fence: u64, claim: LeaseClaim) {
        self.revision += 1;
        self.record = Some(Record {
            holder,
            fence,
            revision: self.revision,
            claim,
        });
    }

    fn renew(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let LeaseState::Held(lease) = &self.instances[at].lease else {
            return;
        };
        let (fence, revision) = (lease.state().fence, lease.state().revision);
        if self.revision != revision {
            return self.release(at);
        }
        if lease.is_waiting(now_ms) {
            return;
        }
        let instance = &self.instances[at];
        let claim = LeaseClaim {
            incarnation: instance.incarnation,
            is_settled: true,
            quiet_ms: None,
            heartbeat: (!self.is_old_build).then_some(instance.sequence),
        };
        self.write(at, fence, claim);
        if let LeaseState::Held(lease) = &mut self.instances[at].lease {
            lease.record_renewal(self.revision, now_ms);
        }
    }

    fn order(&mut self, at: usize) {
        let instance = &mut self.instances[at];
        let LeaseState::Held(lease) = &instance.lease else {
            return;
        };
        if lease.may_order(self.now_ms) {
            instance.last_order_ms = Some(self.now_ms);
            self.orders.push(Order {
                at,
                fence: lease.state().fence,
                sent_ms: self.now_ms,
            });
        }
    }

    fn release(&mut self, at: usize) {
        let settings = OrderLeaseSettings::default();
        self.instances[at].lease = LeaseState::Vacant(OrderLease::new(settings));
    }

    /// An instance needs a second until it serves again.
    fn restart(&mut self, at: usize, is_set_back: bool) {
        self.now_ms += 1_000;
        let before = self.instances[at].incarnation;
        let incarnation = if is_set_back { before - 7 } else { before + 10 };
        self.instances[at] = Instance::start(at, incarnation, self.now_ms);
    }
}

fn check(fleet: &Fleet) -> Result<(), TestCaseError> {
    let exclusion_ms = OrderLeaseSettings::default().exclusion_ms;
    for pair in fleet.orders.windows(2) {
        let is_same = pair[0].at == pair[1].at;
        let gap_ms = pair[1].sent_ms - pair[0].sent_ms;
        prop_assert!(is_same || gap_ms >= exclusion_ms, "{pair:?}");
        prop_assert!(pair[0].fence <= pair[1].fence, "{pair:?}");
    }
    Ok(())
}

/// Guards against an exclusion time that is lost where the lease changes hands before it is
/// used: takers stop, restart, lose the answer to their write, and are heard late. Another
/// instance then orders an engine while the order of an earlier one counts.
#[test]
fn the_exclusion_time_outlasts_every_change_of_hands() {
    let orders_of_others = RefCell::new(0);
    let config = ProptestConfig {
        cases: ProptestConfig::default().cases.max(6_000),
        ..ProptestConfig::default()
    };
    proptest!(config, |(ops in prop::collection::vec(op(), 1..160), is_old_build: bool)| {
        let mut fleet = Fleet::start(INSTANCES, is_old_build);
        for op in &ops {
            fleet.apply(op);
        }
        check(&fleet)?;
        let changes = fleet.orders.windows(2).filter(|pair| pair[0].at != pair[1].at);
        *orders_of_others.borrow_mut() += changes.count();
    });
    assert!(
        orders_of_others.into_inner() > 1_000,
        "few orders change hands"
    );
}

/// Guards against a record of an earlier build, which doesn't tell when earlier holders
/// ordered: that its holder has sent no order says nothing about theirs.
#[test]
fn a_record_without_the_age_of_earlier_orders_counts_as_written_just_after_one() {
    let settings = OrderLeaseSettings::default();
    let seen = |claim| ObservedRecord {
        revision: 7,
        first_seen_ms: 50_000,
        claim,
    };
    let report = Some(HolderReport {
        no_orders_since_ms: 20_000,
        received_ms: 50_300,
        is_restarted: false,
        is_after_claim: false,
    });
    let unsettled = LeaseClaim::default();
    let takeover = |claim| seen(claim).check_takeover(report, &settings, 50_700);
    assert_eq!(takeover(unsettled), Some(50_000));
    let tells_age = LeaseClaim {
        quiet_ms: Some(1_200),
        ..unsettled
    };
    assert_eq!(takeover(tells_age), Some(48_800));
    let settled = LeaseClaim {
        is_settled: true,
        ..unsettled
    };
    assert_eq!(takeover(settled), Some(20_000));
}

/// Number of changes of hands after which an order must have been sent.
const MAX_CHANGES: usize = 20;

/// Returns the time between the orders of two instances, in milliseconds, where those
/// between them take the lease one after the other and each ends `gap_ms` later unless it
/// has ordered by then.
fn wait_of_chain_ms(size: usize, gap_ms: u64, is_killed: bool) -> u64 {
    let mut fleet = Fleet::start(size, false);
    fleet.take_and_order(0);
    let first_ms = fleet.now_ms;
    fleet.release(0);
    for at in (1..size).cycle().take(MAX_CHANGES) {
        fleet.take_soon(at);
        let ends_ms = fleet.now_ms + gap_ms;
        while fleet.now_ms < ends_ms {
            fleet.wait_heard(1, 20);
            fleet.renew(at);
            fleet.order(at);
            if fleet.orders.len() > 1 {
                return fleet.now_ms - first_ms;
            }
        }
        match is_killed {
            true => fleet.restart(at, false),
            false => fleet.release(at),
        }
    }
    panic!("no order within {MAX_CHANGES} changes of hands")
}

/// Guards against a wait that starts anew at each change of hands: in a long rolling restart
/// no weights would change.
#[test]
fn changes_of_hands_do_not_restart_the_exclusion_time() {
    let settings = OrderLeaseSettings::default();
    let least_ms = settings.exclusion_ms + settings.margin_ms;
    let mut table = String::from("instances, gap ms, end: ms between orders of two instances\n");
    for size in [7, 300] {
        for gap_ms in [200, 1_200] {
            for is_killed in [false, true] {
                let wait_ms = wait_of_chain_ms(size, gap_ms, is_killed);
                let end = if is_killed { "killed" } else { "stopped" };
                writeln!(table, "{size}, {gap_ms}, {end}: {wait_ms}").expect("it is a string");
                assert!(wait_ms >= least_ms, "{table}");
            }
        }
    }
    insta::assert_snapshot!(table);
}
