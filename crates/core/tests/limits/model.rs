//! Several instances and the platform, as far as limits need them.

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

/// One thing that happens.
#[derive(Debug, Clone)]
pub(crate) enum Op {
    /// Time goes on. An instance that gets no other event stands still.
    Advance(u64),
    /// An instance lists the slots.
    List(usize),
    /// An instance lists, and all its writes go well at once.
    Sync { at: usize, live: u32 },
    /// An instance plans a batch of writes and sends the first.
    Begin { at: usize, live: u32 },
    /// The batch arrives at the platform, or some part of it fails.
    Arrive { at: usize, outcome: u8 },
    /// The answers reach the instance.
    Answer(usize),
    /// A request takes this share of the tokens that are there.
    Take { at: usize, percent: u64 },
    /// A request draws all tokens and asks a peer for this share of its own,
    /// or for more than it has.
    Move {
        to: usize,
        from: usize,
        percent: u64,
    },
    /// The peer's answer comes, or is lost.
    Receive { index: usize, lost: bool },
    /// A request ends and puts back what it did not use.
    Settle {
        index: usize,
        used_percent: u64,
        /// How often what goes back to a peer arrives.
        messages: u8,
    },
    /// An instance is killed and starts again, at another address or its own.
    Crash { at: usize, new_address: bool },
    /// An instance shuts down in good order; another starts in its place.
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
    at: usize,
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

/// The whole model, and every grant with its time.
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
        // Every instance holds its share, and every bucket fills.
        for at in (0..instances).chain(0..instances) {
            model.sync(at, instances as u32);
            model.tokens(at);
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

    fn local_ms(&self, at: usize) -> u64 {
        let drift = self.instances[at].drift_per_mille;
        (self.now_ms as i64 + self.now_ms as i64 * drift / 1_000) as u64
    }

    /// Moves on to a time since the first leases.
    pub(crate) fn advance_to(&mut self, since_start_ms: u64) {
        self.now_ms = self.now_ms.max(START_MS + since_start_ms);
    }

    pub(crate) fn apply(&mut self, op: &Op) {
        match *op {
            Op::Advance(ms) => self.now_ms += ms,
            Op::List(at) => {
                let list = self.platform.list();
                let now_ms = self.local_ms(at);
                self.instances[at].limits.apply_list(&list, now_ms);
            }
            Op::Begin { at, live } => self.begin(at, live),
            Op::Arrive { at, outcome } => self.arrive(at, outcome),
            Op::Answer(at) => self.answer(at),
            Op::Sync { at, live } => self.sync(at, live),
            Op::Take { at, percent } => self.take(at, percent),
            Op::Move { to, from, percent } => self.start_move(to, from, percent),
            Op::Receive { index, lost } => self.receive(index, lost),
            Op::Settle {
                index,
                used_percent,
                messages,
            } => self.settle(index, used_percent, messages),
            Op::Crash { at, new_address } => self.crash(at, new_address),
            Op::Close(at) => self.close(at),
        }
    }

    fn sync(&mut self, at: usize, live: u32) {
        self.apply(&Op::List(at));
        self.begin(at, live);
        self.arrive(at, 9);
        self.answer(at);
    }

    fn begin(&mut self, at: usize, live: u32) {
        let now_ms = self.local_ms(at);
        if !self.instances[at].sent.is_empty() {
            return;
        }
        for write in self.instances[at].limits.plan(live, MAX_WRITES, now_ms) {
            self.send(at, write, now_ms);
        }
    }

    fn send(&mut self, at: usize, write: SlotWrite, begun_ms: u64) {
        self.next += 1;
        let limits = &mut self.instances[at].limits;
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
        self.instances[at].sent.push_back(sent);
    }

    /// Fates: 0 never arrives; 1 takes effect and the reply is lost for good;
    /// 2 takes effect, the reply is lost and read back; the rest go well.
    fn arrive(&mut self, at: usize, outcome: u8) {
        for sent in &mut self.instances[at].sent {
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

    fn answer(&mut self, at: usize) {
        let now_ms = self.local_ms(at);
        let instance = &mut self.instances[at];
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

    fn take(&mut self, at: usize, percent: u64) {
        let tokens = self.tokens(at) * percent / 100;
        let now_ms = self.local_ms(at);
        let ledger = self.instances[at].limits.ledger();
        let Some(reservation) = ledger.take(TEAM, &self.rate, tokens, now_ms) else {
            return;
        };
        let open = self.open(at, reservation);
        self.open.push_back(open);
    }

    /// Notes a grant at the time when its tokens left the bucket.
    fn open(&mut self, at: usize, reservation: Reservation) -> OpenReservation {
        self.grants.push((self.now_ms, reservation.tokens));
        OpenReservation {
            at,
            generation: self.instances[at].generation,
            reservation,
            grant: self.grants.len() - 1,
        }
    }

    fn tokens(&mut self, at: usize) -> u64 {
        let now_ms = self.local_ms(at);
        let ledger = self.instances[at].limits.ledger();
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

    /// Ends a reservation; what goes back to peers gets lost, or comes once or
    /// more often.
    fn finish(&mut self, open: &OpenReservation, used: u64, messages: u8) {
        let instance = &mut self.instances[open.at];
        if instance.generation != open.generation {
            return;
        }
        let refunds = instance.limits.ledger().settle(&open.reservation, used);
        self.grants[open.grant].1 = used;
        for grant in refunds {
            (0..messages).for_each(|_| self.take_back(&grant));
        }
    }

    fn take_back(&mut self, grant: &PeerGrant) {
        let peer = self.instances.iter_mut().find(|i| i.address == grant.peer);
        if let Some(peer) = peer {
            let ledger = peer.limits.ledger();
            ledger.take_back(TEAM, grant.grant_id, grant.tokens);
        }
    }

    fn crash(&mut self, at: usize, new_address: bool) {
        let held = self.instances[at].address;
        let address = if new_address {
            self.fresh_address()
        } else {
            held
        };
        self.instances[at] = self.start(address, at);
    }

    fn close(&mut self, at: usize) {
        let now_ms = self.local_ms(at);
        self.instances[at].sent.clear();
        for write in self.instances[at].limits.close() {
            self.send(at, write, now_ms);
        }
        self.arrive(at, 9);
        self.crash(at, true);
    }

    /// Checks every span of time between two grants.
    pub(crate) fn check(&self) -> Result<(), String> {
        for (first, (from_ms, _)) in self.grants.iter().enumerate() {
            let mut sum = 0;
            for (at_ms, tokens) in &self.grants[first..] {
                sum += tokens;
                // A clock that runs half a percent fast mints as much more.
                let minted = (at_ms - from_ms) * self.rate.tokens_per_s * 1_005 / 1_000_000;
                let max_tokens = self.rate.burst_tokens + minted + 1;
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
