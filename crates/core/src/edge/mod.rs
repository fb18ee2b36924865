//! Interfaces to everything outside the process.
//!
//! Each outside system stands behind one trait, so that another dialect
//! changes one implementation and no decision.

mod clock;
mod engines;
mod peers;
mod platform;
mod services;

pub use {
    clock::Clock,
    engines::{EngineEvents, Engines, SendError},
    peers::{PeerError, Peers},
    platform::{Platform, PlatformError},
    services::{ServiceCall, ServiceReply, Services},
};

/// The set of edges that a process runs with.
pub trait Edges: Send + Sync + 'static {
    /// Time.
    type Clock: Clock;
    /// The platform's object API.
    type Platform: Platform;
    /// Model engines.
    type Engines: Engines;
    /// Plain services.
    type Services: Services;
    /// Other instances of the router.
    type Peers: Peers;

    /// Returns the clock.
    fn clock(&self) -> &Self::Clock;
    /// Returns the platform.
    fn platform(&self) -> &Self::Platform;
    /// Returns the engines.
    fn engines(&self) -> &Self::Engines;
    /// Returns the services.
    fn services(&self) -> &Self::Services;
    /// Returns the peers.
    fn peers(&self) -> &Self::Peers;
}
