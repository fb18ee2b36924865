use {
    super::{
        Traffic,
        event_lines::EventLines,
        http::{asked_rest_ms, exchange},
    },
    flume::{Receiver, RecvTimeoutError, Sender},
    mangowalk_core::{
        edge::{EngineEvents, Engines, SendError},
        engine::{
            CacheEvents, CancelRequest, EngineState, GenerateEvent, GenerateRequest, Order,
            OrderReply,
        },
    },
    mangowalk_http_client::{HttpCall, send},
    serde::{Serialize, de::DeserializeOwned},
    std::{io::BufReader, net::SocketAddr, sync::Arc, thread, time::Duration},
};

/// Timeout of a call other than a generation.
const CALL_TIMEOUT_MS: u64 = 2_000;

/// Maximum number of events of an attempt that are buffered for its caller. A
/// slow caller makes the engine wait instead of filling the router's memory.
const MAX_BUFFERED_EVENTS: usize = 64;

/// Stack size of a thread that reads one attempt or cancels one.
const READER_STACK_BYTES: usize = 128 << 10;

/// HTTP client of model engines, which answer with server-sent events.
#[derive(Debug, Default)]
pub struct HttpEngines {
    traffic: Arc<Traffic>,
}

impl HttpEngines {
    /// Returns a client that counts its calls of control in `traffic`.
    pub fn new(traffic: Arc<Traffic>) -> HttpEngines {
        HttpEngines { traffic }
    }

    fn call<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        call: &HttpCall<'_>,
    ) -> Result<T, SendError> {
        let (status, body) = exchange(address, call, CALL_TIMEOUT_MS)?;
        self.traffic.count_engine_call(body.len());
        if status != 200 {
            return Err(SendError::Refused { status, rest_ms: 0 });
        }
        serde_json::from_slice(&body).map_err(|_| SendError::Unreadable)
    }
}

/// Timeout of the HTTP call of an attempt, which bounds the life of its thread.
const ATTEMPT_TIMEOUT_MS: u64 = 300_000;

/// Events of one attempt, which a separate thread reads.
pub struct HttpEvents {
    events: Receiver<Result<GenerateEvent, SendError>>,
}

impl EngineEvents for HttpEvents {
    fn wait(&mut self, wait_ms: u64) -> Result<Option<GenerateEvent>, SendError> {
        match self.events.recv_timeout(Duration::from_millis(wait_ms)) {
            Ok(event) => event.map(Some),
            Err(RecvTimeoutError::Timeout) => Ok(None),
            Err(RecvTimeoutError::Disconnected) => Err(SendError::Lost),
        }
    }
}

impl Engines for HttpEngines {
    type Events = HttpEvents;

    fn generate(&self, address: SocketAddr, request: &GenerateRequest) -> HttpEvents {
        let (sender, events) = flume::bounded(MAX_BUFFERED_EVENTS);
        let body = to_body(request);
        let failed = sender.clone();
        let spawned = thread::Builder::new()
            .name("attempt".to_owned())
            .stack_size(READER_STACK_BYTES)
            .spawn(move || read_events(address, &body, &sender));
        if spawned.is_err() {
            let _ = failed.try_send(Err(SendError::NotConnected));
        }
        HttpEvents { events }
    }

    fn cancel(&self, address: SocketAddr, request: &CancelRequest) {
        let body = to_body(request);
        // Without a thread the attempt is not cancelled; the engine notices
        // the closed connection at its next token instead.
        let _ = thread::Builder::new()
            .name("cancel".to_owned())
            .stack_size(READER_STACK_BYTES)
            .spawn(move || exchange(address, &post("/cancel", &body), CALL_TIMEOUT_MS));
    }

    fn state(&self, address: SocketAddr) -> Result<EngineState, SendError> {
        self.call(address, &get("/state"))
    }

    fn cache_events(
        &self,
        address: SocketAddr,
        from_sequence: u64,
    ) -> Result<CacheEvents, SendError> {
        self.call(address, &get(&format!("/events?from={from_sequence}")))
    }

    fn order(&self, address: SocketAddr, order: &Order) -> Result<OrderReply, SendError> {
        self.call(address, &post("/order", &to_body(order)))
    }
}

fn get(path: &str) -> HttpCall<'_> {
    HttpCall {
        path,
        ..HttpCall::default()
    }
}

fn post<'a>(path: &'a str, body: &'a [u8]) -> HttpCall<'a> {
    HttpCall {
        method: "POST",
        path,
        headers: &[("Content-Type", "application/json")],
        body,
    }
}

fn to_body(message: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(message).unwrap_or_default()
}

/// Reads events until the stream ends or the receiver is dropped.
fn read_events(
    address: SocketAddr,
    body: &[u8],
    sender: &Sender<Result<GenerateEvent, SendError>>,
) {
    let call = post("/generate", body);
    let answer = match send(&address.to_string(), &call, ATTEMPT_TIMEOUT_MS) {
        Ok(answer) => answer,
        Err(error) => {
            let _ = sender.send(Err(error));
            return;
        }
    };
    let status = answer.status;
    if status != 200 {
        let rest_ms = asked_rest_ms(&answer);
        let _ = sender.send(Err(SendError::Refused { status, rest_ms }));
        return;
    }
    let mut lines = EventLines::new(BufReader::new(answer.body));
    loop {
        let event = match lines.next_data() {
            Ok(Some(data)) => serde_json::from_str(data).map_err(|_| SendError::Unreadable),
            Ok(None) => return,
            Err(error) => Err(error),
        };
        let last = event.is_err();
        if sender.send(event).is_err() || last {
            return;
        }
    }
}
