use {
    super::Instance,
    mangowalk_core::admission::{Competition, Job, RoomFull, WaitingRoom, WaitingSettings},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, HashMap},
        fmt::Write,
        rc::Rc,
    },
    tokio::sync::Notify,
};

/// A request that enters a waiting room.
pub struct Arrival<'a> {
    /// Service that runs the request.
    pub service: &'a str,
    /// Name of its route.
    pub route: &'a str,
    /// The request's place in the order. Its ID is set by the room.
    pub job: Job,
    /// Size of its body, which is kept while it waits.
    pub body_bytes: usize,
}

/// The waiting room of one service, and what its requests need to be told of their turns.
struct ServiceRoom {
    room: WaitingRoom,
    waiters: HashMap<u64, Waiter>,
}

struct Waiter {
    turn: Rc<Notify>,
    route: String,
    since_ms: u64,
}

/// The waiting rooms of an instance, one for each service.
#[derive(Default)]
pub struct WaitingRooms {
    by_service: RefCell<BTreeMap<String, ServiceRoom>>,
    next_id: Cell<u64>,
    /// Number of requests that wait in all rooms.
    waiting: Cell<usize>,
}

impl ServiceRoom {
    fn new(settings: &WaitingSettings) -> ServiceRoom {
        ServiceRoom {
            room: WaitingRoom::new(*settings, rand::random()),
            waiters: HashMap::new(),
        }
    }

    fn notify(&self, id: Option<u64>) {
        if let Some(waiter) = id.and_then(|id| self.waiters.get(&id)) {
            waiter.turn.notify_one();
        }
    }
}

impl WaitingRooms {
    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.get()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.get() == 0
    }

    /// Returns whether a new request of this priority must let others of its service go first.
    pub fn goes_first(&self, service: &str, priority: u8) -> bool {
        if self.is_empty() {
            return false;
        }
        let rooms = self.by_service.borrow();
        let room = rooms.get(service);
        room.is_some_and(|service| service.room.goes_first(priority))
    }

    /// Adds a request. Returns its ID and the notification of its turns.
    ///
    /// # Errors
    ///
    /// Returns which bound the request would exceed.
    pub fn enter(
        &self,
        arrival: Arrival<'_>,
        settings: &WaitingSettings,
        now_ms: u64,
    ) -> Result<(u64, Rc<Notify>), RoomFull> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let mut rooms = self.by_service.borrow_mut();
        let service = rooms
            .entry(arrival.service.to_owned())
            .or_insert_with(|| ServiceRoom::new(settings));
        let job = Job { id, ..arrival.job };
        service.room.enter(job, arrival.body_bytes, now_ms)?;
        let turn = Rc::new(Notify::new());
        let waiter = Waiter {
            turn: turn.clone(),
            route: arrival.route.to_owned(),
            since_ms: now_ms,
        };
        service.waiters.insert(id, waiter);
        self.waiting.set(self.waiting.get() + 1);
        Ok((id, turn))
    }

    /// Removes a request that was sent to an engine.
    pub fn place(&self, service: &str, id: u64, now_ms: u64) {
        self.remove(service, id, |room| room.place(id, now_ms));
    }

    /// Removes a request that was refused or whose caller is gone.
    pub fn leave(&self, service: &str, id: u64) {
        self.remove(service, id, |room| room.leave(id));
    }

    fn remove(&self, service: &str, id: u64, remove: impl FnOnce(&mut WaitingRoom) -> Option<u64>) {
        let mut rooms = self.by_service.borrow_mut();
        let Some(service) = rooms.get_mut(service) else {
            return;
        };
        if service.waiters.remove(&id).is_some() {
            self.waiting.set(self.waiting.get() - 1);
            let next = remove(&mut service.room);
            service.notify(next);
        }
    }

    /// Ends the turn of a request that found no engine.
    pub fn pass_turn(&self, service: &str, id: u64) {
        let mut rooms = self.by_service.borrow_mut();
        if let Some(service) = rooms.get_mut(service) {
            let next = service.room.pass_turn(id);
            service.notify(next);
        }
    }

    /// Begins a walk in each room where none goes on. Called when engines may have room; costs
    /// next to nothing while nobody waits or a walk has just begun.
    pub fn wake(&self, now_ms: u64) {
        if self.is_empty() {
            return;
        }
        for service in self.by_service.borrow_mut().values_mut() {
            let first = service.room.begin_walk(now_ms);
            service.notify(first);
        }
    }

    /// Applies a function to the room of a service.
    pub fn with_room<T>(
        &self,
        service: &str,
        settings: &WaitingSettings,
        apply: impl FnOnce(&mut WaitingRoom) -> T,
    ) -> T {
        let mut rooms = self.by_service.borrow_mut();
        let service = rooms
            .entry(service.to_owned())
            .or_insert_with(|| ServiceRoom::new(settings));
        apply(&mut service.room)
    }

    /// Returns metrics of the requests that wait, in the Prometheus text format.
    pub fn render(&self, now_ms: u64) -> String {
        let mut by_route: BTreeMap<&str, (usize, u64)> = BTreeMap::new();
        let rooms = self.by_service.borrow();
        for waiter in rooms.values().flat_map(|room| room.waiters.values()) {
            let (waiting, longest_ms) = by_route.entry(&waiter.route).or_default();
            *waiting += 1;
            *longest_ms = (*longest_ms).max(now_ms.saturating_sub(waiter.since_ms));
        }
        let mut text = format!("mangowalk_waiting {}\n", self.waiting.get());
        for (route, (waiting, longest_ms)) in by_route {
            // Writing to a string does not fail.
            let _ = write!(
                text,
                "mangowalk_waiting_by_route{{route=\"{route}\"}} {waiting}\n\
                 mangowalk_longest_wait_ms{{route=\"{route}\"}} {longest_ms}\n",
            );
        }
        text
    }
}

impl Instance {
    /// Records that a request arrived which is sent only within bounds on the engines' work.
    pub fn record_bounded_arrival(&self, now_ms: u64) {
        let mut arrivals = self.bounded_arrivals.get();
        arrivals.record(now_ms);
        self.bounded_arrivals.set(arrivals);
    }

    /// Records that a request arrived for engines whose memory bounds what they hold.
    pub fn record_arrival(&self, now_ms: u64) {
        let mut arrivals = self.arrivals.get();
        arrivals.record(now_ms);
        self.arrivals.set(arrivals);
    }

    /// Returns how many requests arrive at all instances until they hear of each other's work,
    /// if as many do as here.
    pub fn arrivals_per_interval(&self, now_ms: u64) -> f64 {
        let mesh = &self.settings.mesh;
        let interval_ms = self.members.borrow().report_interval_ms(mesh);
        let own = self.arrivals.get().per_ms(now_ms) * interval_ms as f64;
        own * self.instance_count() as f64
    }

    /// Returns how many such requests of all instances look for engines at the same time.
    pub fn competition(&self, now_ms: u64) -> Competition {
        let interval_ms = self
            .members
            .borrow()
            .report_interval_ms(&self.settings.mesh);
        Competition::new(
            self.instance_count(),
            // Those behind them in the order aren't tried.
            self.waiting
                .waiting()
                .min(self.settings.waiting.tries_per_walk),
            self.bounded_arrivals.get(),
            interval_ms,
            now_ms,
        )
    }
}
