use {
    super::BrittleSettings,
    crate::pool::KnownEngine,
    std::collections::{BTreeMap, HashMap},
};

/// Brittle services, and what this instance may send to their engines.
///
/// All instances together cause the rejections, and none knows what the others send at
/// this moment. So each has places of its own at each engine, which it counts itself:
/// together they are the engine's slots. A rejection keeps further requests of this
/// instance from the engine until its share of what the engine bears has made up for it.
#[derive(Debug, Clone, Default)]
pub struct BrittleEngines {
    services: BTreeMap<String, Brittleness>,
    allowances: HashMap<String, Allowance>,
    ranks: HashMap<String, Rank>,
}

/// Place of this instance in an order of all instances, which is another one for each
/// engine.
#[derive(Debug, Clone, Copy)]
struct Rank {
    rank: usize,
    until_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Brittleness {
    rejections_per_s: u32,
    until_ms: u64,
}

/// Rejections that one engine may still give this instance; negative after more.
#[derive(Debug, Clone, Copy)]
struct Allowance {
    rejections: f64,
    updated_ms: u64,
}

impl BrittleEngines {
    /// Records that an engine of a service has said that it bears this many rejections a
    /// second.
    pub fn record_warning(
        &mut self,
        service: &str,
        rejections_per_s: u32,
        settings: &BrittleSettings,
        now_ms: u64,
    ) {
        let brittleness = Brittleness {
            rejections_per_s,
            until_ms: now_ms + settings.valid_ms,
        };
        self.services.insert(service.to_owned(), brittleness);
    }

    /// Records that an engine had no room for a request of this instance.
    pub fn record_rejection(
        &mut self,
        engine: &KnownEngine,
        instances: usize,
        settings: &BrittleSettings,
        now_ms: u64,
    ) {
        let Some(rate) = self.rejection_rate(&engine.entry.service, instances, settings, now_ms)
        else {
            return;
        };
        let left = self.allowance(&engine.entry.incarnation.id, rate, now_ms);
        let allowance = Allowance {
            rejections: left - 1.0,
            updated_ms: now_ms,
        };
        self.allowances
            .insert(engine.entry.incarnation.id.clone(), allowance);
    }

    /// Returns whether a request may be sent to an engine. `rank` computes the place of
    /// this instance in an order of all instances that depends on the engine only.
    ///
    /// One may if the engine's service isn't brittle. Else one of this instance's places
    /// must be free, and it must have nothing to make up for.
    pub fn admits(
        &mut self,
        engine: &KnownEngine,
        instances: usize,
        settings: &BrittleSettings,
        rank: impl FnOnce() -> usize,
        now_ms: u64,
    ) -> bool {
        let Some(rate) = self.rejection_rate(&engine.entry.service, instances, settings, now_ms)
        else {
            return true;
        };
        let id = &engine.entry.incarnation.id;
        let left = self.allowance(id, rate, now_ms);
        if left < 0.0 {
            return false;
        }
        let rank = self.rank(id, settings, rank, now_ms);
        (engine.own.requests as usize) < places(engine.entry.slots as usize, instances, rank)
    }

    fn rank(
        &mut self,
        engine: &str,
        settings: &BrittleSettings,
        compute: impl FnOnce() -> usize,
        now_ms: u64,
    ) -> usize {
        let known = self.ranks.get(engine);
        if let Some(known) = known.filter(|known| now_ms < known.until_ms) {
            return known.rank;
        }
        let rank = compute();
        let until_ms = now_ms + settings.rank_valid_ms;
        self.ranks
            .insert(engine.to_owned(), Rank { rank, until_ms });
        rank
    }

    /// Returns whether the engines of a service fall over when they reject too much.
    pub fn is_brittle(&self, service: &str, now_ms: u64) -> bool {
        let brittleness = self.services.get(service);
        brittleness.is_some_and(|brittleness| now_ms < brittleness.until_ms)
    }

    /// Forgets services that are no longer brittle, and their engines.
    pub fn expire(&mut self, now_ms: u64) {
        self.services
            .retain(|_, brittleness| now_ms < brittleness.until_ms);
        if self.services.is_empty() {
            self.allowances.clear();
            self.ranks.clear();
        }
    }

    /// Returns how many rejections a second this instance may cause at each engine of a
    /// service; `None` if the service isn't brittle.
    fn rejection_rate(
        &self,
        service: &str,
        instances: usize,
        settings: &BrittleSettings,
        now_ms: u64,
    ) -> Option<f64> {
        let brittleness = self.services.get(service)?;
        let rate = f64::from(brittleness.rejections_per_s) * settings.used_ratio;
        (now_ms < brittleness.until_ms).then(|| rate / instances.max(1) as f64)
    }

    /// Returns the rejections that are left, none at most: what isn't caused is no reason
    /// to cause more later.
    fn allowance(&self, engine: &str, rate: f64, now_ms: u64) -> f64 {
        let Some(allowance) = self.allowances.get(engine) else {
            return 0.0;
        };
        let elapsed_ms = now_ms.saturating_sub(allowance.updated_ms) as f64;
        (allowance.rejections + rate * elapsed_ms / 1_000.0).min(0.0)
    }
}

/// Returns how many of an engine's slots the instance of a rank has to itself.
fn places(slots: usize, instances: usize, rank: usize) -> usize {
    let instances = instances.max(1);
    slots / instances + usize::from(rank < slots % instances)
}
