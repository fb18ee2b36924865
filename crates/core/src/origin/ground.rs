use derive_more::Display;

/// The ground on which a stream goes on, or the reason why it isn't known where it began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("{}", self.name())]
pub enum Ground {
    /// This instance has a record of it.
    OwnRecord,
    /// A peer has a record of it.
    PeerRecord,
    /// Its service has had a single build, by a reading of this instance.
    OwnReading,
    /// Its service has had a single build, by a reading of a peer.
    PeerReading,
    /// Streams of two builds have been recorded under its request ID.
    Ambiguous,
    /// There is no record, and its service has had more than one build.
    SeveralBuilds,
    /// There is no record, and no reading of the store tells the builds of its service.
    Unconfirmed,
}

impl Ground {
    /// Returns its name in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Ground::OwnRecord => "own_record",
            Ground::PeerRecord => "peer_record",
            Ground::OwnReading => "own_reading",
            Ground::PeerReading => "peer_reading",
            Ground::Ambiguous => "ambiguous",
            Ground::SeveralBuilds => "several_builds",
            Ground::Unconfirmed => "unconfirmed",
        }
    }
}
