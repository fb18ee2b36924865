use {
    super::{lease_manager::LeaseManager, probe::probe},
    crate::shared_state::SharedState,
    log::{info, warn},
    mangowalk_core::{
        config::{EngineRecord, View},
        edge::{Clock, Edges, Engines, Platform, PlatformError},
        engine::{EngineState, Order, OrderReply},
        platform::{ObjectKey, Precondition, system_kind},
        rollout::{Action, EngineSnapshot, Plan, Rollout, RolloutSettings},
    },
    serde_json::json,
    std::{
        collections::{BTreeMap, BTreeSet},
        marker::PhantomData,
    },
};

/// State of a rollout at the lease holder: the plan as last saved to the
/// platform with its version, and the engines with drain marks.
struct RolloutState {
    rollout: Rollout,
    saved: Plan,
    plan_version: u64,
    drained: BTreeSet<String>,
}

/// One model's rollout: its lease, and its state while the lease is held.
pub(super) struct ModelRollout<E> {
    model: String,
    lease: LeaseManager,
    rollout_state: Option<RolloutState>,
    edges: PhantomData<fn() -> E>,
}

/// Returns the name of the lease under which orders are sent to a model's
/// engines.
pub(super) fn lease_name(model: &str) -> String {
    format!("rollout.{model}")
}

impl<E: Edges> ModelRollout<E> {
    pub(super) fn new(model: &str, now_ms: u64) -> ModelRollout<E> {
        ModelRollout {
            model: model.to_owned(),
            lease: LeaseManager::new(&lease_name(model), now_ms),
            rollout_state: None,
            edges: PhantomData,
        }
    }

    /// Returns whether the outcome for a version is saved in the platform, or this
    /// instance has no outcome to save.
    pub(super) fn is_settled(&self, version: &str) -> bool {
        self.rollout_state.as_ref().is_none_or(|rollout_state| {
            let plan = &rollout_state.saved;
            plan.target == version && (plan.done || plan.failure.is_some())
        })
    }

    /// Releases the lease. The saved plan and drain marks stay in the platform.
    pub(super) fn release(&mut self, edges: &E) {
        self.rollout_state = None;
        self.lease.release(edges);
    }

    /// Runs the next step if the lease is held. A failed call ends the step. The
    /// state is then loaded again, because it is unknown which writes took effect.
    pub(super) fn step(&mut self, edges: &E, shared: &SharedState, view: &View) {
        if self.lease.maintain(edges, shared).is_none() {
            self.rollout_state = None;
            return;
        }
        if let Err(error) = self.run_step(edges, shared, view) {
            warn!(
                "rollout: A step for {} failed and is tried again. {error}",
                self.model
            );
            self.rollout_state = None;
        }
    }

    fn run_step(
        &mut self,
        edges: &E,
        shared: &SharedState,
        view: &View,
    ) -> Result<(), PlatformError> {
        let Some(record) = view.models.get(&self.model) else {
            return Ok(());
        };
        let mut rollout_state = match self.rollout_state.take() {
            Some(rollout_state) => rollout_state,
            None => self.load_state(edges)?,
        };
        let states = self.read_states(edges, shared, view, &rollout_state.drained);
        let engines = self.engines(view);
        let snapshots = engine_snapshots(&self.model, &engines, &states, &rollout_state.drained);
        let loads = record.concurrent_loads as usize;
        rollout_state
            .rollout
            .set_target(&record.version, loads, &snapshots);
        let now_ms = edges.clock().now_ms();
        let actions = rollout_state.rollout.decide(&snapshots, now_ms);
        self.save(edges, &mut rollout_state)?;
        for action in &actions {
            self.perform(edges, view, &mut rollout_state, &states, action)?;
        }
        self.save(edges, &mut rollout_state)?;
        self.rollout_state = Some(rollout_state);
        Ok(())
    }

    /// Loads the plan and the drain marks that the previous lease holder saved.
    fn load_state(&self, edges: &E) -> Result<RolloutState, PlatformError> {
        let object = edges.platform().get(&self.plan_key())?;
        let plan_version = object.as_ref().map_or(0, |o| o.version);
        let saved: Plan = object
            .and_then(|o| serde_json::from_value(o.body).ok())
            .unwrap_or_default();
        let drain_marks = edges.platform().list(&[system_kind::DRAIN])?;
        let own = drain_marks
            .objects
            .into_iter()
            .filter(|o| o.body["model"] == self.model.as_str());
        let now_ms = edges.clock().now_ms();
        Ok(RolloutState {
            rollout: Rollout::resume(RolloutSettings::default(), saved.clone(), now_ms),
            saved,
            plan_version,
            drained: own.map(|o| o.key.name).collect(),
        })
    }

    fn plan_key(&self) -> ObjectKey {
        ObjectKey::new(system_kind::ROLLOUT, &self.model)
    }

    /// Saves the plan to the platform if it changed.
    fn save(&self, edges: &E, rollout_state: &mut RolloutState) -> Result<(), PlatformError> {
        let plan = rollout_state.rollout.plan();
        if *plan == rollout_state.saved {
            return Ok(());
        }
        if let Some(failure) = &plan.failure {
            warn!(
                "rollout: {} stopped at {}. {}",
                self.model, failure.engine, failure.reason
            );
        }
        let expect = match rollout_state.plan_version {
            0 => Precondition::Absent,
            version => Precondition::Version(version),
        };
        let body = json!(plan);
        rollout_state.plan_version = edges.platform().put(&self.plan_key(), expect, &body)?;
        rollout_state.saved = plan.clone();
        Ok(())
    }

    fn engines<'a>(&self, view: &'a View) -> Vec<&'a EngineRecord> {
        let of_model = |e: &&EngineRecord| e.model == self.model;
        view.engines.values().filter(of_model).collect()
    }

    /// Returns the state of engines: drained ones are polled now, the others have
    /// their last known state. Polling all engines in each step would delay the
    /// renewal of the lease by the timeout of each dead one.
    fn read_states(
        &self,
        edges: &E,
        shared: &SharedState,
        view: &View,
        drained: &BTreeSet<String>,
    ) -> BTreeMap<String, Option<EngineState>> {
        let mut states: BTreeMap<String, Option<EngineState>> = shared
            .engines
            .snapshot()
            .into_iter()
            .map(|(name, known)| (name, known.state))
            .collect();
        for name in drained {
            if let Some(engine) = view.engines.get(name) {
                states.insert(name.clone(), edges.engines().state(engine.address).ok());
            }
        }
        states
    }

    fn perform(
        &self,
        edges: &E,
        view: &View,
        rollout_state: &mut RolloutState,
        states: &BTreeMap<String, Option<EngineState>>,
        action: &Action<'_>,
    ) -> Result<(), PlatformError> {
        match action {
            Action::Drain { engine } => self.drain(edges, rollout_state, engine),
            Action::Undrain { engine } => self.undrain(edges, rollout_state, engine),
            Action::Order { engine, version } => {
                self.order(edges, &view.engines[*engine], rollout_state, version);
                Ok(())
            }
            Action::Probe { engine, version } => {
                let record = &view.engines[*engine];
                let state = states.get(*engine).and_then(Option::as_ref);
                let incarnation = state.map_or(0, |s| s.incarnation);
                let ok = probe(edges, record, version, incarnation);
                let now_ms = edges.clock().now_ms();
                rollout_state
                    .rollout
                    .record_probe(engine, incarnation, version, ok, now_ms);
                Ok(())
            }
        }
    }

    /// Writes the drain mark of an engine.
    fn drain(
        &self,
        edges: &E,
        rollout_state: &mut RolloutState,
        engine: &str,
    ) -> Result<(), PlatformError> {
        info!("rollout: Draining {engine}.");
        let key = ObjectKey::new(system_kind::DRAIN, engine);
        let body = json!({ "schema": 1, "model": self.model });
        edges.platform().put(&key, Precondition::Any, &body)?;
        rollout_state.drained.insert(engine.to_owned());
        Ok(())
    }

    /// Deletes the drain mark of an engine.
    fn undrain(
        &self,
        edges: &E,
        rollout_state: &mut RolloutState,
        engine: &str,
    ) -> Result<(), PlatformError> {
        info!("rollout: Undraining {engine}.");
        let key = ObjectKey::new(system_kind::DRAIN, engine);
        edges.platform().delete(&key, Precondition::Any)?;
        rollout_state.drained.remove(engine);
        Ok(())
    }

    /// Orders an engine to load a version. The lease is checked again right before
    /// the order, because it may have expired during the calls since the last
    /// check or while the process was paused.
    fn order(
        &self,
        edges: &E,
        engine: &EngineRecord,
        rollout_state: &mut RolloutState,
        version: &str,
    ) {
        let Some(lease) = self.lease.held(edges.clock().now_ms()) else {
            return;
        };
        info!("rollout: Ordering {} to load {version}.", engine.name);
        let order = Order {
            fencing: lease.fencing(),
            model: self.model.clone(),
            version: version.to_owned(),
        };
        let reply = edges.engines().order(engine.address, &order);
        if let Ok(OrderReply::OldFencing { highest }) = reply {
            // A later lease holder is active. The reply is no result for the version.
            warn!(
                "rollout: {} refused the order; it follows a holder with fencing number {highest}.",
                engine.name
            );
            return;
        }
        let now_ms = edges.clock().now_ms();
        rollout_state.rollout.record_order_reply(
            &engine.name,
            version,
            reply.ok().as_ref(),
            now_ms,
        );
    }
}

fn engine_snapshots<'a>(
    model: &str,
    engines: &[&'a EngineRecord],
    states: &'a BTreeMap<String, Option<EngineState>>,
    drained: &BTreeSet<String>,
) -> Vec<EngineSnapshot<'a>> {
    let snapshot = |engine: &&'a EngineRecord| {
        let state = states.get(&engine.name).and_then(Option::as_ref);
        let version = |s: &'a EngineState| if s.model == model { &s.version } else { "" };
        EngineSnapshot {
            name: &engine.name,
            version: state.map(version),
            incarnation: state.map_or(0, |s| s.incarnation),
            loading: state.is_some_and(|s| s.loading),
            open_requests: state.map_or(0, |s| s.load.running + s.load.waiting),
            checks_fencing: engine.checks_fencing,
            drained: drained.contains(&engine.name),
            departing: engine.departing,
        }
    };
    engines.iter().map(snapshot).collect()
}
