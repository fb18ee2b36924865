//! The edges of a running instance: clients of external systems and other
//! instances, the server for peers, and the clock.

mod clock;
mod engines;
mod event_lines;
mod http;
mod live;
mod peers;
mod platform;
mod services;
mod traffic;

pub use {
    clock::MonotonicClock,
    engines::HttpEngines,
    live::LiveEdges,
    peers::{NngPeers, PeerServer},
    platform::HttpPlatform,
    services::HttpServices,
    traffic::Traffic,
};
