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

/// Interval at which a sleeping controller checks whether the instance stopped.
const STOP_POLL: Duration = Duration::from_millis(100);

/// A task of the instance that runs periodically.
pub trait Controller: Send + 'static {
    /// The edges that it calls external systems through.
    type Edges: Edges;

    /// Name of its thread and prefix of its log lines.
    const NAME: &'static str;

    /// Runs once, and returns the pause until the next run in milliseconds.
    fn step(&mut self, edges: &Self::Edges, shared: &SharedState, now_ms: u64) -> u64;

    /// Runs once after the instance has served its last request, and releases
    /// what the controller holds, such as leases.
    fn shut_down(&mut self, _edges: &Self::Edges, _board: &SharedState) {}
}

/// Runs a controller on its own thread until the instance stops, then shuts it
/// down.
///
/// # Errors
///
/// Returns an error if the thread can't be created.
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
