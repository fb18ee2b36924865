use super::{EngineBuild, Ground, OriginAnswer, ServiceBuilds, StreamOrigin};

/// Where a stream began, by the answers that have arrived so far.
///
/// A record tells it. Without one, it is known only if the service has had a single build
/// since the stream can have begun. Where the caller names no request, there is no record
/// of a build that has just appeared either, so an instance that reads current state from
/// the store has to confirm it: the lists of others lag.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verdict {
    is_named: bool,
    origin: Option<StreamOrigin>,
    has_own_record: bool,
    /// The first build that an instance lists.
    listed: Option<EngineBuild>,
    has_several: bool,
    /// Whether an instance has followed its list for long enough.
    is_long_known: bool,
    /// Whether an instance that reads current state has confirmed it.
    is_current: bool,
}

impl Verdict {
    /// Returns a verdict without answers. `is_named` tells whether the caller names the
    /// request that began the stream.
    pub fn new(is_named: bool) -> Verdict {
        Verdict {
            is_named,
            origin: None,
            has_own_record: false,
            listed: None,
            has_several: false,
            is_long_known: false,
            is_current: false,
        }
    }

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
        let (build, is_long_known) = match answer.service_builds {
            ServiceBuilds::Single(build) => (build, true),
            ServiceBuilds::SingleLately(build) => (build, false),
            ServiceBuilds::Several => return self.has_several = true,
            ServiceBuilds::Unknown => return,
        };
        self.has_several |= *self.listed.get_or_insert(build) != build;
        self.is_long_known |= is_long_known;
        self.is_current |= answer.reads_current;
    }

    /// Returns whether a record tells the origin.
    pub fn is_recorded(&self) -> bool {
        self.origin.is_some()
    }

    /// Returns the build at which the stream may go on; `None` if it isn't known.
    pub fn build(&self) -> Option<EngineBuild> {
        match self.origin {
            Some(StreamOrigin::Build(build)) => Some(build),
            Some(StreamOrigin::Ambiguous) => None,
            None => self.listed.filter(|_| {
                let is_confirmed = self.is_named || self.is_current;
                self.is_long_known && is_confirmed && !self.has_several
            }),
        }
    }

    /// Returns the ground of [`Verdict::build`].
    pub fn ground(&self) -> Ground {
        match self.origin {
            Some(StreamOrigin::Ambiguous) => Ground::Ambiguous,
            Some(StreamOrigin::Build(_)) if self.has_own_record => Ground::OwnRecord,
            Some(StreamOrigin::Build(_)) => Ground::PeerRecord,
            None if self.has_several => Ground::SeveralBuilds,
            None if self.build().is_some() => Ground::SingleBuild,
            None => Ground::Unconfirmed,
        }
    }
}
