//! Callers, which send one request after the other on kept connections.

use crate::http::{Message, exchange};
use crate::names::wire;
use crate::record::Record;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Host of all routes.
pub const HOST: &str = "jepu9.example";

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(90);

/// Pause of a caller whose connection ended or wasn't accepted.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);

/// One request of a caller and its answer.
pub struct Exchange {
    /// ID of the request.
    pub id: String,
    /// Key that was sent with it.
    pub key: &'static str,
    /// Name of the machine to which it was sent.
    pub machine: String,
    /// When it was sent.
    pub sent: Instant,
    /// The answer; `None` if the connection ended without one.
    pub answer: Option<Message>,
}

impl Exchange {
    /// Returns the status of the answer; 0 without one.
    pub fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, Message::status)
    }
}

/// A caller of one machine.
pub struct Caller {
    /// Name of the machine.
    pub machine: String,
    /// Address to which it connects.
    pub address: SocketAddr,
    /// Key that it sends.
    pub key: &'static str,
    /// Path of its requests.
    pub path: &'static str,
    /// Its deadline in milliseconds.
    pub deadline_ms: u64,
}

impl Caller {
    /// Sends requests until `until`, with IDs that count on from `next_id`.
    pub fn call(&self, next_id: &AtomicU64, until: Instant, record: &Record) -> Vec<Exchange> {
        let mut exchanges = Vec::new();
        let mut kept = None;
        while Instant::now() < until {
            let id = format!("9c41d07b{:08x}", next_id.fetch_add(1, Ordering::Relaxed));
            let reader = kept.take().map_or_else(|| self.connect(), Ok);
            let Ok(mut reader) = reader else {
                record.add(&format!("{} accepts no connection", self.machine));
                thread::sleep(RECONNECT_PAUSE);
                continue;
            };
            let sent = Instant::now();
            record.add(&format!(
                "{id} is sent to {} with key {}",
                self.machine, self.key
            ));
            let answer = exchange(&mut reader, self.request(&id).as_bytes());
            match &answer {
                Ok(answer) => record.add(&format!("{id} is answered {}", answer.status())),
                Err(error) => record.add(&format!("{id} gets no answer ({error})")),
            }
            let answer = answer.ok();
            let is_kept = answer.as_ref().is_some_and(|answer| {
                answer.is_complete && answer.header("connection") != Some("close")
            });
            kept = is_kept.then_some(reader);
            exchanges.push(Exchange {
                id,
                key: self.key,
                machine: self.machine.clone(),
                sent,
                answer,
            });
            thread::sleep(PAUSE);
        }
        exchanges
    }

    /// Starts a thread that sends requests until `until`.
    pub fn spawn(
        self,
        next_id: &Arc<AtomicU64>,
        until: Instant,
        record: &Arc<Record>,
    ) -> thread::JoinHandle<Vec<Exchange>> {
        let (next_id, record) = (next_id.clone(), record.clone());
        thread::spawn(move || self.call(&next_id, until, &record))
    }

    fn connect(&self) -> io::Result<BufReader<TcpStream>> {
        let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(self.deadline_ms + 1_000)))?;
        Ok(BufReader::new(stream))
    }

    fn request(&self, id: &str) -> String {
        format!(
            "POST {} HTTP/1.1\r\nHost: {HOST}\r\n{}: {id}\r\n{}: {}\r\n{}: {}\r\n\
             Content-Length: 5\r\n\r\norder",
            self.path,
            wire("request_id"),
            wire("deadline_ms"),
            self.deadline_ms,
            wire("key"),
            self.key,
        )
    }
}
