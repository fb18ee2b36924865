use {
    super::{EngineBuild, OriginSettings},
    crate::pool::{EngineEntry, EngineTable},
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// The builds of a service since the last stream began that may still be taken up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceBuilds {
    /// It has had this one only.
    Single(EngineBuild),
    /// It has had this one only since the engine list is followed, which isn't long.
    SingleLately(EngineBuild),
    /// It has had more than one, or engines that name none.
    Several,
    /// The engine list isn't known in whole, or is old.
    Unknown,
}

impl ServiceBuilds {
    /// Returns the builds of a service that a reading of the store names. An object without
    /// the service tells nothing.
    pub fn of_reading(builds: &BuildsByService, service: &str) -> ServiceBuilds {
        let Some(builds) = builds.get(service) else {
            return ServiceBuilds::Unknown;
        };
        let mut builds = builds.iter();
        match (builds.next(), builds.next()) {
            (Some(Some(build)), None) => ServiceBuilds::Single(*build),
            (Some(_), Some(_)) => ServiceBuilds::Several,
            _ => ServiceBuilds::Unknown,
        }
    }
}

/// Builds of each service; `None` stands for those of engines that name none.
pub type BuildsByService = BTreeMap<String, BTreeSet<Option<EngineBuild>>>;

/// The builds of each service in the engine list, those of engines that have left
/// included, and since when the list has been followed without a gap.
#[derive(Debug, Clone, Default)]
pub struct ListedBuilds {
    /// `None` while the list isn't followed, or only a part of it.
    followed_since_ms: Option<u64>,
    confirmed_ms: u64,
    /// Builds that the object in the store names, where they outlast all instances; `None`
    /// while there is none that can be read.
    kept: Option<BuildsByService>,
    /// When each build was last listed. The build of an entry that names no software
    /// version is `None`.
    listed_ms: BTreeMap<String, BTreeMap<Option<EngineBuild>, u64>>,
}

impl ListedBuilds {
    /// Returns the state of an instance of a fleet that starts for the first time: no
    /// stream began before.
    pub fn of_first_start() -> ListedBuilds {
        ListedBuilds {
            followed_since_ms: Some(0),
            ..ListedBuilds::default()
        }
    }

    /// Adds the builds that were listed up to now, as an instance wrote that knew all of
    /// them.
    pub fn add_past(&mut self, past: &BuildsByService, now_ms: u64) {
        for (service, builds) in past {
            let listed_ms = self.listed_ms.entry(service.clone()).or_default();
            listed_ms.extend(builds.iter().map(|build| (*build, now_ms)));
        }
        let is_unread = self.confirmed_ms == 0;
        if is_unread || self.followed_since_ms.is_some() {
            self.followed_since_ms = Some(0);
        }
    }

    /// Returns all builds since the last stream began that may still be taken up; `None` if
    /// some may be missing.
    pub fn known(
        &self,
        settings: &OriginSettings,
        max_list_age_ms: u64,
        now_ms: u64,
    ) -> Option<BuildsByService> {
        if !self.is_long_followed(settings, now_ms) || !self.is_current(max_list_age_ms, now_ms) {
            return None;
        }
        let builds = self.listed_ms.iter().map(|(service, listed_ms)| {
            let builds = listed_ms.keys().copied().collect();
            (service.clone(), builds)
        });
        Some(
            builds
                .filter(|(_, builds): &(_, BTreeSet<_>)| !builds.is_empty())
                .collect(),
        )
    }

    /// Records which builds the object in the store names.
    pub fn set_kept(&mut self, kept: BuildsByService) {
        self.kept = Some(kept);
    }

    /// Returns whether the object in the store has been read or written.
    pub fn has_kept(&self) -> bool {
        self.kept.is_some()
    }

    /// Returns whether the builds of a service that outlast all instances include this one;
    /// `None` stands for that of engines that name none.
    ///
    /// Instances that start after a kill of all know nothing of a build that isn't kept and
    /// whose engines have left. They would continue its streams at the remaining build.
    /// Without an object that can be read they assume no single build, so all may be used.
    pub fn is_kept(&self, service: &str, build: Option<EngineBuild>) -> bool {
        let Some(kept) = &self.kept else {
            return true;
        };
        kept.get(service)
            .is_some_and(|builds| builds.contains(&build))
    }

    /// Returns the builds that the object in the store names and those that are listed.
    /// They are complete if those in the object were, whatever this instance has missed.
    pub fn kept_and_listed(&self) -> Option<BuildsByService> {
        let mut builds = self.kept.clone()?;
        for (service, listed_ms) in &self.listed_ms {
            let of_service = builds.entry(service.clone()).or_default();
            of_service.extend(listed_ms.keys().copied());
        }
        Some(builds)
    }

    /// Returns how long ago the store was last heard of; `None` if it never was.
    pub fn list_age_ms(&self, now_ms: u64) -> Option<u64> {
        (self.confirmed_ms > 0).then(|| now_ms.saturating_sub(self.confirmed_ms))
    }

    fn is_long_followed(&self, settings: &OriginSettings, now_ms: u64) -> bool {
        self.followed_since_ms
            .is_some_and(|since_ms| since_ms == 0 || now_ms >= since_ms + settings.single_build_ms)
    }

    fn is_current(&self, max_list_age_ms: u64, now_ms: u64) -> bool {
        self.confirmed_ms > 0 && now_ms <= self.confirmed_ms + max_list_age_ms
    }

    /// Records that the list was read anew. What came and left since the last answer of
    /// the store isn't known then.
    pub fn begin_reading(&mut self, is_whole: bool, settings: &OriginSettings, now_ms: u64) {
        let gap_ms = now_ms.saturating_sub(self.confirmed_ms);
        let is_first = self.confirmed_ms == 0;
        let goes_on = is_first || gap_ms <= settings.max_list_gap_ms;
        let before = self.followed_since_ms.filter(|_| goes_on);
        self.followed_since_ms = is_whole.then_some(before.unwrap_or(now_ms));
    }

    /// Records the builds of the listed engines. Called after and before each change, so
    /// that those of engines that leave are known.
    pub fn record(&mut self, engines: &EngineTable, settings: &OriginSettings, now_ms: u64) {
        self.confirmed_ms = now_ms;
        // A build tells its service, so one engine of each is enough: there may be
        // thousands.
        let mut recorded = BTreeSet::new();
        for engine in engines.iter() {
            if engine.build.is_none() || recorded.insert(engine.build) {
                self.record_entry(&engine.entry, engine.build, now_ms);
            }
        }
        for listed_ms in self.listed_ms.values_mut() {
            listed_ms.retain(|_, last_ms| now_ms < *last_ms + settings.single_build_ms);
        }
    }

    fn record_entry(&mut self, entry: &EngineEntry, build: Option<EngineBuild>, now_ms: u64) {
        if let Some(listed_ms) = self.listed_ms.get_mut(&entry.service) {
            listed_ms.insert(build, now_ms);
            return;
        }
        let listed_ms = BTreeMap::from([(build, now_ms)]);
        self.listed_ms.insert(entry.service.clone(), listed_ms);
    }

    /// Returns the builds that a service has had since the last stream began that may still
    /// be taken up. The list of an instance that hasn't heard of the store for
    /// `max_list_age_ms` may lack one.
    pub fn of_service(
        &self,
        service: &str,
        settings: &OriginSettings,
        max_list_age_ms: u64,
        now_ms: u64,
    ) -> ServiceBuilds {
        let Some(listed_ms) = self.listed_ms.get(service) else {
            return ServiceBuilds::Unknown;
        };
        let mut builds = listed_ms.keys();
        let build = match (builds.next(), builds.next()) {
            (Some(_), Some(_)) => return ServiceBuilds::Several,
            (Some(Some(build)), None) => *build,
            _ => return ServiceBuilds::Unknown,
        };
        if self.followed_since_ms.is_none() || !self.is_current(max_list_age_ms, now_ms) {
            return ServiceBuilds::Unknown;
        }
        match self.is_long_followed(settings, now_ms) {
            true => ServiceBuilds::Single(build),
            false => ServiceBuilds::SingleLately(build),
        }
    }
}
