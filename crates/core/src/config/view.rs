use {
    super::Store,
    crate::record::{Model, Rate, Record, Team, UpstreamRole, digest_of},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

/// A serving engine as requests see it.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineRecord {
    /// Name of the record.
    pub name: String,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
    /// Model.
    pub model: String,
    /// Whether the engine refuses old fencing numbers.
    pub checks_fencing: bool,
    /// Whether it gets no new work.
    pub departing: bool,
}

/// A plain service as requests see it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRecord {
    /// Name of the record.
    pub name: String,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
    /// Name under which callers reach it.
    pub service: String,
    /// Whether calls may be repeated.
    pub repeatable: bool,
    /// Whether it gets no new work.
    pub departing: bool,
}

/// The records in force, arranged for requests. It is built at each change
/// and shared unchanged between them.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Revision up to which the view is complete.
    pub revision: u64,
    /// Teams by name.
    pub teams: BTreeMap<String, Team>,
    /// Rates by team.
    pub rates: BTreeMap<String, Rate>,
    /// Models by name.
    pub models: BTreeMap<String, Model>,
    /// Engines by name.
    pub engines: BTreeMap<String, EngineRecord>,
    /// Services by name of record.
    pub services: BTreeMap<String, ServiceRecord>,
    /// Engines that get no new work while their weights change.
    pub draining: BTreeSet<String>,
    keys: BTreeMap<String, String>,
}

impl View {
    /// Builds the view of a store.
    pub fn of(store: &Store) -> View {
        let mut view = View {
            revision: store.revision(),
            ..View::default()
        };
        for (_, name, entry) in store.entries() {
            if let Some(record) = entry.state.record() {
                view.insert(name, record);
            }
        }
        view
    }

    fn insert(&mut self, name: &str, record: &Record) {
        match record {
            Record::Team(team) => {
                self.teams.insert(name.to_owned(), team.clone());
            }
            Record::Key(key) => {
                self.keys.insert(key.digest.clone(), key.team.clone());
            }
            Record::Rate(rate) => {
                self.rates.insert(name.to_owned(), rate.clone());
            }
            Record::Model(model) => {
                self.models.insert(name.to_owned(), model.clone());
            }
            Record::Upstream(upstream) => self.insert_upstream(name, upstream),
            Record::Drain(_) => {
                self.draining.insert(name.to_owned());
            }
        }
    }

    fn insert_upstream(&mut self, name: &str, upstream: &crate::record::Upstream) {
        match &upstream.role {
            UpstreamRole::Engine {
                model,
                checks_fencing,
            } => {
                let engine = EngineRecord {
                    name: name.to_owned(),
                    address: upstream.address,
                    failure_domain: upstream.failure_domain.clone(),
                    model: model.clone(),
                    checks_fencing: *checks_fencing,
                    departing: upstream.departing,
                };
                self.engines.insert(name.to_owned(), engine);
            }
            UpstreamRole::Service {
                service,
                repeatable,
            } => {
                let service = ServiceRecord {
                    name: name.to_owned(),
                    address: upstream.address,
                    failure_domain: upstream.failure_domain.clone(),
                    service: service.clone(),
                    repeatable: *repeatable,
                    departing: upstream.departing,
                };
                self.services.insert(name.to_owned(), service);
            }
        }
    }

    /// Returns the engines that get no new work.
    pub fn closed_engines(&self) -> impl Iterator<Item = String> {
        let departing = self.engines.values().filter(|e| e.departing);
        let departing = departing.map(|e| e.name.clone());
        departing.chain(self.draining.iter().cloned())
    }

    /// Returns the team that a key authenticates, if the team exists.
    pub fn team_of_key(&self, key: &str) -> Option<&str> {
        self.team_of_digest(&digest_of(key))
    }

    /// Returns the team that the key with this digest authenticates, if the
    /// team exists.
    pub fn team_of_digest(&self, digest: &str) -> Option<&str> {
        // Looking up a digest leaks nothing of use through its timing: a caller
        // can't choose the digits of a hash.
        let team = self.keys.get(digest)?;
        self.teams.contains_key(team).then_some(team.as_str())
    }
}
