use super::{EngineBuild, Origin, OriginAnswer, ServiceBuilds};

/// Where a stream began, by the answers that have arrived so far.
///
/// A record tells it. Without one, it is known only if the service has had a single build
/// since the stream can have begun. An instance that reads current state from the store
/// has to say so, as the lists of others lag.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Verdict {
    origin: Option<Origin>,
    /// The single build, as an instance that reads current state says.
    current: Option<EngineBuild>,
    /// The single build, as an instance whose list may lag says.
    lagging: Option<EngineBuild>,
    has_several: bool,
}

impl Verdict {
    /// Adds what one instance knows.
    pub fn add(&mut self, answer: &OriginAnswer) {
        if let Some(origin) = answer.origin {
            let merged = self.origin.map_or(origin, |known| known.merge(origin));
            self.origin = Some(merged);
        }
        let known = match answer.reads_current {
            true => &mut self.current,
            false => &mut self.lagging,
        };
        match answer.service_builds {
            ServiceBuilds::Single(build) => {
                self.has_several |= *known.get_or_insert(build) != build
            }
            ServiceBuilds::Several => self.has_several = true,
            ServiceBuilds::Unknown => {}
        }
    }

    /// Returns whether a record tells the origin.
    pub fn is_recorded(&self) -> bool {
        self.origin.is_some()
    }

    /// Returns the build at which the stream may go on; `None` if it isn't known.
    pub fn build(&self) -> Option<EngineBuild> {
        match self.origin {
            Some(Origin::Build(build)) => Some(build),
            Some(Origin::Ambiguous) => None,
            None => self.current.filter(|build| {
                let is_agreed = self.lagging.is_none_or(|lagging| lagging == *build);
                is_agreed && !self.has_several
            }),
        }
    }
}
