use {
    super::schedule::Fault,
    mangowalk_platform_standins::{Deployment, Engine, EngineFaults, StoreFault, StoreGate},
    nix::sys::signal::Signal,
    serde_json::json,
    std::time::{Duration, Instant},
};

/// What a fault does later.
#[derive(Debug, Clone)]
enum Later {
    Open(usize),
    Thaw(usize),
    Start(usize),
    StoreWell,
    ReadingsWell,
    Unlist(String),
    Join { is_model: bool },
    Lapse,
    WriteAgain,
    EngineWell(String),
    GiveKey,
}

/// When an engine left, for the store.
#[derive(Debug, Clone)]
pub(crate) struct Left {
    pub(crate) engine: String,
    pub(crate) at: Instant,
}

/// A time in which something was disturbed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Span {
    pub(crate) from: Instant,
    pub(crate) to: Instant,
}

/// Time for which a stopping instance is waited for; it has four seconds.
const STOP_MS: u64 = 4_600;

/// Time between the word of an engine that it leaves and the end of its entry.
const DRAIN_MS: u64 = 2_200;

/// Carries faults out, and notes what was disturbed when.
pub(crate) struct Faults {
    pub(crate) deployment: Deployment,
    gates: Vec<StoreGate>,
    later: Vec<(Instant, Later)>,
    /// Engines on the list; those that left serve on.
    listed: Vec<String>,
    pub(crate) left: Vec<Left>,
    /// Times in which a machine was disturbed, its way to the store included.
    pub(crate) disturbed: Vec<Vec<Span>>,
    /// Times in which a machine's process didn't run.
    pub(crate) stopped: Vec<Vec<Span>>,
    /// Refusals by the store that each machine is under; they overlap.
    refusals: Vec<usize>,
    pub(crate) store_disturbed: Vec<Span>,
    pub(crate) withdrawn: Vec<Span>,
    weights: u64,
    joined: usize,
    /// Whether entries have lapsed and are not written again yet.
    is_lapsed: bool,
}

impl Faults {
    pub(crate) fn new(deployment: Deployment, gates: Vec<StoreGate>) -> Faults {
        let engines = deployment.engines.iter().chain(&deployment.services);
        Faults {
            listed: engines.map(|engine| engine.id().to_owned()).collect(),
            disturbed: deployment.machines.iter().map(|_| Vec::new()).collect(),
            stopped: deployment.machines.iter().map(|_| Vec::new()).collect(),
            refusals: deployment.machines.iter().map(|_| 0).collect(),
            deployment,
            gates,
            later: Vec::new(),
            left: Vec::new(),
            store_disturbed: Vec::new(),
            withdrawn: Vec::new(),
            weights: 1,
            joined: 0,
            is_lapsed: false,
        }
    }

    /// Carries out what is due.
    pub(crate) fn tick(&mut self, now: Instant) {
        let (due, later) = self.later.drain(..).partition(|(at, _)| *at <= now);
        self.later = later;
        for (_, then) in due {
            self.then(then, now);
        }
        if !self.is_lapsed {
            self.write_entries();
        }
    }

    /// Lets engines write what has changed of themselves: their weights.
    fn write_entries(&self) {
        for id in &self.listed {
            if let Some(engine) = self.engine(id) {
                self.deployment
                    .store
                    .write("servers", id, engine.entry("ready"));
            }
        }
    }

    /// Returns whether nothing is to come.
    pub(crate) fn is_over(&self) -> bool {
        self.later.is_empty()
    }

    fn after(&mut self, now: Instant, ms: u64, then: Later) {
        self.later.push((now + Duration::from_millis(ms), then));
    }

    fn disturb(&mut self, machine: usize, now: Instant, for_ms: u64) {
        let to = now + Duration::from_millis(for_ms);
        self.disturbed[machine].push(Span { from: now, to });
    }

    fn stop(&mut self, machine: usize, now: Instant, for_ms: u64) {
        self.disturb(machine, now, for_ms);
        let to = now + Duration::from_millis(for_ms);
        self.stopped[machine].push(Span { from: now, to });
    }

    fn disturb_store(&mut self, now: Instant, for_ms: u64) {
        let to = now + Duration::from_millis(for_ms);
        self.store_disturbed.push(Span { from: now, to });
    }

    /// Begins a fault.
    pub(crate) fn begin(&mut self, fault: Fault, now: Instant) {
        match fault {
            Fault::Refuse { machine, for_ms } => {
                self.gates[machine].close();
                self.refusals[machine] += 1;
                self.disturb(machine, now, for_ms);
                self.after(now, for_ms, Later::Open(machine));
            }
            Fault::Freeze { machine, for_ms } => {
                self.deployment.machines[machine].signal(Signal::SIGSTOP);
                self.stop(machine, now, for_ms);
                self.after(now, for_ms, Later::Thaw(machine));
            }
            Fault::Kill { machine, for_ms } => {
                self.deployment.machines[machine].kill();
                self.stop(machine, now, for_ms);
                self.after(now, for_ms, Later::Start(machine));
            }
            Fault::Stop { machine } => {
                self.deployment.machines[machine].signal(Signal::SIGTERM);
                self.stop(machine, now, STOP_MS);
                self.after(now, STOP_MS, Later::Start(machine));
            }
            Fault::StoreBusy { for_ms } => {
                self.deployment.store.set_fault(StoreFault::Busy);
                self.disturb_store(now, for_ms);
                self.after(now, for_ms, Later::StoreWell);
            }
            Fault::StoreLapses { for_ms } => {
                self.deployment.store.set_fault(StoreFault::Busy);
                // Entries are back within two seconds.
                self.disturb_store(now, for_ms + 2_000);
                self.after(now, for_ms / 2, Later::Lapse);
                self.after(now, for_ms, Later::StoreWell);
                self.after(now, for_ms + 1_200, Later::WriteAgain);
            }
            Fault::LoseAnswers { for_ms } => {
                self.deployment.store.set_fault(StoreFault::LoseAnswers);
                self.disturb_store(now, for_ms);
                self.after(now, for_ms, Later::StoreWell);
            }
            Fault::Lag { for_ms } => {
                self.deployment.store.set_lagging(true);
                self.after(now, for_ms, Later::ReadingsWell);
            }
            Fault::Drain { is_model } => {
                if let Some(id) = self.leave(is_model, now) {
                    let entry = self.engine(&id).map(|engine| engine.entry("draining"));
                    if let Some(entry) = entry {
                        self.deployment.store.write("servers", &id, entry);
                    }
                    self.after(now, DRAIN_MS, Later::Unlist(id));
                }
            }
            Fault::Leave { is_model } => {
                if let Some(id) = self.leave(is_model, now) {
                    self.deployment.store.remove("servers", &id);
                }
            }
            Fault::Mute { is_model, for_ms } => {
                let faults = EngineFaults {
                    loses_answers: true,
                    ..EngineFaults::default()
                };
                self.spoil(is_model, faults, for_ms, now);
            }
            Fault::Cut { for_ms } => {
                let faults = EngineFaults {
                    cut_after_events: Some(4),
                    half_event: true,
                    ..EngineFaults::default()
                };
                self.spoil(true, faults, for_ms, now);
            }
            Fault::NameWeights => {
                self.weights += 1;
                self.deployment.name_weights(self.weights);
            }
            Fault::Withdraw { for_ms } => {
                let to = now + Duration::from_millis(for_ms);
                if self.withdrawn.last().is_some_and(|span| span.to >= now) {
                    return;
                }
                self.withdrawn.push(Span { from: now, to });
                self.deployment.configure(|configuration| {
                    configuration["Tenants"][1]["ApiKeys"] = json!([]);
                });
                self.after(now, for_ms, Later::GiveKey);
            }
        }
    }

    fn then(&mut self, then: Later, now: Instant) {
        let machines = &mut self.deployment.machines;
        match then {
            Later::Open(machine) => {
                self.refusals[machine] -= 1;
                if self.refusals[machine] == 0 {
                    self.gates[machine].open();
                }
            }
            Later::Thaw(machine) => machines[machine].signal(Signal::SIGCONT),
            Later::Start(machine) => {
                machines[machine].kill();
                machines[machine].start();
                // It reads the store anew.
                self.stop(machine, now, 500);
            }
            Later::StoreWell => self.deployment.store.set_fault(StoreFault::None),
            Later::ReadingsWell => self.deployment.store.set_lagging(false),
            Later::Unlist(id) => self.deployment.store.remove("servers", &id),
            Later::Join { is_model } => self.join(is_model),
            Later::Lapse => {
                self.is_lapsed = true;
                for id in &self.listed {
                    self.deployment.store.remove("servers", id);
                }
            }
            Later::WriteAgain => self.is_lapsed = false,
            Later::EngineWell(id) => {
                if let Some(engine) = self.engine(&id) {
                    engine.set_faults(EngineFaults::default());
                }
            }
            Later::GiveKey => self.deployment.configure(|configuration| {
                configuration["Tenants"][1]["ApiKeys"] = json!([super::traffic::WITHDRAWN_KEY]);
            }),
        }
    }

    fn engine(&self, id: &str) -> Option<&Engine> {
        let engines = &self.deployment.engines;
        let mut engines = engines.iter().chain(&self.deployment.services);
        engines.find(|engine| engine.id() == id)
    }

    /// Takes an engine off those that stay, if another one is left.
    fn leave(&mut self, is_model: bool, now: Instant) -> Option<String> {
        let begin = if is_model { 'e' } else { 's' };
        let of_kind = |id: &&String| id.starts_with(begin);
        if self.listed.iter().filter(of_kind).count() < 2 {
            return None;
        }
        let place = self.listed.iter().position(|id| id.starts_with(begin))?;
        let id = self.listed.remove(place);
        self.left.push(Left {
            engine: id.clone(),
            at: now,
        });
        self.after(now, 1_500, Later::Join { is_model });
        Some(id)
    }

    fn join(&mut self, is_model: bool) {
        self.joined += 1;
        let number = 100 + self.joined;
        let domain = ["a", "b", "c"][number % 3];
        let engine = match is_model {
            true => Engine::start(&format!("e{number}"), "llm", Some("model"), domain),
            false => Engine::start(&format!("s{number}"), "desk", None, domain),
        };
        let id = engine.id().to_owned();
        self.deployment
            .store
            .write("servers", &id, engine.entry("ready"));
        self.listed.push(id);
        match is_model {
            true => self.deployment.engines.push(engine),
            false => self.deployment.services.push(engine),
        }
    }

    fn spoil(&mut self, is_model: bool, faults: EngineFaults, for_ms: u64, now: Instant) {
        let begin = if is_model { 'e' } else { 's' };
        let id = self.listed.iter().rfind(|id| id.starts_with(begin));
        let Some(id) = id.cloned() else {
            return;
        };
        if let Some(engine) = self.engine(&id) {
            engine.set_faults(faults);
        }
        self.after(now, for_ms, Later::EngineWell(id));
    }
}
