//! Requests to an engine that has asked for rest, or has no room any more, after it was chosen.

use {
    bytes::Bytes,
    http::Request,
    http_body_util::Full,
    mangowalk_core::{
        engine_room::RoomNeed,
        pool::{EngineEntry, Incarnation, Load},
        routing::{Configuration, EngineLimits, Service},
    },
    mangowalk_gateway::{
        instance::{Drain, GatewaySettings, Instance},
        now_ms,
        upstreams::{Answer, ConnectionPool, Destination, SendError, connect_to_engine, send},
    },
    mangowalk_platform::decode_settings,
    std::{io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{net::TcpListener, runtime, task::yield_now, time::timeout},
};

const SETTINGS: &str = "NodeName=m\nIp=127.0.0.1\nZone=a\nRegion=r\n\
    Listen.Front=127.0.0.1:1\nListen.Ready=127.0.0.1:2\nListen.Directory=127.0.0.1:3\n\
    InternalPorts=7600,7615\nLimits.MaxFds=1000\nProvider.Address=127.0.0.1:4\n\
    Contracts=pressure\nBootstrap=true\n";

fn instance() -> Rc<Instance> {
    let machine = decode_settings(SETTINGS).expect("the settings are complete");
    let (_, drain) = Drain::channel();
    Instance::new(machine, GatewaySettings::default(), 1, drain)
}

fn entry(address: SocketAddr) -> EngineEntry {
    EngineEntry {
        incarnation: Incarnation {
            id: "e".to_owned(),
            born_ms: 1,
        },
        revision: 1,
        service: "desk".to_owned(),
        software: "v1".to_owned(),
        address,
        domain: "a".to_owned(),
        slots: 24,
        draining: false,
        models: Vec::new(),
        cold_left_ms: 0,
    }
}

fn ask_for_rest(instance: &Instance, entry: &EngineEntry) {
    let mut engines = instance.engines.borrow_mut();
    let settings = &instance.settings.notices;
    engines.record_rest(&entry.incarnation, 3_000, settings, now_ms());
}

/// Lists an engine with a memory of 12,000 tokens, of which other instances use some.
fn list_used(instance: &Instance, entry: &EngineEntry, memory_tokens: u32) {
    let configuration = Configuration {
        version: 1,
        services: vec![Service {
            name: entry.service.clone(),
            max_connections: 100,
            engine: Some(EngineLimits {
                slots: 24,
                memory_tokens: 12_000,
            }),
            cache_store: None,
        }],
        ..Configuration::default()
    };
    instance.apply_configuration(configuration, "test", now_ms());
    let mut engines = instance.engines.borrow_mut();
    engines.apply_entry(entry.clone());
    let load = Load {
        requests: 1,
        memory_tokens,
        ..Load::default()
    };
    engines.set_peer_load("peer", &[(entry.incarnation.id.clone(), load)]);
}

async fn send_to(
    instance: &Instance,
    pool: &Rc<ConnectionPool>,
    entry: &EngineEntry,
) -> Result<Answer, SendError> {
    send_with_need(instance, pool, entry, None).await
}

async fn send_with_need(
    instance: &Instance,
    pool: &Rc<ConnectionPool>,
    entry: &EngineEntry,
    room_need: Option<RoomNeed>,
) -> Result<Answer, SendError> {
    let destination = Destination::Engine {
        entry,
        request_arrived_ms: now_ms(),
        room_need,
    };
    let request = || Request::new(Full::new(Bytes::new()));
    send(instance, pool, destination, request).await
}

fn is_barred(sent: &Result<Answer, SendError>) -> bool {
    matches!(sent, Err(SendError::Barred(_)))
}

/// Runs a test with a listener that accepts connections and never answers.
fn with_engine(test: impl AsyncFnOnce(TcpListener, EngineEntry)) {
    let event_loop = runtime::Builder::new_current_thread().enable_all().build();
    event_loop.expect("the runtime starts").block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        // A request that is sent would wait for an answer for ever.
        let tested = timeout(Duration::from_secs(2), test(listener, entry(address))).await;
        tested.expect("nothing is waited for");
    });
}

/// Guards against a request that is sent once its connection is open, although the engine has
/// asked for rest in the meantime.
#[test]
fn a_rest_asked_for_while_a_connection_is_opened_holds_its_request_back() {
    with_engine(async |listener, entry| {
        let (instance, pool) = (instance(), Rc::new(ConnectionPool::default()));
        let (sent, ()) = tokio::join!(send_to(&instance, &pool, &entry), async {
            ask_for_rest(&instance, &entry);
        });
        assert!(is_barred(&sent));
        let (stream, _) = listener.accept().await.expect("it was opened");
        let read = stream.try_read(&mut [0; 1]);
        let error = read.expect_err("nothing was sent");
        assert_eq!(error.kind(), ErrorKind::WouldBlock);
    });
}

/// Guards against a request on an idle connection to an engine that has asked for rest since the
/// engine was chosen.
#[test]
fn a_rest_holds_requests_back_from_idle_connections() {
    with_engine(async |_listener, entry| {
        let (instance, pool) = (instance(), Rc::new(ConnectionPool::default()));
        let connected = connect_to_engine(&instance, &entry).await;
        let (sender, task) = connected.expect("the engine accepts it");
        let connection = pool.wrap(&entry.incarnation, sender, task);
        connection.return_to_pool(now_ms());
        // The task of the connection has to run before the connection is ready.
        yield_now().await;
        ask_for_rest(&instance, &entry);
        assert!(is_barred(&send_to(&instance, &pool, &entry).await));
        assert!(pool.take(&entry.incarnation, now_ms()).is_some());
    });
}

/// Guards against a request that is sent once its connection is open, although others have told
/// in the meantime that they use the engine's memory; and against one that has room and isn't.
#[test]
fn a_request_is_held_back_from_an_engine_that_has_become_full() {
    with_engine(async |listener, entry| {
        let (instance, pool) = (instance(), Rc::new(ConnectionPool::default()));
        let need = Some(RoomNeed {
            memory_tokens: 992,
            is_resumed: false,
        });
        list_used(&instance, &entry, 10_000);
        let sending = send_with_need(&instance, &pool, &entry, need);
        let waited = timeout(Duration::from_millis(100), sending).await;
        assert!(waited.is_err(), "it is sent and waits for an answer");
        drop(listener.accept().await.expect("it was opened"));
        let (sent, ()) = tokio::join!(send_with_need(&instance, &pool, &entry, need), async {
            list_used(&instance, &entry, 11_000)
        });
        assert!(is_barred(&sent));
    });
}
