//! A model of several instances and the platform, reduced to what limits use.

mod platform;

use {
    mangowalk_core::{
        edge::PlatformError,
        limits::{Grant, InstanceLimits, PeerGrant, Reservation, SlotBody, SlotWrite},
        record::Rate,
    },
    platform::ModelPlatform,
    std::{collections::VecDeque, net::SocketAddr},
};

const TEAM: &str = "gallery";
const MAX_WRITES: usize = 300;
const START_MS: u64 = 1_000_000;

/// One event of a generated or hand-written case.
#[derive(Debug, Clone)]
pub(crate) enum Op {
    /// Time advances by so many milliseconds. Instances without other events do
    /// nothing.
    Advance(u64),
    /// An instance lists the slots.
    List(usize),
    /// An instance lists the slots, plans writes for `live` instances, and all of
    /// them succeed at once.
    Sync { instance: usize, live: u32 },
    /// An instance plans a batch of writes for `live` instances and sends it.
    Begin { instance: usize, live: u32 },
    /// The batch reaches the platform, with an outcome as in [`Model::arrive`].
    Arrive { instance: usize, outcome: u8 },
    /// The answers to the batch reach the instance.
    Answer(usize),
    /// A request takes this percentage of the tokens of its instance.
    Take { instance: usize, percent: u64 },
    /// A request takes all tokens of its instance and requests this percentage of
    /// a peer's tokens, which may be more than the peer has.
    Move {
        to: usize,
        from: usize,
        percent: u64,
    },
    /// A peer's answer arrives or is lost.
    Receive { index: usize, lost: bool },
    /// A request ends and refunds the tokens that it did not use.
    Settle {
        index: usize,
        used_percent: u64,
        /// How often each refund reaches its peer.
        messages: u8,
    },
    /// An instance is killed and restarts, on a new address or its own.
    Crash { instance: usize, new_address: bool },
    /// An instance shuts down cleanly, and another one starts on a new address.
    Close(usize),
}

struct SentWrite {
    write: SlotWrite,
    body: SlotBody,
    begun_ms: u64,
    result: Option<Result<u64, PlatformError>>,
}

struct Instance {
    address: SocketAddr,
    limits: InstanceLimits,
    sent: VecDeque<SentWrite>,
    drift_per_mille: i64,
    generation: u64,
}

struct OpenReservation {
    instance: usize,
    generation: u64,
    reservation: Reservation,
    grant: usize,
}

struct PendingGrant {
    open: OpenReservation,
    from: SocketAddr,
    requested: u64,
    grant: Grant,
}

/// The state of the model, and every grant with its time and tokens.
pub(crate) struct Model {
    now_ms: u64,
    rate: Rate,
    platform: ModelPlatform,
    instances: Vec<Instance>,
    open: VecDeque<OpenReservation>,
    pending_grants: VecDeque<PendingGrant>,
    grants: Vec<(u64, u64)>,
    next: u64,
}

impl Model {
    pub(crate) fn new(instances: usize, rate: &Rate) -> Model {
        let mut model = Model {
            now_ms: START_MS,
            rate: rate.clone(),
            platform: ModelPlatform::default(),
            instances: Vec::new(),
            open: VecDeque::new(),
            pending_grants: VecDeque::new(),
            grants: Vec::new(),
            next: 1,
        };
        for i in 0..instances {
            let address = model.fresh_address();
            let instance = model.start(address, i);
            model.instances.push(instance);
        }
        // Gives every instance its share of the slots and fills every bucket.
        for instance in (0..instances).chain(0..instances) {
            model.sync(instance, instances as u32);
            model.tokens(instance);
        }
        model.now_ms += 2_000 * rate.burst_tokens / rate.tokens_per_s;
        model
    }

    fn fresh_address(&mut self) -> SocketAddr {
        self.next += 1;
        SocketAddr::from(([127, 0, 0, 1], self.next as u16))
    }

    fn start(&mut self, address: SocketAddr, index: usize) -> Instance {
        self.next += 1;
        Instance {
            address,
            limits: InstanceLimits::new(address, self.next * 1_000_003),
            sent: VecDeque::new(),
            drift_per_mille: [5, -5, 0][index % 3],
            generation: self.next,
        }
    }

    fn local_ms(&self, instance: usize) -> u64 {
        let drift = self.instances[instance].drift_per_mille;
        (self.now_ms as i64 + self.now_ms as i64 * drift / 1_000) as u64
    }

    /// Advances to a time counted from the start of the first leases. Does
    /// nothing if that time has passed.
    pub(crate) fn advance_to(&mut self, since_start_ms: u64) {
        self.now_ms = self.now_ms.max(START_MS + since_start_ms);
    }

    pub(crate) fn apply(&mut self, op: &Op) {
        match *op {
            Op::Advance(ms) => self.now_ms += ms,
            Op::List(instance) => {
                let list = self.platform.list();
                let now_ms = self.local_ms(instance);
                self.instances[instance].limits.apply_list(&list, now_ms);
            }
            Op::Begin { instance, live } => self.begin(instance, live),
            Op::Arrive { instance, outcome } => self.arrive(instance, outcome),
            Op::Answer(instance) => self.answer(instance),
            Op::Sync { instance, live } => self.sync(instance, live),
            Op::Take { instance, percent } => self.take(instance, percent),
            Op::Move { to, from, percent } => self.start_move(to, from, percent),
            Op::Receive { index, lost } => self.receive(index, lost),
            Op::Settle {
                index,
                used_percent,
                messages,
            } => self.settle(index, used_percent, messages),
            Op::Crash {
                instance,
                new_address,
            } => self.crash(instance, new_address),
            Op::Close(instance) => self.close(instance),
        }
    }

    fn sync(&mut self, instance: usize, live: u32) {
        self.apply(&Op::List(instance));
        self.begin(instance, live);
        self.arrive(instance, 9);
        self.answer(instance);
    }

    fn begin(&mut self, instance: usize, live: u32) {
        let now_ms = self.local_ms(instance);
        if !self.instances[instance].sent.is_empty() {
            return;
        }
        for write in self.instances[instance]
            .limits
            .plan(live, MAX_WRITES, now_ms)
        {
            self.send(instance, write, now_ms);
        }
    }

    fn send(&mut self, instance: usize, write: SlotWrite, begun_ms: u64) {
        self.next += 1;
        let limits = &mut self.instances[instance].limits;
        let (SlotWrite::Create { slot }
        | SlotWrite::Replace { slot, .. }
        | SlotWrite::Release { slot, .. }) = write;
        if matches!(write, SlotWrite::Release { .. }) {
            limits.stop_refill(slot, begun_ms);
        }
        let sent = SentWrite {
            write,
            body: limits.body(slot, self.next),
            begun_ms,
            result: None,
        };
        self.instances[instance].sent.push_back(sent);
    }

    /// Applies the sent writes to the platform. Outcome 0: they never arrive;
    /// 1: they take effect and the reply is lost; 2: they take effect, the reply
    /// is lost and the slot is read back; any other: they succeed.
    fn arrive(&mut self, instance: usize, outcome: u8) {
        for sent in &mut self.instances[instance].sent {
            if sent.result.is_some() {
                continue;
            }
            sent.result = Some(match outcome {
                0 => Err(PlatformError::Unreached),
                1 => {
                    let _ = self.platform.write(&sent.write, &sent.body);
                    Err(PlatformError::Lost)
                }
                2 => {
                    let _ = self.platform.write(&sent.write, &sent.body);
                    self.platform.read_back(&sent.write, &sent.body)
                }
                _ => self.platform.write(&sent.write, &sent.body),
            });
        }
    }

    fn answer(&mut self, instance: usize) {
        let now_ms = self.local_ms(instance);
        let instance = &mut self.instances[instance];
        while let Some(sent) = instance.sent.front() {
            let Some(result) = &sent.result else { return };
            let _ = match sent.write {
                SlotWrite::Create { slot } | SlotWrite::Replace { slot, .. } => {
                    let limits = &mut instance.limits;
                    limits.apply_write_result(slot, sent.begun_ms, result, now_ms)
                }
                SlotWrite::Release { slot, .. } => {
                    instance.limits.apply_release_result(slot, result, now_ms)
                }
            };
            instance.sent.pop_front();
        }
    }

    fn take(&mut self, instance: usize, percent: u64) {
        let tokens = self.tokens(instance) * percent / 100;
        let now_ms = self.local_ms(instance);
        let ledger = self.instances[instance].limits.ledger();
        let Some(reservation) = ledger.take(TEAM, &self.rate, tokens, now_ms) else {
            return;
        };
        let open = self.open(instance, reservation);
        self.open.push_back(open);
    }

    /// Records a grant at the time at which its tokens left the bucket.
    fn open(&mut self, instance: usize, reservation: Reservation) -> OpenReservation {
        self.grants.push((self.now_ms, reservation.tokens));
        OpenReservation {
            instance,
            generation: self.instances[instance].generation,
            reservation,
            grant: self.grants.len() - 1,
        }
    }

    fn tokens(&mut self, instance: usize) -> u64 {
        let now_ms = self.local_ms(instance);
        let ledger = self.instances[instance].limits.ledger();
        ledger.tokens(TEAM, &self.rate, now_ms)
    }

    fn start_move(&mut self, to: usize, from: usize, percent: u64) {
        if to == from {
            return;
        }
        let requested = self.tokens(to) + self.tokens(from) * percent / 100;
        let (to_ms, from_ms) = (self.local_ms(to), self.local_ms(from));
        let mut reservation = Reservation::empty(TEAM);
        let requester = self.instances[to].limits.ledger();
        requester.take_up_to(&mut reservation, &self.rate, requested, to_ms);
        let granter = self.instances[from].limits.ledger();
        let missing = requested - reservation.tokens;
        let grant = granter.grant(TEAM, &self.rate, missing, from_ms);
        let open = self.open(to, reservation);
        self.grants[open.grant].1 = 0;
        self.pending_grants.push_back(PendingGrant {
            open,
            from: self.instances[from].address,
            requested,
            grant,
        });
    }

    fn receive(&mut self, index: usize, lost: bool) {
        let Some(mut pending) = self.pending_grants.remove(index) else {
            return;
        };
        let reservation = &mut pending.open.reservation;
        if !lost {
            reservation.add_grant(pending.from, &pending.grant);
        }
        if reservation.tokens < pending.requested {
            return self.finish(&pending.open, 0, 1);
        }
        self.grants[pending.open.grant].1 = reservation.tokens;
        self.open.push_back(pending.open);
    }

    fn settle(&mut self, index: usize, used_percent: u64, messages: u8) {
        if let Some(open) = self.open.remove(index) {
            let used = open.reservation.tokens * used_percent / 100;
            self.finish(&open, used, messages);
        }
    }

    /// Settles a reservation. Its refunds reach peers `messages` times, which may
    /// be 0.
    fn finish(&mut self, open: &OpenReservation, used: u64, messages: u8) {
        let instance = &mut self.instances[open.instance];
        if instance.generation != open.generation {
            return;
        }
        let refunds = instance.limits.ledger().settle(&open.reservation, used);
        self.grants[open.grant].1 = used;
        for grant in refunds {
            (0..messages).for_each(|_| self.apply_refund(&grant));
        }
    }

    fn apply_refund(&mut self, grant: &PeerGrant) {
        let peer = self.instances.iter_mut().find(|i| i.address == grant.peer);
        if let Some(peer) = peer {
            let ledger = peer.limits.ledger();
            ledger.apply_refund(TEAM, grant.grant_id, grant.tokens);
        }
    }

    fn crash(&mut self, instance: usize, new_address: bool) {
        let held = self.instances[instance].address;
        let address = if new_address {
            self.fresh_address()
        } else {
            held
        };
        self.instances[instance] = self.start(address, instance);
    }

    fn close(&mut self, instance: usize) {
        let now_ms = self.local_ms(instance);
        self.instances[instance].sent.clear();
        for write in self.instances[instance].limits.close() {
            self.send(instance, write, now_ms);
        }
        self.arrive(instance, 9);
        self.crash(instance, true);
    }

    /// Checks that the tokens granted in every span of time between two grants
    /// are at most burst + rate x span.
    pub(crate) fn check(&self) -> Result<(), String> {
        for (first, (from_ms, _)) in self.grants.iter().enumerate() {
            let mut sum = 0;
            for (at_ms, tokens) in &self.grants[first..] {
                sum += tokens;
                // A clock that runs 0.5 % fast refills 0.5 % more.
                let refilled = (at_ms - from_ms) * self.rate.tokens_per_s * 1_005 / 1_000_000;
                let max_tokens = self.rate.burst_tokens + refilled + 1;
                if sum > max_tokens {
                    return Err(format!(
                        "{sum} tokens in {from_ms}..={at_ms} ms, over {max_tokens}"
                    ));
                }
            }
        }
        Ok(())
    }
}
