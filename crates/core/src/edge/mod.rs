//! Traits for the systems outside the process.
//!
//! Each outside system is accessed through one trait, so that a change of its
//! protocol affects one implementation and none of the decision logic.

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

/// The edge implementations that a process runs with.
pub trait Edges: Send + Sync + 'static {
    /// Source of the current time.
    type Clock: Clock;
    /// Client of the platform's object API.
    type Platform: Platform;
    /// Client of model engines.
    type Engines: Engines;
    /// Client of plain services.
    type Services: Services;
    /// Client of other instances of the router.
    type Peers: Peers;

    /// Returns the source of the current time.
    fn clock(&self) -> &Self::Clock;
    /// Returns the client of the platform.
    fn platform(&self) -> &Self::Platform;
    /// Returns the client of model engines.
    fn engines(&self) -> &Self::Engines;
    /// Returns the client of plain services.
    fn services(&self) -> &Self::Services;
    /// Returns the client of other instances.
    fn peers(&self) -> &Self::Peers;
}
