use {crate::pool::Incarnation, derive_more::Display, std::collections::HashMap};

/// The limits that engines name, by their start: one that starts again has named none.
#[derive(Debug, Clone, Default)]
pub struct EngineLimits {
    named: HashMap<Incarnation, NamedLimit>,
}

#[derive(Debug, Clone, Copy)]
struct NamedLimit {
    per_s: f64,
    heard_ms: u64,
}

/// A limit that an engine has named, changed or withdrawn.
#[derive(Debug, Clone, Copy, PartialEq, Display)]
#[display("limit_per_s={per_s:?} before={before_per_s:?}")]
pub struct LimitChange {
    /// Requests a second; `None` for no limit.
    pub per_s: Option<f64>,
    /// The value before.
    pub before_per_s: Option<f64>,
}

impl EngineLimits {
    /// Records what an engine's answer to a request sent at `sent_ms` says of its limit.
    /// Returns the change, if any.
    ///
    /// An answer without a limit to a request that was sent before the limit was last heard
    /// of may be older, and withdraws nothing.
    pub fn record_answer(
        &mut self,
        engine: &Incarnation,
        per_s: Option<f64>,
        sent_ms: u64,
        now_ms: u64,
    ) -> Option<LimitChange> {
        let before = self.named.get(engine).copied();
        match (per_s, before) {
            (None, None) => return None,
            (None, Some(before)) if sent_ms <= before.heard_ms => return None,
            (None, Some(_)) => {
                self.named.remove(engine);
            }
            (Some(per_s), _) => {
                let heard_ms = now_ms;
                self.named
                    .insert(engine.clone(), NamedLimit { per_s, heard_ms });
            }
        }
        let change = LimitChange {
            per_s,
            before_per_s: before.map(|before| before.per_s),
        };
        (change.per_s != change.before_per_s).then_some(change)
    }

    /// Forgets engines that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&Incarnation) -> bool) {
        self.named.retain(|engine, _| is_known(engine));
    }
}
