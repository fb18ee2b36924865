use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Longest time that a raw caller waits for bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// A caller that writes and reads bytes as it likes.
pub struct RawCaller {
    stream: TcpStream,
    received: Vec<u8>,
}

impl RawCaller {
    /// Connects.
    pub fn connect(address: SocketAddr) -> RawCaller {
        let stream = TcpStream::connect(address).expect("a router that listens");
        stream
            .set_read_timeout(Some(READ_TIMEOUT))
            .expect("a timeout");
        RawCaller {
            stream,
            received: Vec::new(),
        }
    }

    /// Sends bytes. A router that closed the connection is no fault here.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Reads until the text was received, and tells whether it was.
    pub fn read_until(&mut self, text: &str) -> bool {
        let mut part = [0; 4_096];
        while !self.text().contains(text) {
            match self.stream.read(&mut part) {
                Ok(read) if read > 0 => self.received.extend_from_slice(&part[..read]),
                _ => return false,
            }
        }
        true
    }

    /// Reads until the router closes the connection, or nothing more comes.
    pub fn read_to_end(&mut self) -> String {
        let _ = self.stream.read_to_end(&mut self.received);
        self.text()
    }

    /// Returns what was received so far.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.received).into_owned()
    }
}
