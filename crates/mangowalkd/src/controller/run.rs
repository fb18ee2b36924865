use {
    crate::shared_state::SharedState,
    mangowalk_core::edge::{Clock, Edges},
    std::{
        io,
        sync::Arc,
        thread::{self, JoinHandle},
        time::Duration,
    },
};

/// Longest sleep before a controller looks whether it shall end.
const STOP_POLL: Duration = Duration::from_millis(100);

/// A part of the instance that acts again and again.
pub trait Controller: Send + 'static {
    /// The edges that it speaks through.
    type Edges: Edges;

    /// Name of its thread and prefix of its log lines.
    const NAME: &'static str;

    /// Acts once, and returns after how many milliseconds to act again.
    fn step(&mut self, edges: &Self::Edges, shared: &SharedState, now_ms: u64) -> u64;

    /// Acts a last time when the instance has served its last request: gives
    /// back what it holds.
    fn shut_down(&mut self, _edges: &Self::Edges, _board: &SharedState) {}
}

/// Runs a controller on a thread of its own until the instance stops.
///
/// # Errors
///
/// Fails where the system gives no thread.
pub fn spawn<C: Controller>(
    mut controller: C,
    edges: Arc<C::Edges>,
    shared: Arc<SharedState>,
) -> io::Result<JoinHandle<()>> {
    thread::Builder::new()
        .name(C::NAME.to_owned())
        .spawn(move || {
            while !shared.lifecycle.is_stopped() {
                let now_ms = edges.clock().now_ms();
                let pause_ms = controller.step(&edges, &shared, now_ms);
                sleep(&shared, Duration::from_millis(pause_ms));
            }
            controller.shut_down(&edges, &shared);
        })
}

fn sleep(shared: &SharedState, mut left: Duration) {
    while !left.is_zero() && !shared.lifecycle.is_stopped() {
        let pause = left.min(STOP_POLL);
        thread::sleep(pause);
        left -= pause;
    }
}
