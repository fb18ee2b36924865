use {
    super::{
        orders::{ask, send},
        progress::{Lagging, Progress},
        right::Right,
    },
    crate::{clock::now_ms, instance::Instance, store::CallClient},
    mangowalk_core::{
        mesh::OrderPhase,
        pool::EngineEntry,
        weights::{OutdatedEngine, Step, plan},
    },
    mangowalk_platform::{EngineReport, OrderAnswer, WeightsOrder},
    std::{rc::Rc, time::Duration},
    tokio::{
        sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
        task::spawn_local,
        time::sleep,
    },
};

/// Pause between two looks while engines lack the newest weights.
const LOOK: Duration = Duration::from_millis(40);

/// Pause between two looks where another instance orders.
const WATCH: Duration = Duration::from_millis(200);

/// Longest pause between two looks while nothing is to be done.
const REST: Duration = Duration::from_millis(1_000);

/// What came back from an engine.
enum Heard {
    Answer(Lagging, OrderAnswer),
    Report(EngineEntry, Option<EngineReport>),
}

struct Orderer {
    instance: Rc<Instance>,
    right: Right,
    progress: Progress,
    tell: UnboundedSender<Heard>,
    heard: UnboundedReceiver<Heard>,
    lagging_since_ms: Option<u64>,
}

/// Gives orders to engines whenever some lack the newest weights.
pub async fn run_weights_updater(instance: Rc<Instance>, store: Rc<CallClient>) {
    let (tell, heard) = unbounded_channel();
    let mut orderer = Orderer {
        right: Right::new(instance.clone(), store),
        progress: Progress::new(instance.clone()),
        instance: instance.clone(),
        tell,
        heard,
        lagging_since_ms: None,
    };
    loop {
        let pause = orderer.look().await;
        tokio::select! {
            () = sleep(pause) => {}
            () = instance.notes.orders.notified() => {}
        }
    }
}

impl Orderer {
    /// Does what is due, and returns the pause until the next look.
    async fn look(&mut self) -> Duration {
        self.listen();
        let lagging = self.lagging();
        self.right.look_at_drain(self.progress.is_busy());
        if lagging.is_empty() {
            self.lagging_since_ms = None;
        } else {
            let since_ms = *self.lagging_since_ms.get_or_insert(now_ms());
            self.right.seek(since_ms).await;
        }
        if self.right.held().is_none() {
            if !self.progress.is_empty() {
                self.progress.forget();
            }
            self.instance.orders.borrow_mut().clear();
            return if lagging.is_empty() { REST } else { WATCH };
        }
        if !lagging.is_empty() {
            self.work(&lagging).await;
        }
        *self.instance.orders.borrow_mut() = self.progress.notes();
        if lagging.is_empty() && !self.progress.is_busy() {
            return REST;
        }
        LOOK
    }

    fn listen(&mut self) {
        while let Ok(heard) = self.heard.try_recv() {
            match heard {
                Heard::Answer(one, answer) => self.progress.answered(&one, answer),
                Heard::Report(entry, report) => self.progress.reported(&entry, report.as_ref()),
            }
        }
    }

    fn lagging(&self) -> Vec<Lagging> {
        let newest = self.instance.newest.borrow();
        let engines = self.instance.engines.borrow();
        let mut lagging = Vec::new();
        for belief in engines.staying_engines(now_ms()) {
            for model in &belief.entry.models {
                let version = newest.get(&model.model).map_or(0, |named| named.newest());
                if belief.version(&model.model) < version {
                    lagging.push(Lagging {
                        entry: belief.entry.clone(),
                        model: model.model.clone(),
                        version,
                    });
                }
            }
        }
        lagging
    }

    async fn work(&mut self, lagging: &[Lagging]) {
        for entry in self.progress.to_ask() {
            self.ask(entry);
        }
        if self
            .right
            .held()
            .is_none_or(|lease| lease.is_waiting(now_ms()))
        {
            return;
        }
        let mut due = Vec::new();
        for (step, one) in self.steps(lagging) {
            match step {
                Step::Steer(_) => self.progress.note(&one, OrderPhase::Planned),
                Step::Order { cut, .. } => due.push((one, cut)),
            }
        }
        due.retain(|(one, _)| !self.progress.is_waited_for(&one.entry.incarnation));
        // An order names how many came before it; that has to be known.
        due.retain(|(one, _)| {
            let known = self.progress.accepted(&one.entry.incarnation).is_some();
            if !known {
                self.ask(one.entry.clone());
            }
            known
        });
        if due.is_empty() || !self.right.renew().await {
            return;
        }
        for (one, cut) in due {
            self.order(one, cut);
        }
    }

    fn ask(&mut self, entry: EngineEntry) {
        self.progress.wait_for(&entry.incarnation);
        let tell = self.tell.clone();
        let instance = self.instance.clone();
        spawn_local(async move {
            let report = ask(&entry).await;
            // The receiver lives as long as the program.
            let _ = tell.send(Heard::Report(entry, report));
            instance.notes.orders.notify_one();
        });
    }

    fn order(&mut self, one: Lagging, cut: bool) {
        let (Some(lease), Some(accepted_before)) = (
            self.right.held(),
            self.progress.accepted(&one.entry.incarnation),
        ) else {
            return;
        };
        if !lease.may_order(now_ms()) {
            return;
        }
        let fence = lease.held().fence;
        self.progress.wait_for(&one.entry.incarnation);
        self.instance.ordered_ms.set(Some(now_ms()));
        let (tell, instance) = (self.tell.clone(), self.instance.clone());
        spawn_local(async move {
            let order = WeightsOrder {
                engine: &one.entry.incarnation.id,
                model: &one.model,
                version: one.version,
                cut,
                holder: &instance.machine().name,
                fence,
                accepted_before,
            };
            let answer = send(&one.entry, &order).await;
            log::info!(
                "event=ordered engine={} model={} version={} cut={cut} fence={fence} accepted_before={accepted_before} answer={answer:?}",
                one.entry.incarnation.id,
                one.model,
                one.version,
            );
            // The receiver lives as long as the program.
            let _ = tell.send(Heard::Answer(one, answer));
            instance.notes.orders.notify_one();
        });
    }

    fn steps(&self, lagging: &[Lagging]) -> Vec<(Step, Lagging)> {
        let mut steps = Vec::new();
        let mut models: Vec<&String> = lagging.iter().map(|one| &one.model).collect();
        models.sort();
        models.dedup();
        let now_ms = now_ms();
        for model in models {
            let of_model: Vec<&Lagging> =
                lagging.iter().filter(|one| one.model == *model).collect();
            let turns: Vec<OutdatedEngine> = of_model
                .iter()
                .map(|one| self.progress.turn(one, now_ms))
                .collect();
            let (engines, requests) = self.engines_of(model);
            let at_once = self.progress.at_once(engines);
            let settings = &self.instance.settings.plan;
            let cuts = self.cuts(model);
            for step in plan(&turns, engines, requests, at_once, cuts, settings, now_ms) {
                let (Step::Steer(engine) | Step::Order { engine, .. }) = &step;
                let mut of_model = of_model.iter();
                let one = of_model.find(|one| one.entry.incarnation.id == *engine);
                if let Some(one) = one {
                    steps.push((step.clone(), (*one).clone()));
                }
            }
        }
        steps
    }

    /// Returns how many requests of a model may be cut off: each is sent once
    /// more, which takes a repeat of its service's budget.
    fn cuts(&self, model: &str) -> u32 {
        let now_ms = now_ms();
        let instances = self.instance.instances();
        let engines = self.instance.engines.borrow();
        let mut engines = engines.iter();
        let serves = |entry: &EngineEntry| entry.models.iter().any(|m| m.model == model);
        let Some(belief) = engines.find(|belief| serves(&belief.entry)) else {
            return 0;
        };
        let mut budgets = self.instance.budgets.borrow_mut();
        let budget = budgets.entry(belief.entry.service.clone()).or_default();
        budget.remaining(&self.instance.machine().retries, instances, now_ms)
    }

    /// Returns how many engines of a model answer, and the requests there.
    fn engines_of(&self, model: &str) -> (usize, u32) {
        let now_ms = now_ms();
        let engines = self.instance.engines.borrow();
        let serves = |entry: &EngineEntry| entry.models.iter().any(|m| m.model == model);
        let answering = engines
            .staying_engines(now_ms)
            .filter(|belief| serves(&belief.entry) && !belief.is_silent(now_ms));
        let requests = answering.clone().map(|belief| belief.load().requests).sum();
        (answering.count(), requests)
    }
}
