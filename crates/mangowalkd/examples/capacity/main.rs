//! Measures the slopes that docs/CAPACITY.md extends:
//! `cargo run --release -p mangowalkd --example capacity [state|fleet]`.
//!
//! `state` measures what one process holds and computes; `fleet` runs routers
//! as processes over stand-ins and reads what they spend while nothing is
//! asked of them. Without an argument both run.

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
