use {
    bytes::Bytes,
    derive_more::{Display, Error},
    http_body_util::{BodyExt, Full, Limited},
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    mangowalk_platform::Call,
    std::{cell::RefCell, io, net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, time::timeout},
};

/// Longest answer that is read. A list's page is at most about a megabyte.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Connections kept for further calls.
const MAX_IDLE_CONNECTIONS: usize = 2;

/// Why a call has no answer.
#[derive(Debug, Display, Error)]
pub enum CallError {
    /// No connection could be made.
    #[display("{address} takes no connection ({reason}); the call was not made.")]
    NotConnected {
        /// Where it went.
        address: SocketAddr,
        /// What the system said.
        reason: String,
    },
    /// The connection ended, or no answer came in time.
    #[display("{address} gave no answer ({reason}); the call may have been carried out.")]
    NoAnswer {
        /// Where it went.
        address: SocketAddr,
        /// What was seen.
        reason: String,
    },
    /// The call can't be written.
    #[display("The call can't be written; check the names in it.")]
    Unwritable,
}

/// Calls to one address, over kept connections.
#[derive(Debug)]
pub struct CallClient {
    address: SocketAddr,
    connect_timeout_ms: u64,
    idle: RefCell<Vec<SendRequest<Full<Bytes>>>>,
}

impl CallClient {
    /// Returns a client without connections.
    pub fn new(address: SocketAddr, connect_timeout_ms: u64) -> CallClient {
        CallClient {
            address,
            connect_timeout_ms,
            idle: RefCell::default(),
        }
    }

    /// Makes a call, and returns status and body.
    ///
    /// # Errors
    ///
    /// Fails where no whole answer came within the time.
    pub async fn call(&self, call: &Call, timeout_ms: u64) -> Result<(u16, Bytes), CallError> {
        let answer = timeout(Duration::from_millis(timeout_ms), self.exchange(call)).await;
        answer.unwrap_or_else(|_| Err(self.no_answer(&"time ran out")))
    }

    async fn exchange(&self, call: &Call) -> Result<(u16, Bytes), CallError> {
        let mut sender = self.connection().await?;
        let request = call
            .to_request(self.address, |body| Full::new(Bytes::from(body)))
            .map_err(|_| CallError::Unwritable)?;
        let response = sender.send_request(request).await;
        let response = response.map_err(|error| self.no_answer(&error))?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await
            .map_err(|error| self.no_answer(&error))?
            .to_bytes();
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(sender);
        }
        Ok((status, body))
    }

    async fn connection(&self) -> Result<SendRequest<Full<Bytes>>, CallError> {
        loop {
            let idle = self.idle.borrow_mut().pop();
            match idle {
                Some(sender) if sender.is_ready() => return Ok(sender),
                Some(_) => {}
                None => return self.connect().await,
            }
        }
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, CallError> {
        let limit = Duration::from_millis(self.connect_timeout_ms);
        let stream = timeout(limit, TcpStream::connect(self.address)).await;
        let stream = stream
            .unwrap_or_else(|_| Err(io::Error::from(io::ErrorKind::TimedOut)))
            .map_err(|error| self.not_connected(&error))?;
        stream
            .set_nodelay(true)
            .map_err(|error| self.not_connected(&error))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| self.not_connected(&error))?;
        tokio::spawn(async move {
            // Whoever waits for an answer is told of the end by the sender.
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn not_connected(&self, reason: &dyn std::fmt::Display) -> CallError {
        CallError::NotConnected {
            address: self.address,
            reason: reason.to_string(),
        }
    }

    fn no_answer(&self, reason: &dyn std::fmt::Display) -> CallError {
        CallError::NoAnswer {
            address: self.address,
            reason: reason.to_string(),
        }
    }
}
