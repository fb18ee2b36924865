use {super::Backlog, crate::pool::PrefillRate};

/// The requests that wait in an instance and are served before another one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkAhead {
    /// Tokens of their prompts.
    pub tokens: u64,
    /// Time for which the first of them has waited. In a large fleet an instance has few
    /// requests, and their age says more of the work of all instances than their number.
    pub longest_wait_ms: u64,
}

/// Least part of what an instance could pass on if all were as busy, for which the measured rate
/// counts. Requests that wait for the caches of a few engines make it lower than that of others.
const MIN_PART_RATIO: f64 = 0.25;

/// How soon the engines that may take a request can read it.
///
/// The load it addresses is an overload that lasts: a request that can't be served before its
/// deadline is refused when it arrives, and not after it has waited for nothing.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetCapacity {
    /// Sum of the engines' speeds; 1 for an engine at its usual pace.
    speed: f64,
    /// Shortest time in which an engine reads the prompts that it holds; infinite without
    /// engines.
    shortest_backlog_ms: f64,
}

impl FleetCapacity {
    /// Returns the capacity of engines with these backlogs.
    pub fn new(backlogs: impl Iterator<Item = Backlog>, rate: &PrefillRate) -> FleetCapacity {
        let none = FleetCapacity {
            speed: 0.0,
            shortest_backlog_ms: f64::INFINITY,
        };
        backlogs.fold(none, |capacity, backlog| {
            let backlog_ms = rate.prefill_ms(backlog.unread_tokens as f64) * backlog.slowdown;
            FleetCapacity {
                speed: capacity.speed + 1.0 / backlog.slowdown.max(f64::MIN_POSITIVE),
                shortest_backlog_ms: capacity.shortest_backlog_ms.min(backlog_ms),
            }
        })
    }

    /// Returns the rate at which one of `instances` can pass work on to the engines, in tokens
    /// per ms: the measured one, or its part of what all engines read before any was measured.
    pub fn drain_tokens_per_ms(
        &self,
        measured: Option<f64>,
        instances: usize,
        rate: &PrefillRate,
    ) -> f64 {
        let part = self.speed * rate.tokens_per_ms() / instances.max(1) as f64;
        measured.map_or(part, |measured| measured.max(part * MIN_PART_RATIO))
    }

    /// Returns the time until the prompt of a request is read that waits in its instance behind
    /// `ahead`.
    pub fn read_ms(
        &self,
        ahead: WorkAhead,
        own_tokens: u64,
        drain_tokens_per_ms: f64,
        rate: &PrefillRate,
    ) -> f64 {
        let drained_ms = ahead.tokens as f64 / drain_tokens_per_ms.max(f64::MIN_POSITIVE);
        let wait_ms = drained_ms.max(ahead.longest_wait_ms as f64);
        self.shortest_backlog_ms + wait_ms + rate.prefill_ms(own_tokens as f64)
    }
}
