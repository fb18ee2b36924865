use mangowalk_core::pool::{EngineRequirements, PromptPart};

/// A kind of requests of the larger deployment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Kind {
    pub(crate) name: &'static str,
    pub(crate) sessions_per_engine: u64,
    pub(crate) shared_tokens: u32,
    pub(crate) own_tokens: u32,
    pub(crate) answer_tokens: u32,
    pub(crate) target_ms: u64,
    pub(crate) deadline_ms: u64,
    pub(crate) is_first: bool,
}

pub(crate) const LONG: Kind = Kind {
    name: "long",
    sessions_per_engine: 9,
    shared_tokens: 6_300,
    own_tokens: 2_890,
    answer_tokens: 9,
    target_ms: 1_000,
    deadline_ms: 5_000,
    is_first: false,
};

pub(crate) const SHORT: Kind = Kind {
    name: "short",
    sessions_per_engine: 100,
    shared_tokens: 198,
    own_tokens: 628,
    answer_tokens: 49,
    target_ms: 250,
    deadline_ms: 15_000,
    is_first: true,
};

impl Kind {
    pub(crate) fn urgency(&self) -> u8 {
        if self.is_first { 0 } else { 2 }
    }

    pub(crate) fn requirements(&self, session: u64, own: u64) -> EngineRequirements {
        let part = |id, tokens| PromptPart { id, tokens };
        let prompt_tokens = u64::from(self.shared_tokens + self.own_tokens);
        EngineRequirements {
            service: "llm".to_owned(),
            model: Some("model".to_owned()),
            memory_tokens: prompt_tokens + u64::from(self.answer_tokens),
            prompt_tokens,
            parts: vec![
                part(session, self.shared_tokens),
                part(own + 1_000_000, self.own_tokens),
            ],
            isolation_salt: 0,
            domain: "a".to_owned(),
        }
    }
}
