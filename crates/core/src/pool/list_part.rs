use {
    super::EngineEntry,
    std::collections::{BTreeMap, BTreeSet},
};

/// How much of the engine list an instance of a large fleet reads.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ListPartSettings {
    /// Number of entries that all instances may read together, which bounds the time
    /// for which a common start fills the store's link. At 350 bytes an entry it is
    /// 105 MB, or 0.8 s at 1 Gbit/s.
    pub max_fleet_entries: usize,
    /// Number of engines that are read also if all instances together read more. In the
    /// largest fleets an instance receives a request every few seconds, so it needs few
    /// engines for the work, but enough to outlast the loss of most failure domains.
    pub min_engines: usize,
    /// Number of engines of each service that are read.
    pub min_per_service: usize,
}

impl Default for ListPartSettings {
    fn default() -> ListPartSettings {
        ListPartSettings {
            max_fleet_entries: 300_000,
            min_engines: 400,
            min_per_service: 8,
        }
    }
}

impl ListPartSettings {
    /// Returns the number of engines that an instance reads in a fleet of `instances`.
    pub fn engines(&self, instances: usize) -> usize {
        let engines = self.max_fleet_entries / instances.max(1);
        engines.max(self.min_engines)
    }

    /// Returns whether entries that were read are enough to serve these services.
    pub fn is_enough<'a>(
        &self,
        entries: impl IntoIterator<Item = &'a EngineEntry>,
        services: &BTreeSet<String>,
        instances: usize,
    ) -> bool {
        let counts = count_by_service(entries);
        counts.values().sum::<usize>() >= self.engines(instances)
            && has_each(&counts, services, self.min_per_service)
    }

    /// Returns whether so many of the known engines have left that more have to be
    /// read: fewer than half of what is enough.
    pub fn is_depleted<'a>(
        &self,
        entries: impl IntoIterator<Item = &'a EngineEntry>,
        services: &BTreeSet<String>,
    ) -> bool {
        let counts = count_by_service(entries);
        counts.values().sum::<usize>() < self.min_engines / 2
            || !has_each(&counts, services, self.min_per_service / 2)
    }
}

fn count_by_service<'a>(
    entries: impl IntoIterator<Item = &'a EngineEntry>,
) -> BTreeMap<&'a str, usize> {
    let mut counts = BTreeMap::new();
    for entry in entries.into_iter().filter(|entry| !entry.draining) {
        *counts.entry(entry.service.as_str()).or_default() += 1;
    }
    counts
}

fn has_each(counts: &BTreeMap<&str, usize>, services: &BTreeSet<String>, min: usize) -> bool {
    let count = |service: &String| counts.get(service.as_str()).copied().unwrap_or(0);
    services.iter().all(|service| count(service) >= min)
}

/// The part of the engine list that an instance knows: the engines whose names follow
/// a start of its own, as far as the instance has read. After the last name the list
/// goes on with the first.
///
/// In a fleet with thousands of engines, the list is megabytes long, and the store
/// needs half a minute to send it to a thousand instances that have just started. The
/// parts overlap, so a change reaches an instance without access to the store from
/// many others.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ListPart {
    after: String,
    /// Last name of the part; `None` if the part is the whole list.
    last: Option<String>,
}

impl ListPart {
    /// Returns the whole list.
    pub fn all() -> ListPart {
        ListPart::default()
    }

    /// Returns the part that was read after a name up to and with another one.
    pub fn between(after: &str, last: &str) -> ListPart {
        ListPart {
            after: after.to_owned(),
            last: Some(last.to_owned()),
        }
    }

    /// Returns whether the part is the whole list.
    pub fn is_all(&self) -> bool {
        self.last.is_none()
    }

    /// Returns whether an engine with this name belongs to the part.
    pub fn contains(&self, name: &str) -> bool {
        let after = self.after.as_str();
        match &self.last {
            None => true,
            Some(last) if last.as_str() > after => name > after && name <= last.as_str(),
            Some(last) => name > after || name <= last.as_str(),
        }
    }
}
