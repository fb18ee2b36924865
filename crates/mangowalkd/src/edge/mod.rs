//! The edges that a running instance uses.

mod clock;
mod engines;
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
