//! An engine of a plain service.

use crate::http::{Message, read_request, response};
use crate::names::wire;
use crate::record::Record;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Requests that run at the same time.
const SLOTS: usize = 6;

/// Decides whether an engine sends a second answer to a request, which arrives late.
pub type Fault = dyn Fn(&str) -> bool + Send + Sync;

/// A run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    /// ID of the request.
    pub request: String,
    /// ID of the engine.
    pub engine: String,
}

/// A stand-in for an engine that works on each request for 15 ms.
#[derive(Clone)]
pub struct Engine {
    id: String,
    address: SocketAddr,
    runs: Arc<Mutex<Vec<Run>>>,
    running: Arc<AtomicUsize>,
    record: Arc<Record>,
    answers_twice: Arc<Fault>,
}

impl Engine {
    /// Starts an engine on a free port. Its runs are added to `runs`.
    pub fn start(
        id: &str,
        host: &str,
        runs: Arc<Mutex<Vec<Run>>>,
        record: Arc<Record>,
        answers_twice: Arc<Fault>,
    ) -> Engine {
        let listener = TcpListener::bind((host, 0)).expect("a port is free");
        let engine = Engine {
            id: id.to_owned(),
            address: listener.local_addr().expect("the listener has an address"),
            runs,
            running: Arc::default(),
            record,
            answers_twice,
        };
        let serving = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = serving.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
        engine
    }

    /// Returns its entry in the store.
    pub fn entry(&self, service: &str, zone: &str, state: &str, born_ms: u64) -> String {
        format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\
             \"Slots\":{SLOTS},\"State\":\"{state}\",\"ColdLeftMs\":0,\"Seq\":1,\"born\":{born_ms}}}",
            self.address
        )
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        // The second answer to the last request, which is yet to be sent.
        let mut late: Option<Vec<u8>> = None;
        while let Ok(Some(request)) = read_request(&mut reader) {
            if let Some(late) = late.take() {
                let id = request.header(wire("request_id")).unwrap_or("-");
                self.record.add(&format!(
                    "{} writes the late second answer where that to {id} is expected",
                    self.id
                ));
                if reader.get_mut().write_all(&late).is_err() {
                    self.record.add(&format!("{} can't write it", self.id));
                }
            }
            let (answer, second) = self.answer(&request);
            late = second;
            if reader.get_mut().write_all(&answer).is_err() {
                return;
            }
        }
    }

    /// Returns the answer to a request, and a second one to be sent later.
    fn answer(&self, request: &Message) -> (Vec<u8>, Option<Vec<u8>>) {
        let expected = request.header(wire("expect_instance"));
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [(wire("instance_id"), self.id.as_str())];
            return (response("421 Misdirected Request", &headers, ""), None);
        }
        let Some(id) = request.header(wire("request_id")) else {
            return (response("404 Not Found", &[], ""), None);
        };
        let load = format!("{},0,{SLOTS}", self.running.load(Ordering::Relaxed));
        let rejection = [
            (wire("request_id"), id),
            (wire("not_run"), "1"),
            (wire("load"), load.as_str()),
        ];
        if self.running.fetch_add(1, Ordering::Relaxed) >= SLOTS {
            self.running.fetch_sub(1, Ordering::Relaxed);
            self.record
                .add(&format!("{} rejects {id} as not run", self.id));
            return (response("503 Service Unavailable", &rejection, ""), None);
        }
        self.runs.lock().expect("not poisoned").push(Run {
            request: id.to_owned(),
            engine: self.id.clone(),
        });
        self.record.add(&format!("{} runs {id}", self.id));
        thread::sleep(Duration::from_millis(15));
        self.running.fetch_sub(1, Ordering::Relaxed);
        let stamp = format!("stamp.{}", self.id);
        let headers = [
            (wire("request_id"), id),
            (wire("stamp"), stamp.as_str()),
            (wire("load"), load.as_str()),
            ("Keep-Alive", "timeout=10"),
        ];
        let answer = response("200 OK", &headers, &format!("done {id}"));
        let second = (self.answers_twice)(&self.id).then(|| {
            self.record.add(&format!(
                "{} has a second answer to {id}, with its ID: 503, not run (its queue's time-out)",
                self.id
            ));
            response("503 Service Unavailable", &rejection, "")
        });
        (answer, second)
    }
}
