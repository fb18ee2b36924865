use super::{EngineBuild, Ground, OriginAnswer, ServiceBuilds, StreamOrigin};

/// Where a stream began, by the answers that have arrived so far.
///
/// A record tells it. Without one, it is known only if the service has had a single build
/// since the stream can have begun, which only a reading of the store tells that began after
/// the stream was taken up: a stream begins at builds that are kept there. An engine list,
/// however young, may lack a build that has appeared since, so it can refute a reading and
/// not replace it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Verdict {
    origin: Option<StreamOrigin>,
    has_own_record: bool,
    /// The first build that an instance lists or a reading names.
    listed: Option<EngineBuild>,
    has_several: bool,
    /// The ground of a single build that a reading has confirmed.
    confirmed_by: Option<Ground>,
}

impl Verdict {
    /// Adds what this instance knows.
    pub fn add_own(&mut self, answer: &OriginAnswer) {
        self.has_own_record |= answer.origin.is_some();
        self.add(answer);
    }

    /// Adds what a peer knows.
    pub fn add(&mut self, answer: &OriginAnswer) {
        if let Some(origin) = answer.origin {
            let merged = self.origin.map_or(origin, |known| known.merge(origin));
            self.origin = Some(merged);
        }
        self.add_builds(answer.service_builds);
    }

    /// Adds the builds by a reading of this instance that began after the stream was taken up.
    pub fn add_own_reading(&mut self, builds: ServiceBuilds) {
        self.add_reading(builds, Ground::OwnReading);
    }

    /// Adds the builds by such a reading of a peer.
    pub fn add_peer_reading(&mut self, builds: ServiceBuilds) {
        self.add_reading(builds, Ground::PeerReading);
    }

    fn add_reading(&mut self, builds: ServiceBuilds, ground: Ground) {
        self.add_builds(builds);
        if matches!(builds, ServiceBuilds::Single(_)) {
            self.confirmed_by.get_or_insert(ground);
        }
    }

    fn add_builds(&mut self, builds: ServiceBuilds) {
        match builds {
            ServiceBuilds::Single(build) | ServiceBuilds::SingleLately(build) => {
                self.has_several |= *self.listed.get_or_insert(build) != build;
            }
            ServiceBuilds::Several => self.has_several = true,
            ServiceBuilds::Unknown => {}
        }
    }

    /// Returns whether a record tells the origin.
    pub fn is_recorded(&self) -> bool {
        self.origin.is_some()
    }

    /// Returns whether a reading may still tell the origin.
    pub fn needs_reading(&self) -> bool {
        self.ground() == Ground::Unconfirmed
    }

    /// Returns the build at which the stream may go on; `None` if it isn't known.
    pub fn build(&self) -> Option<EngineBuild> {
        match (self.origin, self.ground()) {
            (Some(StreamOrigin::Build(build)), _) => Some(build),
            (None, Ground::OwnReading | Ground::PeerReading) => self.listed,
            _ => None,
        }
    }

    /// Returns the ground of [`Verdict::build`].
    pub fn ground(&self) -> Ground {
        match self.origin {
            Some(StreamOrigin::Ambiguous) => Ground::Ambiguous,
            Some(StreamOrigin::Build(_)) if self.has_own_record => Ground::OwnRecord,
            Some(StreamOrigin::Build(_)) => Ground::PeerRecord,
            None if self.has_several => Ground::SeveralBuilds,
            None => self.confirmed_by.unwrap_or(Ground::Unconfirmed),
        }
    }
}
