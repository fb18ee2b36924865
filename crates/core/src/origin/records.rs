use {
    super::{EngineBuild, OriginSettings, StreamKey},
    serde::{Deserialize, Serialize},
    std::collections::{HashMap, VecDeque},
};

/// Where a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamOrigin {
    /// At engines of this build.
    Build(EngineBuild),
    /// At different builds, as one request ID was used for two streams.
    Ambiguous,
}

impl StreamOrigin {
    /// Returns what holds if both are said of one stream.
    pub fn merge(self, other: StreamOrigin) -> StreamOrigin {
        match self == other {
            true => self,
            false => StreamOrigin::Ambiguous,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Record {
    origin: StreamOrigin,
    recorded_ms: u64,
}

/// Records of where streams began, bounded in number and time.
#[derive(Debug, Clone, Default)]
pub struct OriginRecords {
    records: HashMap<StreamKey, Record>,
    /// When each record was written, oldest first. A record that was written again has
    /// more than one entry, of which the last one counts.
    written: VecDeque<(u64, StreamKey)>,
}

impl OriginRecords {
    /// Records where a stream began, or that it goes on there.
    pub fn record(
        &mut self,
        key: StreamKey,
        origin: StreamOrigin,
        settings: &OriginSettings,
        now_ms: u64,
    ) {
        let known = self.origin(key, settings, now_ms);
        let origin = known.map_or(origin, |known| known.merge(origin));
        let record = Record {
            origin,
            recorded_ms: now_ms,
        };
        self.records.insert(key, record);
        self.written.push_back((now_ms, key));
        while self.is_oldest_due(settings, now_ms) {
            self.drop_oldest();
        }
    }

    /// Returns where a stream began, if that is known.
    pub fn origin(
        &self,
        key: StreamKey,
        settings: &OriginSettings,
        now_ms: u64,
    ) -> Option<StreamOrigin> {
        let record = self.records.get(&key)?;
        (now_ms < record.recorded_ms + settings.keep_ms).then_some(record.origin)
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn is_oldest_due(&self, settings: &OriginSettings, now_ms: u64) -> bool {
        let oldest = self.written.front();
        let is_expired =
            oldest.is_some_and(|(written_ms, _)| now_ms >= written_ms + settings.keep_ms);
        is_expired || self.written.len() > settings.max_records
    }

    fn drop_oldest(&mut self) {
        let Some((written_ms, key)) = self.written.pop_front() else {
            return;
        };
        let record = self.records.get(&key);
        if record.is_some_and(|record| record.recorded_ms == written_ms) {
            self.records.remove(&key);
        }
    }
}
