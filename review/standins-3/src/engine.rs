//! An engine of a plain service.

use crate::http::{Message, read_request, response};
use crate::names::wire;
use crate::record::Record;
use std::collections::BTreeSet;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Requests that run at the same time.
const SLOTS: usize = 6;

/// Time for which the engine works on a request.
const WORK: Duration = Duration::from_millis(15);

/// Start of the engines in Unix milliseconds.
const BORN_MS: u64 = 1_796_625_000_000;

/// IDs of the requests that ran.
pub type Runs = Arc<Mutex<BTreeSet<String>>>;

/// A stand-in for a sound engine.
#[derive(Clone)]
pub struct Engine {
    id: String,
    address: SocketAddr,
    runs: Runs,
    running: Arc<AtomicUsize>,
    record: Arc<Record>,
}

impl Engine {
    /// Starts an engine on a free port. What it runs is added to `runs`.
    pub fn start(id: &str, host: &str, runs: Runs, record: Arc<Record>) -> Engine {
        let listener = TcpListener::bind((host, 0)).expect("a port is free");
        let engine = Engine {
            id: id.to_owned(),
            address: listener.local_addr().expect("the listener has an address"),
            runs,
            running: Arc::default(),
            record,
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
    pub fn entry(&self, zone: &str, cold_left_ms: u64) -> String {
        format!(
            "{{\"Service\":\"desk\",\"Address\":\"{}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\
             \"Slots\":{SLOTS},\"State\":\"ready\",\"ColdLeftMs\":{cold_left_ms},\"Seq\":1,\"born\":{BORN_MS}}}",
            self.address
        )
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if reader.get_mut().write_all(&self.answer(&request)).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let expected = request.header(wire("expect_instance"));
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [(wire("instance_id"), self.id.as_str())];
            return response("421 Misdirected Request", &headers, "");
        }
        let Some(id) = request.header(wire("request_id")) else {
            return response("404 Not Found", &[], "");
        };
        let load = format!("{},0,{SLOTS}", self.running.load(Ordering::Relaxed));
        let common = [(wire("request_id"), id), (wire("load"), load.as_str())];
        if self.running.fetch_add(1, Ordering::Relaxed) >= SLOTS {
            self.running.fetch_sub(1, Ordering::Relaxed);
            self.record
                .add(&format!("{} rejects {id} as not run", self.id));
            let headers = [common[0], common[1], (wire("not_run"), "1")];
            return response("503 Service Unavailable", &headers, "");
        }
        self.runs
            .lock()
            .expect("not poisoned")
            .insert(id.to_owned());
        self.record.add(&format!("{} runs {id}", self.id));
        thread::sleep(WORK);
        self.running.fetch_sub(1, Ordering::Relaxed);
        let stamp = format!("stamp.{}", self.id);
        let headers = [
            common[0],
            common[1],
            (wire("stamp"), stamp.as_str()),
            ("Keep-Alive", "timeout=10"),
        ];
        response("200 OK", &headers, &format!("done {id}"))
    }
}
