use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Timeout of one read from the connection.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// A TCP client that sends and receives arbitrary bytes, such as malformed or
/// partial requests.
pub struct RawCaller {
    stream: TcpStream,
    received: Vec<u8>,
}

impl RawCaller {
    /// Connects to a router.
    ///
    /// # Panics
    ///
    /// Panics if the router does not listen.
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

    /// Sends bytes, and returns whether that succeeded. It fails if the router
    /// has closed the connection, which a test may expect.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Reads until the text is received, the connection ends or a read times
    /// out. Returns whether the text was received.
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

    /// Waits for the router to send something, and returns whether it did in time.
    ///
    /// # Panics
    ///
    /// Panics if the connection takes no timeout.
    pub fn receives_within(&mut self, wait: Duration) -> bool {
        let set = |timeout| self.stream.set_read_timeout(Some(timeout));
        set(wait).expect("a timeout");
        let mut first = [0; 1];
        let is_received = self.stream.peek(&mut first).is_ok();
        set(READ_TIMEOUT).expect("a timeout");
        is_received
    }

    /// Reads until the router closes the connection or a read times out, and
    /// returns everything received.
    pub fn read_to_end(&mut self) -> String {
        let _ = self.stream.read_to_end(&mut self.received);
        self.text()
    }

    /// Returns everything received so far.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.received).into_owned()
    }
}
