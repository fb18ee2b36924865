use {
    super::{
        CompletedPart, CrashPartSettings, EngineCrash, PartDecision,
        service_evidence::ServiceEvidence,
    },
    std::collections::BTreeMap,
};

/// Maximum number of services of which crashes are kept.
const MAX_SERVICES: usize = 256;

/// The crashes that an arbiter knows, by service.
#[derive(Debug, Clone, Default)]
pub struct CrashEvidence {
    services: BTreeMap<String, ServiceEvidence>,
}

impl CrashEvidence {
    /// Returns whether no crash is known, so that nothing is to be decided.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Returns whether a part is watched, so that a decision on it may be due at any time.
    pub fn is_deciding(&self) -> bool {
        self.services.values().any(ServiceEvidence::is_deciding)
    }

    /// Records a crash that this instance or a peer has seen.
    pub fn record_crash(&mut self, crash: &EngineCrash, now_ms: u64) {
        let is_known = self.services.contains_key(&crash.service);
        if crash.prompts.is_empty() || !is_known && self.services.len() >= MAX_SERVICES {
            return;
        }
        let service = self.services.entry(crash.service.clone()).or_default();
        service.record_crash(crash, now_ms);
    }

    /// Records that a peer has completed answers on parts.
    pub fn record_completed(&mut self, parts: &[CompletedPart], now_ms: u64) {
        for service in self.services.values_mut() {
            for completed in parts {
                let completed_ms = now_ms.saturating_sub(completed.age_ms);
                service.record_completed(completed.part, completed_ms);
            }
        }
    }

    /// Records that this instance has completed an answer.
    pub fn record_answer(&mut self, service: &str, parts: &[u64], now_ms: u64) {
        if let Some(service) = self.services.get_mut(service) {
            service.record_answer(parts, now_ms);
        }
    }

    /// Returns what is to be done about parts now, and forgets old crashes. `is_known` tells
    /// whether a part is known to crash engines.
    pub fn decide(
        &mut self,
        is_known: impl Fn(u64) -> bool,
        settings: &CrashPartSettings,
        now_ms: u64,
    ) -> Vec<PartDecision> {
        let services = self.services.values_mut();
        let decisions = services.flat_map(|service| service.decide(&is_known, settings, now_ms));
        let decisions = decisions.collect();
        self.services.retain(|_, service| !service.is_empty());
        decisions
    }
}
