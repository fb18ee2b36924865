use crate::pool::PrefillRate;

/// How much work of lower priorities engines may hold before urgent requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BacklogSettings {
    /// Part of the target of the most urgent route within which an engine must be able to read
    /// all prompts that it holds. Smaller parts send long prompts to engines that have not
    /// cached them, and what is read twice there delays more short prompts than the bound
    /// protects.
    pub urgent_target_ratio: f64,
    /// Part of the bound as which a longer prompt counts. Short prompts arrive all the time, so
    /// one that needs an engine without unread prompts would never find any.
    pub max_prompt_ratio: f64,
    /// Part of a request's time to its deadline for which it waits for an engine that has
    /// cached the shared part of its prompt, before one that has to read it may take it.
    pub cache_wait_ratio: f64,
    /// Part of an engine's slots that such requests leave to urgent ones. Those hold a slot for
    /// seconds, and one that finds none waits for a whole answer.
    pub urgent_slot_ratio: f64,
}

impl Default for BacklogSettings {
    fn default() -> BacklogSettings {
        BacklogSettings {
            urgent_target_ratio: 1.0,
            max_prompt_ratio: 0.75,
            cache_wait_ratio: 0.7,
            urgent_slot_ratio: 0.15,
        }
    }
}

impl BacklogSettings {
    /// Returns how many slots of an engine with `requests` known ones are free for a request of
    /// a lower priority.
    pub fn free_slots(&self, requests: u32, slots: u32) -> f64 {
        let usable = f64::from(slots) * (1.0 - self.urgent_slot_ratio);
        (usable - f64::from(requests)).max(0.0)
    }

    /// Returns whether a request still waits for an engine that has cached its shared part.
    ///
    /// The load it addresses is a burst of long prompts with shared parts: an engine that has
    /// not cached the part reads three times as much.
    pub fn waits_for_cache(&self, waited_ms: u64, time_to_deadline_ms: u64) -> bool {
        (waited_ms as f64) < time_to_deadline_ms as f64 * self.cache_wait_ratio
    }
}

/// The unread prompts of an engine and the speed at which it reads them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Backlog {
    /// Prompt tokens that the engine has yet to read.
    pub unread_tokens: u64,
    /// Time that work takes at the engine, relative to the usual time.
    pub slowdown: f64,
}

/// Limits the unread prompts of an engine that is given a request of a lower priority.
///
/// The load it addresses is a burst of long prompts. An engine reads prompts in pieces between
/// the tokens of running requests, so prompts that were admitted earlier delay an urgent one
/// even though the engine admits that one first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BacklogBound {
    max_read_ms: f64,
    max_prompt_ms: f64,
}

impl BacklogBound {
    /// Returns the bound that protects a route with the target `urgent_target_ms`.
    pub fn new(urgent_target_ms: u64, settings: &BacklogSettings) -> BacklogBound {
        let max_read_ms = urgent_target_ms as f64 * settings.urgent_target_ratio;
        BacklogBound {
            max_read_ms,
            max_prompt_ms: max_read_ms * settings.max_prompt_ratio,
        }
    }

    /// Returns whether an engine may take a request of a lower priority with `own_tokens` to
    /// read. An engine without unread prompts may always take one.
    pub fn admits(&self, backlog: Backlog, own_tokens: u64, rate: &PrefillRate) -> bool {
        self.wait_ms(backlog, own_tokens, rate) <= 0.0
    }

    /// Returns how many such requests an engine may take at once; one at least if it has no
    /// unread prompts.
    pub fn free_requests(&self, backlog: Backlog, own_tokens: u64, rate: &PrefillRate) -> f64 {
        let read_ms = |tokens: u64| rate.prefill_ms(tokens as f64) * backlog.slowdown;
        let left_ms = self.max_read_ms - read_ms(backlog.unread_tokens);
        let own_ms = read_ms(own_tokens.max(1)).min(self.max_prompt_ms);
        let free = (left_ms / own_ms).max(0.0);
        match backlog.unread_tokens {
            0 => free.max(1.0),
            _ => free,
        }
    }

    /// Returns the time until an engine that gets no further work may take such a request; 0 if
    /// it may take it now.
    pub fn wait_ms(&self, backlog: Backlog, own_tokens: u64, rate: &PrefillRate) -> f64 {
        if backlog.unread_tokens == 0 {
            return 0.0;
        }
        let read_ms = |tokens: u64| rate.prefill_ms(tokens as f64) * backlog.slowdown;
        let unread_ms = read_ms(backlog.unread_tokens);
        let own_ms = read_ms(own_tokens).min(self.max_prompt_ms);
        (unread_ms + own_ms - self.max_read_ms).clamp(0.0, unread_ms)
    }
}
