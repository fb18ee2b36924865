//! The platform's store: objects by kind and name, with watches.

use crate::http::{Message, read_request, response};
use crate::json::{field, number_field, text_field};
use crate::names::wire;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
    status: String,
}

struct Change {
    revision: u64,
    at: Instant,
    kind: String,
    name: String,
    /// `None` for a removed object.
    object: Option<Object>,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    changes: Vec<Change>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// Longest time for which a watch isn't checked for changes that become known.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A stand-in for the platform's store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    /// How old the data are that a read which may be stale returns.
    stale_age: Duration,
    /// Address at which it listens.
    pub address: SocketAddr,
}

fn encode(name: &str, object: &Object) -> String {
    format!(
        "{{\"Metadata\":{{\"Name\":\"{name}\",\"Revision\":{},\"Created\":{},\"Finalizers\":[],\
         \"Deleting\":false}},\"Spec\":{},\"Status\":{}}}",
        object.revision, object.created, object.spec, object.status
    )
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: Option<&str>, status: Option<&str>) {
        let key = (kind.to_owned(), name.to_owned());
        let before = self.objects.get(&key).cloned();
        let spec = spec.map(str::to_owned);
        let spec = spec.or_else(|| before.as_ref().map(|object| object.spec.clone()));
        let status = status.map(str::to_owned);
        let status = status.or_else(|| before.as_ref().map(|object| object.status.clone()));
        let (spec, status) = (
            spec.unwrap_or_else(|| "null".to_owned()),
            status.unwrap_or_else(|| "null".to_owned()),
        );
        if before
            .as_ref()
            .is_some_and(|object| object.spec == spec && object.status == status)
        {
            return;
        }
        self.revision += 1;
        let object = Object {
            revision: self.revision,
            created: before.map_or(self.revision, |object| object.created),
            spec,
            status,
        };
        self.objects.insert(key, object.clone());
        self.changes.push(Change {
            revision: self.revision,
            at: Instant::now(),
            kind: kind.to_owned(),
            name: name.to_owned(),
            object: Some(object),
        });
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if self
            .objects
            .remove(&(kind.to_owned(), name.to_owned()))
            .is_some()
        {
            self.revision += 1;
            self.changes.push(Change {
                revision: self.revision,
                at: Instant::now(),
                kind: kind.to_owned(),
                name: name.to_owned(),
                object: None,
            });
        }
    }

    /// Returns the revision that a read of data which are `age` old knows.
    fn known(&self, age: Duration) -> u64 {
        let changes = self.changes.iter();
        let later = changes.filter(|change| change.at.elapsed() < age);
        let first_later = later.map(|change| change.revision).min();
        first_later.map_or(self.revision, |revision| revision - 1)
    }

    /// Returns the objects of a kind as they were at a revision.
    fn objects_at(&self, kind: &str, revision: u64) -> BTreeMap<&str, &Object> {
        let mut objects = BTreeMap::new();
        let changes = self.changes.iter();
        for change in changes.filter(|change| change.kind == kind && change.revision <= revision) {
            match &change.object {
                Some(object) => objects.insert(change.name.as_str(), object),
                None => objects.remove(change.name.as_str()),
            };
        }
        objects
    }

    fn events(&self, kind: &str, since: u64, known: u64) -> Vec<String> {
        let changes = self.changes.iter();
        changes
            .filter(|change| change.kind == kind)
            .filter(|change| change.revision > since && change.revision <= known)
            .map(|change| {
                let gone = Object {
                    revision: change.revision,
                    created: 0,
                    spec: "null".to_owned(),
                    status: "null".to_owned(),
                };
                let object = change.object.as_ref().unwrap_or(&gone);
                format!(
                    "{{\"Tombstone\":{},\"Object\":{}}}",
                    change.object.is_none(),
                    encode(&change.name, object)
                )
            })
            .collect()
    }
}

impl Store {
    /// Starts an empty store on a free port of an address. Reads that may be stale return data
    /// that are `stale_age` old.
    pub fn start(host: &str, stale_age: Duration) -> Store {
        let listener = TcpListener::bind((host, 0)).expect("a port is free");
        let store = Store {
            shared: Arc::default(),
            stale_age,
            address: listener.local_addr().expect("the listener has an address"),
        };
        store.shared.state.lock().expect("not poisoned").revision = 10;
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object, as the operator or an engine does.
    pub fn write(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.shared.state.lock().expect("not poisoned");
        state.put(kind, name, Some(spec), None);
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.shared
            .state
            .lock()
            .expect("not poisoned")
            .remove(kind, name);
        self.shared.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let answer = self.answer(&request);
            if reader.get_mut().write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let Some(path) = path.strip_prefix(wire("objects")) else {
            return json(404, "{}");
        };
        if request.method() == "GET" {
            return self.read(path, query);
        }
        self.change(request.method(), path, &request.text())
    }

    fn read(&self, path: &str, query: &str) -> Vec<u8> {
        let mut state = self.shared.state.lock().expect("not poisoned");
        if let Some((kind, name)) = path.split_once('/') {
            let object = state.objects.get(&(kind.to_owned(), name.to_owned()));
            return object.map_or(json(404, "{}"), |object| json(200, &encode(name, object)));
        }
        let number = |name: &str| -> Option<u64> {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name)?.1.parse().ok()
        };
        let age = match number("Serializable") {
            Some(1) => self.stale_age,
            _ => Duration::ZERO,
        };
        let Some(since) = number("Watch") else {
            let known = state.known(age);
            let objects = state.objects_at(path, known);
            let items: Vec<String> = objects
                .into_iter()
                .map(|(name, object)| encode(name, object))
                .collect();
            let body = format!(
                "{{\"items\":[{}],\"More\":false,\"CurrentRev\":{known}}}",
                items.join(",")
            );
            return json(200, &body);
        };
        let until = Instant::now() + Duration::from_millis(number("WaitMs").unwrap_or(0));
        while state.events(path, since, state.known(age)).is_empty() && Instant::now() < until {
            let left = until
                .saturating_duration_since(Instant::now())
                .min(CHECK_INTERVAL);
            let waited = self.shared.changed.wait_timeout(state, left);
            state = waited.expect("not poisoned").0;
        }
        let known = state.known(age);
        let events = state.events(path, since, known).join(",");
        json(
            200,
            &format!(
                "{{\"Events\":[{events}],\"CurrentRev\":{}}}",
                known.max(since)
            ),
        )
    }

    fn change(&self, method: &str, path: &str, body: &str) -> Vec<u8> {
        let mut state = self.shared.state.lock().expect("not poisoned");
        let metadata = field(body, "Metadata").unwrap_or("{}");
        let is_status = path.ends_with("/status");
        let path = path.strip_suffix("/status").unwrap_or(path);
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind.to_owned(), name.to_owned()),
            None => match text_field(metadata, "Name") {
                Some(name) => (path.to_owned(), name),
                None => return json(400, "{}"),
            },
        };
        let before = state.objects.get(&(kind.clone(), name.clone())).cloned();
        let expected = number_field(metadata, "Revision");
        let is_conflict = match method {
            "POST" => before.is_some(),
            _ => expected.is_some() && expected != before.as_ref().map(|object| object.revision),
        };
        if is_conflict {
            let found = before.map_or("{}".to_owned(), |object| encode(&name, &object));
            return json(409, &found);
        }
        match (method, is_status) {
            ("DELETE", _) => state.remove(&kind, &name),
            (_, true) => state.put(&kind, &name, None, field(body, "Status")),
            (_, false) => state.put(&kind, &name, field(body, "Spec"), None),
        }
        let object = state.objects.get(&(kind, name.clone())).cloned();
        drop(state);
        self.shared.changed.notify_all();
        json(
            200,
            &object.map_or("{}".to_owned(), |object| encode(&name, &object)),
        )
    }
}

fn json(status: u16, body: &str) -> Vec<u8> {
    let status = match status {
        200 => "200 OK",
        400 => "400 Bad Request",
        404 => "404 Not Found",
        _ => "409 Conflict",
    };
    response(status, &[("Content-Type", "application/json")], body)
}
