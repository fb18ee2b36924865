use {
    super::{EngineCrash, RejectedPart},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A part on which an answer was written to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletedPart {
    /// ID of the part.
    pub part: u64,
    /// Time since the end of the last such answer, in milliseconds.
    pub age_ms: u64,
}

/// What instances tell each other of parts of prompts that may crash engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartMessage {
    /// To the arbiters of a service: an engine has crashed.
    Crash(EngineCrash),
    /// From an arbiter to all: tell the author of completed answers on these parts.
    Watch {
        /// Address of the arbiter.
        author: SocketAddr,
        /// The parts.
        parts: Vec<u64>,
    },
    /// To the author of a watch: answers on these parts were written to their end.
    Completed(Vec<CompletedPart>),
    /// Parts that are rejected, or no longer are.
    Rejected(Vec<RejectedPart>),
}
