//! A proxy before the store, whose open connections can go silent.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// A proxy that passes all bytes on, until its open connections go silent.
#[derive(Clone)]
pub struct Gate {
    /// Address at which it listens.
    pub address: SocketAddr,
    target: SocketAddr,
    /// Number of times that the open connections went silent.
    silences: Arc<AtomicU64>,
}

impl Gate {
    /// Starts a proxy on a free port.
    pub fn start(host: &str, target: SocketAddr) -> Gate {
        let listener = TcpListener::bind((host, 0)).expect("a port is free");
        let gate = Gate {
            address: listener.local_addr().expect("the listener has an address"),
            target,
            silences: Arc::default(),
        };
        let serving = gate.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Ok(target) = TcpStream::connect(serving.target) else {
                    continue;
                };
                let _ = stream.set_nodelay(true);
                let _ = target.set_nodelay(true);
                serving.pass(&stream, &target);
                serving.pass(&target, &stream);
            }
        });
        gate
    }

    /// Makes all open connections silent for good, without a reset. New ones work.
    pub fn silence_open_connections(&self) {
        self.silences.fetch_add(1, Ordering::Relaxed);
    }

    /// Passes on what comes in one direction. What comes on a silent connection is lost.
    fn pass(&self, from: &TcpStream, to: &TcpStream) {
        let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
            return;
        };
        let silences = self.silences.clone();
        let opened_after = silences.load(Ordering::Relaxed);
        thread::spawn(move || {
            let mut buffer = vec![0; 65_536];
            loop {
                let read = from.read(&mut buffer).unwrap_or(0);
                let is_silent = silences.load(Ordering::Relaxed) > opened_after;
                match (read, is_silent) {
                    (0, false) => {
                        let _ = to.shutdown(std::net::Shutdown::Write);
                        return;
                    }
                    // The end is lost as well.
                    (0, true) => return,
                    (_, true) => {}
                    (read, false) => {
                        if to.write_all(&buffer[..read]).is_err() {
                            return;
                        }
                    }
                }
            }
        });
    }
}
