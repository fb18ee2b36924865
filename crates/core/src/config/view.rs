use {
    super::Store,
    crate::record::{Model, Rate, Record, Team, UpstreamRole, digest_of},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

/// An engine, with the fields that requests need.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineRecord {
    /// Name of the record.
    pub name: String,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Failure domain of the engine.
    pub failure_domain: String,
    /// Name of the model that the engine serves.
    pub model: String,
    /// Whether the engine rejects orders with an outdated fencing number.
    pub checks_fencing: bool,
    /// Whether the engine is leaving and gets no new requests.
    pub departing: bool,
}

/// A plain service, with the fields that requests need.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRecord {
    /// Name of the record.
    pub name: String,
    /// Address of the service.
    pub address: SocketAddr,
    /// Failure domain of the service.
    pub failure_domain: String,
    /// Name under which callers reach the service.
    pub service: String,
    /// Whether calls may be repeated.
    pub repeatable: bool,
    /// Whether the service is leaving and gets no new requests.
    pub departing: bool,
}

/// The records in force, indexed for requests. A view is built after each
/// change and not modified afterwards.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Revision up to which the view is complete.
    pub revision: u64,
    /// Teams by name.
    pub teams: BTreeMap<String, Team>,
    /// Rates by name of the team.
    pub rates: BTreeMap<String, Rate>,
    /// Models by name.
    pub models: BTreeMap<String, Model>,
    /// Engines by name.
    pub engines: BTreeMap<String, EngineRecord>,
    /// Services by name of the record.
    pub services: BTreeMap<String, ServiceRecord>,
    /// Names of the engines that get no new requests while their weights
    /// change.
    pub draining: BTreeSet<String>,
    keys: BTreeMap<String, String>,
}

impl View {
    /// Builds the view of the records that a store has in force.
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

    /// Returns the names of the engines that get no new requests: departing and
    /// draining ones.
    pub fn closed_engines(&self) -> impl Iterator<Item = String> {
        let departing = self.engines.values().filter(|e| e.departing);
        let departing = departing.map(|e| e.name.clone());
        departing.chain(self.draining.iter().cloned())
    }

    /// Returns the team that a key authenticates; `None` if the key or the team
    /// does not exist.
    pub fn team_of_key(&self, key: &str) -> Option<&str> {
        self.team_of_digest(&digest_of(key))
    }

    /// Returns the team that the key with this digest authenticates; `None` if
    /// the key or the team does not exist.
    pub fn team_of_digest(&self, digest: &str) -> Option<&str> {
        // The lookup need not run in constant time: a caller cannot choose the
        // digits of a hash, so the timing reveals nothing useful.
        let team = self.keys.get(digest)?;
        self.teams.contains_key(team).then_some(team.as_str())
    }
}
