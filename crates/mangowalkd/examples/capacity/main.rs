//! Measures how cost grows with size, from which docs/CAPACITY.md extrapolates:
//! `cargo run --release -p mangowalkd --example capacity [state|fleet]`.
//!
//! `state` measures memory and time of one process's state. `fleet` runs router
//! processes with stand-ins and measures their resource usage without requests.
//! Without an argument both run.

mod fleet;
mod process;
mod state;

fn main() {
    let part = std::env::args().nth(1);
    let wanted = |name: &str| part.as_deref().is_none_or(|p| p == name);
    if wanted("state") {
        state::measure();
    }
    if wanted("fleet") {
        fleet::measure();
    }
}
