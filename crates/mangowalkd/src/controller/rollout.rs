use {
    super::{
        Controller,
        lease_manager::is_candidate,
        model_rollout::{ModelRollout, lease_name},
    },
    crate::shared_state::SharedState,
    mangowalk_core::{
        config::View,
        edge::{Clock, Edges},
    },
    std::collections::BTreeMap,
};

/// Pause between two steps.
const PERIOD_MS: u64 = 500;

/// Runs the rollouts of weights versions, each model under its own lease.
pub struct RolloutController<E: Edges> {
    models: BTreeMap<String, ModelRollout<E>>,
}

impl<E: Edges> Default for RolloutController<E> {
    fn default() -> RolloutController<E> {
        RolloutController {
            models: BTreeMap::new(),
        }
    }
}

impl<E: Edges> Controller for RolloutController<E> {
    type Edges = E;

    const NAME: &'static str = "rollout";

    fn step(&mut self, edges: &E, shared: &SharedState, _now_ms: u64) -> u64 {
        let view = shared.config.view();
        self.models
            .retain(|model, _| view.models.contains_key(model));
        for (model, record) in &view.models {
            // The outcome is saved before the lease is released. Without it the
            // next rollout would roll back to the version before the last one.
            let unsettled = |r: &ModelRollout<E>| !r.is_settled(&record.version);
            let wanted = (has_work(shared, &view, model)
                || self.models.get(model).is_some_and(unsettled))
                && is_candidate(shared, &lease_name(model));
            if wanted && !self.models.contains_key(model) {
                let rollout = ModelRollout::new(model, edges.clock().now_ms());
                self.models.insert(model.clone(), rollout);
            }
            let Some(rollout) = self.models.get_mut(model) else {
                continue;
            };
            if wanted {
                rollout.step(edges, shared, &view);
            } else {
                rollout.release(edges);
                self.models.remove(model);
            }
        }
        PERIOD_MS
    }

    fn shut_down(&mut self, edges: &E, _board: &SharedState) {
        self.models.values_mut().for_each(|r| r.release(edges));
    }
}

/// Returns whether an engine of the model has a drain mark, or serves another
/// version than the record specifies. A model without work causes no calls to
/// the platform.
fn has_work(shared: &SharedState, view: &View, model: &str) -> bool {
    let known = shared.engines.snapshot();
    let Some(record) = view.models.get(model) else {
        return false;
    };
    view.engines.values().filter(|e| e.model == model).any(|e| {
        let state = known.get(&e.name).and_then(|s| s.state.as_ref());
        let other = state.is_some_and(|s| s.version != record.version || s.model != model);
        view.draining.contains(&e.name) || (other && !e.departing)
    })
}
