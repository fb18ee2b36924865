use super::NoticeSettings;

/// Time for which an engine wants no requests of this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Rest {
    until_ms: u64,
    /// When the engine asked for it.
    asked_ms: u64,
}

/// What one engine has said of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Notice {
    /// The start of the engine that said it, in milliseconds of its clock.
    born_ms: u64,
    rest: Option<Rest>,
    leaving_since_ms: Option<u64>,
}

impl Notice {
    /// Returns the notice of an engine that has said nothing.
    pub(super) fn new(born_ms: u64) -> Notice {
        Notice {
            born_ms,
            rest: None,
            leaving_since_ms: None,
        }
    }

    /// Returns the notice for a start of the engine. Another start has not said that it
    /// leaves.
    pub(super) fn of_start(self, born_ms: u64, settings: &NoticeSettings) -> Notice {
        if self.born_ms == born_ms {
            return self;
        }
        let rest = self.rest.map(|rest| Rest {
            until_ms: rest
                .until_ms
                .min(rest.asked_ms.saturating_add(settings.restart_lag_ms)),
            ..rest
        });
        Notice {
            rest,
            ..Notice::new(born_ms)
        }
    }

    /// Records a rest. One that ends later stays. Returns whether the rest ends later than
    /// before.
    pub(super) fn record_rest(&mut self, rest_ms: u64, now_ms: u64) -> bool {
        let until_ms = now_ms.saturating_add(rest_ms);
        let is_later = until_ms > self.rest_until_ms(now_ms).unwrap_or(now_ms);
        if is_later {
            self.rest = Some(Rest {
                until_ms,
                asked_ms: now_ms,
            });
        }
        is_later
    }

    /// Records that the engine leaves. Returns whether it hasn't said so before.
    pub(super) fn record_leaving(&mut self, since_ms: u64) -> bool {
        let is_new = self.leaving_since_ms.is_none();
        self.leaving_since_ms.get_or_insert(since_ms);
        is_new
    }

    pub(super) fn rest_until_ms(&self, now_ms: u64) -> Option<u64> {
        let until_ms = self.rest.map(|rest| rest.until_ms);
        until_ms.filter(|until_ms| now_ms < *until_ms)
    }

    pub(super) fn leaving_since_ms(&self) -> Option<u64> {
        self.leaving_since_ms
    }

    pub(super) fn is_void(&self, now_ms: u64) -> bool {
        self.rest_until_ms(now_ms).is_none() && self.leaving_since_ms.is_none()
    }

    /// Returns when the engine last said something that still counts.
    pub(super) fn heard_ms(&self) -> u64 {
        let asked_ms = self.rest.map_or(0, |rest| rest.asked_ms);
        self.leaving_since_ms.unwrap_or(0).max(asked_ms)
    }
}
