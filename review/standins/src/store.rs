//! The platform's store: objects, conditional writes and watches.

use crate::{
    http::{read_body, read_head, response, serve, wire},
    json::{Json, object},
};
use std::{
    collections::BTreeMap,
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    time::{Duration, Instant},
};

/// Interval at which a watch looks for what becomes visible by time alone.
const LAG_CHECK_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Debug, Clone)]
struct Stored {
    revision: u64,
    created: u64,
    spec: Json,
    status: Json,
}

struct Change {
    revision: u64,
    at: Instant,
    kind: String,
    is_tombstone: bool,
    object: Json,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Stored>,
    changes: Vec<Change>,
    lag: Duration,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A stand-in for the platform's store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

impl Store {
    /// Starts an empty store.
    pub fn start(ip: &str) -> io::Result<Store> {
        let shared = Arc::new(Shared::default());
        shared.lock().revision = 10;
        let served = shared.clone();
        let address = serve(ip, move |stream| serve_calls(&served, stream))?;
        Ok(Store { shared, address })
    }

    /// Sets the age of what calls with `Serializable` return.
    pub fn set_lag(&self, lag: Duration) {
        self.shared.lock().lag = lag;
    }

    /// Returns a text in the content of an object.
    pub fn text(&self, kind: &str, name: &str, field: &str) -> Option<String> {
        let state = self.shared.lock();
        let stored = state.objects.get(&(kind.to_owned(), name.to_owned()))?;
        stored.spec.get(field)?.text().map(str::to_owned)
    }

    /// Writes an object unconditionally, as the operator and the engines do. It is accepted
    /// when this returns.
    pub fn write(&self, kind: &str, name: &str, spec: Json) {
        self.shared.lock().put(kind, name, Some(spec), None);
        self.shared.changed.notify_all();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: Option<Json>, status: Option<Json>) {
        let key = (kind.to_owned(), name.to_owned());
        let before = self.objects.get(&key);
        let was_there = before.is_some();
        let mut stored = before.cloned().unwrap_or(Stored {
            revision: 0,
            created: self.revision + 1,
            spec: Json::Null,
            status: Json::Null,
        });
        let (old_spec, old_status) = (stored.spec.clone(), stored.status.clone());
        stored.spec = spec.unwrap_or(old_spec.clone());
        stored.status = status.unwrap_or(old_status.clone());
        if was_there && stored.spec == old_spec && stored.status == old_status {
            return;
        }
        self.revision += 1;
        stored.revision = self.revision;
        self.add_change(kind, encode(name, &stored), false);
        self.objects.insert(key, stored);
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let removed = self.objects.remove(&(kind.to_owned(), name.to_owned()));
        if let Some(removed) = removed {
            self.revision += 1;
            let revision = self.revision;
            let removed = Stored {
                revision,
                ..removed
            };
            self.add_change(kind, encode(name, &removed), true);
        }
    }

    fn add_change(&mut self, kind: &str, object: Json, is_tombstone: bool) {
        self.changes.push(Change {
            revision: self.revision,
            at: Instant::now(),
            kind: kind.to_owned(),
            is_tombstone,
            object,
        });
    }

    /// Returns the revision up to which a call sees changes.
    fn visible_revision(&self, may_lag: bool) -> u64 {
        if !may_lag || self.lag.is_zero() {
            return self.revision;
        }
        let mut newest_first = self.changes.iter().rev();
        let visible = newest_first.find(|change| change.at.elapsed() >= self.lag);
        visible.map_or(10, |change| change.revision)
    }

    fn events(&self, kind: &str, since: u64, visible: u64) -> Vec<Json> {
        let seen = self.changes.iter().filter(|change| {
            change.kind == kind && change.revision > since && change.revision <= visible
        });
        let events = seen.map(|change| {
            object([
                ("Tombstone", change.is_tombstone.into()),
                ("Object", change.object.clone()),
            ])
        });
        events.collect()
    }
}

fn encode(name: &str, stored: &Stored) -> Json {
    let metadata = object([
        ("Name", name.into()),
        ("Revision", stored.revision.into()),
        ("Created", stored.created.into()),
        ("Finalizers", Vec::new().into()),
        ("Deleting", false.into()),
    ]);
    object([
        ("Metadata", metadata),
        ("Spec", stored.spec.clone()),
        ("Status", stored.status.clone()),
    ])
}

fn serve_calls(shared: &Shared, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(head) = read_head(&mut reader)? {
        let body = read_body(&mut reader, &head)?;
        let mut words = head.first_line.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let body = String::from_utf8_lossy(&body);
        let (status, answer) = answer(shared, method, target, &body);
        let fields = [("Content-Type", "application/json")];
        let status = format!("{status} Answer");
        writer.write_all(&response(&status, &fields, answer.to_string().as_bytes()))?;
    }
    Ok(())
}

fn answer(shared: &Shared, method: &str, target: &str, body: &str) -> (u16, Json) {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let parameter = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    };
    let path = path.strip_prefix(wire("objects_path")).unwrap_or("");
    let parts: Vec<&str> = path.split('/').collect();
    if method != "GET" {
        return write(shared, method, &parts, body);
    }
    let number = |name: &str| parameter(name).and_then(|text| text.parse::<u64>().ok());
    if let Some(since) = number("Watch") {
        let wait = Duration::from_millis(number("WaitMs").unwrap_or(0));
        let may_lag = parameter("Serializable") == Some("1");
        return (200, watch(shared, parts[0], since, wait, may_lag));
    }
    let state = shared.lock();
    if let [kind, name] = parts[..] {
        let stored = state.objects.get(&(kind.to_owned(), name.to_owned()));
        return stored.map_or((404, object([])), |stored| (200, encode(name, stored)));
    }
    let after = parameter("after").unwrap_or("");
    let objects = state.objects.iter();
    let listed = objects.filter(|((kind, name), _)| kind == parts[0] && name.as_str() > after);
    let items: Vec<Json> = listed
        .map(|((_, name), stored)| encode(name, stored))
        .collect();
    let list = object([
        ("items", items.into()),
        ("More", false.into()),
        ("CurrentRev", state.revision.into()),
    ]);
    (200, list)
}

fn watch(shared: &Shared, kind: &str, since: u64, wait: Duration, may_lag: bool) -> Json {
    let until = Instant::now() + wait;
    let mut state = shared.lock();
    loop {
        let visible = state.visible_revision(may_lag);
        let events = state.events(kind, since, visible);
        let left = until.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            return object([("Events", events.into()), ("CurrentRev", visible.into())]);
        }
        let pause = match may_lag && !state.lag.is_zero() {
            true => left.min(LAG_CHECK_INTERVAL),
            false => left,
        };
        let woken = shared.changed.wait_timeout(state, pause);
        state = woken.expect("no thread panics with the lock").0;
    }
}

fn write(shared: &Shared, method: &str, parts: &[&str], body: &str) -> (u16, Json) {
    let value = Json::parse(body).unwrap_or(Json::Null);
    let metadata = value.get("Metadata");
    let named = metadata.and_then(|metadata| metadata.get("Name")?.text());
    let name = parts.get(1).copied().or(named).unwrap_or("").to_owned();
    let kind = parts[0];
    let key = (kind.to_owned(), name.clone());
    let mut state = shared.lock();
    let stored = state.objects.get(&key).cloned();
    match (&stored, method) {
        (Some(stored), "POST") => return (409, encode(&name, stored)),
        (None, "POST") => {}
        (None, _) => return (404, object([])),
        (Some(stored), _) => {
            let expected = metadata.and_then(|metadata| metadata.get("Revision")?.number());
            if expected.is_some_and(|expected| expected != stored.revision) {
                return (409, encode(&name, stored));
            }
        }
    }
    match (method, parts.get(2)) {
        ("DELETE", _) => state.remove(kind, &name),
        (_, Some(_)) => state.put(kind, &name, None, value.get("Status").cloned()),
        _ => state.put(kind, &name, value.get("Spec").cloned(), None),
    }
    shared.changed.notify_all();
    let now = state.objects.get(&key).or(stored.as_ref());
    (200, now.map_or(object([]), |stored| encode(&name, stored)))
}
