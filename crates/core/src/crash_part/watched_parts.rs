use {super::CrashPartSettings, std::net::SocketAddr};

/// Maximum number of parts that are watched at a time. It bounds what an instance compares
/// with each completed request.
const MAX_WATCHED: usize = 256;

#[derive(Debug, Clone, Copy)]
struct WatchedPart {
    part: u64,
    author: SocketAddr,
    until_ms: u64,
}

/// Parts of whose completed answers arbiters want to hear.
#[derive(Debug, Clone, Default)]
pub struct WatchedParts {
    watched: Vec<WatchedPart>,
}

impl WatchedParts {
    /// Returns whether no part is watched.
    pub fn is_empty(&self) -> bool {
        self.watched.is_empty()
    }

    /// Watches parts for an arbiter.
    pub fn watch(
        &mut self,
        parts: &[u64],
        author: SocketAddr,
        settings: &CrashPartSettings,
        now_ms: u64,
    ) {
        self.watched.retain(|watched| {
            now_ms < watched.until_ms
                && !(watched.author == author && parts.contains(&watched.part))
        });
        let free = MAX_WATCHED.saturating_sub(self.watched.len());
        self.watched
            .extend(parts.iter().take(free).map(|part| WatchedPart {
                part: *part,
                author,
                until_ms: now_ms + settings.watch_ms,
            }));
    }

    /// Returns whether one of the parts is watched.
    pub fn holds_any(&self, parts: &[u64], now_ms: u64) -> bool {
        let mut watched = self.watched.iter();
        watched.any(|watched| now_ms < watched.until_ms && parts.contains(&watched.part))
    }

    /// Stops watching a part on which an answer was completed, or that is rejected, and
    /// returns the arbiters that watched it.
    pub fn take(&mut self, part: u64) -> Vec<SocketAddr> {
        let authors = self.watched.iter().filter(|watched| watched.part == part);
        let authors = authors.map(|watched| watched.author).collect();
        self.watched.retain(|watched| watched.part != part);
        authors
    }
}
