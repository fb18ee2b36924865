use std::collections::BTreeMap;

/// The paths of one instance to the engines of each service, as its new connections show
/// them.
///
/// Bytes on open connections show nothing: these may live on while no new connection is
/// accepted.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ServicePaths(BTreeMap<String, Path>);

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct Path {
    /// Start of the latest attempt that was accepted.
    last_accepted_start_ms: Option<u64>,
    lost_since_ms: Option<u64>,
}

impl ServicePaths {
    /// Records that an engine of a service accepted a connection that was begun at
    /// `began_ms`. Returns since when the path was lost, if it is back only now.
    pub fn record_accepted(&mut self, service: &str, began_ms: u64) -> Option<u64> {
        let Some(path) = self.0.get_mut(service) else {
            let path = Path {
                last_accepted_start_ms: Some(began_ms),
                ..Path::default()
            };
            self.0.insert(service.to_owned(), path);
            return None;
        };
        path.last_accepted_start_ms = path.last_accepted_start_ms.max(Some(began_ms));
        // An attempt that began before the loss may be accepted after it was recorded.
        let is_back = path
            .lost_since_ms
            .is_some_and(|lost_ms| began_ms >= lost_ms);
        is_back.then(|| path.lost_since_ms.take()).flatten()
    }

    /// Records that no engine of a service accepted a connection.
    pub fn record_lost(&mut self, service: &str, now_ms: u64) {
        let path = self.0.entry(service.to_owned()).or_default();
        path.lost_since_ms.get_or_insert(now_ms);
    }

    /// Returns whether an engine of a service has accepted a connection that was begun
    /// at `since_ms` or later.
    pub fn was_accepted_since(&self, service: &str, since_ms: u64) -> bool {
        let path = self.0.get(service);
        path.is_some_and(|path| path.last_accepted_start_ms >= Some(since_ms))
    }

    /// Returns whether no engine of a service can be reached.
    pub fn is_lost(&self, service: &str) -> bool {
        let path = self.0.get(service);
        path.is_some_and(|path| path.lost_since_ms.is_some())
    }

    /// Returns the services none of whose engines can be reached.
    pub fn lost_services(&self) -> impl Iterator<Item = &str> {
        let lost = self
            .0
            .iter()
            .filter(|(_, path)| path.lost_since_ms.is_some());
        lost.map(|(service, _)| service.as_str())
    }
}
