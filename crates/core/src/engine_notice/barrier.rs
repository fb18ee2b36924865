use {crate::engine_room::RoomBarrier, derive_more::Display};

/// Why a request must not be sent to an engine now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum SendBarrier {
    /// The engine has asked this instance to send nothing for a while.
    #[display("The engine asked for rest, of which {left_ms} ms are left.")]
    Resting {
        /// Time until the end of the rest.
        left_ms: u64,
    },
    /// The engine has said that it leaves, too long before the request arrived.
    #[display("The engine said {ago_ms} ms ago that it leaves.")]
    Leaving {
        /// Time since the engine said so.
        ago_ms: u64,
    },
    /// Another engine listens at its address.
    #[display("Another engine listens at its address.")]
    Replaced,
    /// It has no room in its memory.
    #[display("{_0}")]
    NoRoom(RoomBarrier),
}

impl SendBarrier {
    /// Returns the name of the barrier in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            SendBarrier::Resting { .. } => "resting",
            SendBarrier::Leaving { .. } => "leaving",
            SendBarrier::Replaced => "replaced",
            SendBarrier::NoRoom(barrier) => barrier.label(),
        }
    }
}
