use std::collections::VecDeque;

/// Versions remembered of one model. Operators may name several before the
/// first is in place everywhere.
const MOST: usize = 16;

/// When versions of one model's weights were named.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NamedWeights {
    /// Rising in both.
    history: VecDeque<(u64, u64)>,
}

/// What weights a request should meet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Wanted {
    /// The newest that were named.
    pub newest: u64,
    /// Older ones make an answer worth less.
    pub due: u64,
    /// Older ones may not begin a request any more.
    pub least: u64,
}

/// Ages from which on older weights are worth less, and are out of bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WeightsSettings {
    /// Age of a version from which on answers by older ones are worth less.
    pub due_ms: u64,
    /// Age of a version from which on no request is sent to older ones. It may
    /// wait in an engine's queue before it begins.
    pub least_ms: u64,
    /// Age of a version from which on no request may begin on older ones; one
    /// that still waits is withdrawn.
    pub last_ms: u64,
}

impl NamedWeights {
    /// Notes that a version was named some time ago. Returns whether it is
    /// the newest.
    pub fn name(&mut self, version: u64, age_ms: u64, now_ms: u64) -> bool {
        let named_ms = now_ms.saturating_sub(age_ms);
        if let Some((_, known_ms)) = self.history.iter_mut().find(|(known, _)| *known == version) {
            // Whoever heard of it first knows its age best.
            *known_ms = (*known_ms).min(named_ms);
            return false;
        }
        if version <= self.newest() {
            return false;
        }
        self.history.push_back((version, named_ms));
        if self.history.len() > MOST {
            self.history.pop_front();
        }
        true
    }

    /// Returns the newest version; 0 where none was named.
    pub fn newest(&self) -> u64 {
        self.history.back().map_or(0, |(version, _)| *version)
    }

    /// Returns the newest version and how long ago it was named.
    pub fn newest_age(&self, now_ms: u64) -> Option<(u64, u64)> {
        let (version, named_ms) = self.history.back()?;
        Some((*version, now_ms.saturating_sub(*named_ms)))
    }

    /// Returns when a request may no longer begin on a version, if newer ones
    /// were named.
    pub fn bound_ms(&self, version: u64, settings: &WeightsSettings) -> Option<u64> {
        let mut newer = self.history.iter().filter(|(newer, _)| *newer > version);
        newer.next().map(|(_, named_ms)| named_ms + settings.last_ms)
    }

    /// Returns what a request should meet now.
    pub fn wanted(&self, settings: &WeightsSettings, now_ms: u64) -> Wanted {
        let older_than = |age_ms: u64| {
            let named = self.history.iter().rev();
            let mut old = named.filter(|(_, named_ms)| now_ms >= named_ms + age_ms);
            old.next().map_or(0, |(version, _)| *version)
        };
        Wanted {
            newest: self.newest(),
            due: older_than(settings.due_ms),
            least: older_than(settings.least_ms),
        }
    }
}
