//! Messages between instances, encoded by `postcard` over `nng`.

mod message;

pub use message::{ConfigEntry, InstanceView, PeerReply, PeerRequest};

/// Version of the protocol. A peer answers a message of an unknown version with
/// [`PeerReply::Unsupported`].
pub const PROTOCOL: u8 = 1;
