use {
    crate::{
        clock::now_ms,
        instance::{Drain, Instance},
    },
    std::{
        cell::{Cell, RefCell},
        fmt,
        rc::Rc,
    },
};

/// Where a request is until its caller has the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// It is decided whether and where it is sent.
    Deciding,
    /// It waits in this instance until an engine has room.
    Waiting,
    /// It was sent to an engine, which hasn't begun its answer.
    AtEngine,
    /// It was passed on to a peer, which hasn't begun its answer.
    AtPeer,
    /// The answer is being read.
    Answering,
}

impl Stage {
    fn label(self) -> &'static str {
        match self {
            Stage::Deciding => "deciding",
            Stage::Waiting => "waiting",
            Stage::AtEngine => "engine",
            Stage::AtPeer => "peer",
            Stage::Answering => "answer",
        }
    }
}

/// Progress of a request. Counts and logs a request whose connection closes before it is
/// answered, which ends the work of its engine.
pub(super) struct Progress {
    instance: Rc<Instance>,
    request_id: String,
    arrived_ms: u64,
    stage: Cell<Stage>,
    /// When the stage began.
    since_ms: Cell<u64>,
    /// Engine or peer that has the request; empty if none has it.
    upstream: RefCell<String>,
    may_have_arrived: Cell<bool>,
    is_ended: Cell<bool>,
}

impl Progress {
    /// Returns the progress of a request that has just arrived.
    pub(super) fn new(instance: &Rc<Instance>, request_id: &str, arrived_ms: u64) -> Progress {
        Progress {
            instance: instance.clone(),
            request_id: request_id.to_owned(),
            arrived_ms,
            stage: Cell::new(Stage::Deciding),
            since_ms: Cell::new(arrived_ms),
            upstream: RefCell::default(),
            may_have_arrived: Cell::new(false),
            is_ended: Cell::new(false),
        }
    }

    /// Records that no engine and no peer has the request.
    pub(super) fn enter(&self, stage: Stage) {
        self.set(stage, "");
    }

    /// Records that an engine or a peer has the request.
    pub(super) fn enter_at(&self, stage: Stage, upstream: &str) {
        self.may_have_arrived.set(true);
        self.set(stage, upstream);
    }

    fn set(&self, stage: Stage, upstream: &str) {
        self.stage.set(stage);
        self.since_ms.set(now_ms());
        let mut current = self.upstream.borrow_mut();
        current.clear();
        current.push_str(upstream);
    }

    /// Returns whether the request may have reached an engine.
    pub(super) fn may_have_arrived(&self) -> bool {
        self.may_have_arrived.get()
    }

    /// Records that the caller gets an answer or a refusal, or that its stream is cut off.
    pub(super) fn end(&self) {
        self.is_ended.set(true);
    }
}

impl fmt::Display for Progress {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let now_ms = now_ms();
        write!(
            formatter,
            "request={} stage={} upstream={} stage_ms={} after_ms={}",
            self.request_id,
            self.stage.get().label(),
            self.upstream.borrow(),
            now_ms.saturating_sub(self.since_ms.get()),
            now_ms.saturating_sub(self.arrived_ms),
        )
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        let is_stopped = *self.instance.drain.borrow() == Drain::Stopped;
        if self.is_ended.get() || is_stopped {
            return;
        }
        let counters = &self.instance.counters;
        counters.count("abandoned", self.stage.get().label());
        log::info!("event=abandoned {self}");
    }
}
