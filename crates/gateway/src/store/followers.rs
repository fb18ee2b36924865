use {
    super::{
        CallClient,
        follow::{Follower, follow},
    },
    crate::{clock::now_ms, instance::Instance},
    mangowalk_core::weights::NamedAt,
    mangowalk_platform::{
        Kind, Stored, decode_configuration, decode_engine, decode_newest_weights,
    },
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::time::sleep,
};

struct ConfigurationFollower(Rc<Instance>);

impl Follower for ConfigurationFollower {
    const KIND: Kind = Kind::Configuration;

    fn replace(&self, objects: &[Stored]) {
        for object in objects {
            self.change(&object.name, Some(object));
        }
    }

    fn change(&self, name: &str, object: Option<&Stored>) {
        let Some(object) = object else {
            return;
        };
        match decode_configuration(&object.spec) {
            Ok(configuration) => self.0.apply(configuration, "store", now_ms()),
            Err(error) => log::warn!("event=configuration_refused name={name} error=\"{error}\""),
        }
    }

    async fn behind(&self) {
        let instance = &self.0;
        loop {
            instance.notes.configuration.notified().await;
            // All learn of it at about the same time; only a watch that has
            // fallen silent or lags needs a reading of its own.
            sleep(Duration::from_millis(instance.settings.peer_lead_ms)).await;
            if instance.is_behind(now_ms()) {
                return;
            }
        }
    }
}

struct WeightsFollower {
    instance: Rc<Instance>,
    /// When the store last told something of the kind, or that nothing changed.
    heard_ms: Cell<Option<u64>>,
}

impl WeightsFollower {
    fn name(&self, name: &str, object: &Stored, at: NamedAt) {
        match decode_newest_weights(&object.spec) {
            Some(newest) => {
                self.instance
                    .name_weights(&newest.model, newest.version, at, "store");
            }
            None => log::warn!("event=weights_refused name={name}"),
        }
    }
}

impl Follower for WeightsFollower {
    const KIND: Kind = Kind::Weights;

    fn replace(&self, objects: &[Stored]) {
        let gap_ms = self.heard_ms.get().map(|heard_ms| now_ms() - heard_ms);
        let at = NamedAt::after_gap(gap_ms);
        for object in objects {
            self.name(&object.name, object, at);
        }
    }

    fn change(&self, name: &str, object: Option<&Stored>) {
        if let Some(object) = object {
            self.name(name, object, NamedAt::Ago(0));
        }
    }

    fn heard(&self, _revision: u64) {
        self.heard_ms.set(Some(now_ms()));
    }
}

struct EnginesFollower(Rc<Instance>);

impl EnginesFollower {
    fn unlist(&self, name: &str) {
        let now_ms = now_ms();
        let keep_until_ms = self
            .0
            .following
            .keep_missing_until_ms(self.0.settings.lapsed_ms, now_ms);
        let mut engines = self.0.engines.borrow_mut();
        if engines.unlist(name, keep_until_ms, now_ms) {
            log::info!("event=engine_gone engine={name}");
            self.0.notes.heartbeat.notify_one();
        } else if engines.get(name).is_some() {
            let grace_ms = keep_until_ms.unwrap_or(now_ms).saturating_sub(now_ms);
            log::info!("event=engine_missing engine={name} grace_ms={grace_ms}");
        }
    }
}

impl Follower for EnginesFollower {
    const KIND: Kind = Kind::Engines;

    fn gather_ms(&self) -> u64 {
        self.0.settings.gather_ms
    }

    fn replace(&self, objects: &[Stored]) {
        let is_listed = |id: &str| objects.iter().any(|object| object.name == id);
        let unlisted = self.0.engines.borrow().unlisted(is_listed);
        for name in unlisted {
            self.unlist(&name);
        }
        for object in objects {
            self.change(&object.name, Some(object));
        }
        if !self.0.engines_known.replace(true) {
            log::info!("event=engines_known count={}", objects.len());
        }
        self.0.notes.orders.notify_one();
    }

    fn heard(&self, revision: u64) {
        let mut engines = self.0.engines.borrow_mut();
        engines.listed_up_to(revision, now_ms());
    }

    fn change(&self, name: &str, object: Option<&Stored>) {
        let Some(object) = object else {
            return self.unlist(name);
        };
        let mut engines = self.0.engines.borrow_mut();
        match decode_engine(name, object.revision, &object.spec) {
            Ok(entry) => {
                let draining = entry.draining;
                if engines.list(entry) {
                    log::info!(
                        "event=engine_listed engine={name} draining={draining} revision={}",
                        object.revision,
                    );
                }
                if draining {
                    self.0.notes.heartbeat.notify_one();
                }
                self.0.notes.orders.notify_one();
            }
            Err(error) => {
                engines.refuse(name);
                log::warn!("event=engine_refused engine={name} error=\"{error}\"");
            }
        }
    }
}

/// Follows the operators' configuration.
pub async fn watch_configuration(instance: Rc<Instance>, store: Rc<CallClient>) {
    follow(&instance, &store, ConfigurationFollower(instance.clone())).await;
}

/// Follows the newest weights.
pub async fn watch_weights(instance: Rc<Instance>, store: Rc<CallClient>) {
    let follower = WeightsFollower {
        instance: instance.clone(),
        heard_ms: Cell::new(None),
    };
    follow(&instance, &store, follower).await;
}

/// Follows the list of engines.
pub async fn watch_engines(instance: Rc<Instance>, store: Rc<CallClient>) {
    follow(&instance, &store, EnginesFollower(instance.clone())).await;
}
