use {
    super::{CutReason, Hold},
    std::sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

/// What bytes are held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeldKind {
    /// Bodies of callers' requests, until their answers are complete.
    Requests,
    /// Plain answers, which are forwarded once they are complete.
    Answers,
    /// Read from connections and not yet handed on by the HTTP library.
    Received,
    /// Incomplete events of streams.
    Events,
    /// Not yet accepted by the operating system for a caller.
    Unsent,
}

impl HeldKind {
    const ALL: [HeldKind; 5] = [
        HeldKind::Requests,
        HeldKind::Answers,
        HeldKind::Received,
        HeldKind::Events,
        HeldKind::Unsent,
    ];

    fn label(self) -> &'static str {
        match self {
            HeldKind::Requests => "requests",
            HeldKind::Answers => "answers",
            HeldKind::Received => "received",
            HeldKind::Events => "events",
            HeldKind::Unsent => "unsent",
        }
    }
}

/// Number of bytes that an instance holds for callers and engines.
///
/// The counts are atomic only because the tasks of connections to engines may move between
/// threads as far as their types go; all tasks run on one thread.
#[derive(Debug, Default)]
pub struct HeldBytes {
    by_kind: [AtomicUsize; HeldKind::ALL.len()],
    /// Answers and requests that were cut off at a bound, by reason.
    cuts: [AtomicUsize; CutReason::ALL.len()],
}

impl HeldBytes {
    /// Returns a count of a part, which is zero at first.
    pub fn hold(self: &Arc<HeldBytes>, kind: HeldKind) -> Hold {
        Hold::new(self.clone(), kind)
    }

    /// Returns the number of bytes of one kind.
    pub fn of(&self, kind: HeldKind) -> usize {
        self.by_kind[kind as usize].load(Ordering::Relaxed)
    }

    /// Returns the number of all bytes.
    pub fn total(&self) -> usize {
        HeldKind::ALL.into_iter().map(|kind| self.of(kind)).sum()
    }

    /// Counts an answer or a request that was cut off at a bound.
    pub fn record_cut(&self, reason: CutReason) {
        self.cuts[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of those that were cut off at a bound.
    pub fn cuts(&self, reason: CutReason) -> usize {
        self.cuts[reason as usize].load(Ordering::Relaxed)
    }

    /// Returns all counts in the Prometheus text format.
    pub fn render(&self) -> String {
        let lines = HeldKind::ALL.into_iter().map(|kind| {
            let (label, bytes) = (kind.label(), self.of(kind));
            format!("mangowalk_held_bytes{{kind=\"{label}\"}} {bytes}\n")
        });
        let cuts = CutReason::ALL.into_iter().map(|reason| {
            let (label, count) = (reason.label(), self.cuts(reason));
            format!("mangowalk_messages_cut_total{{reason=\"{label}\"}} {count}\n")
        });
        lines.chain(cuts).collect()
    }

    pub(super) fn add(&self, kind: HeldKind, bytes: usize) {
        self.by_kind[kind as usize].fetch_add(bytes, Ordering::Relaxed);
    }

    pub(super) fn remove(&self, kind: HeldKind, bytes: usize) {
        self.by_kind[kind as usize].fetch_sub(bytes, Ordering::Relaxed);
    }
}
