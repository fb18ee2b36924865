use {
    crate::{
        bounded::MeteredBody,
        upstreams::{Connection, handshake},
    },
    bytes::{Bytes, BytesMut},
    derive_more::{Display, Error},
    http::Response,
    http_body_util::{BodyExt, Full, Limited},
    mangowalk_platform::Call,
    std::{cell::RefCell, io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpStream, time::timeout},
};

/// Maximum size of a response body of a store. A page of a list is about a megabyte at
/// most.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Maximum size of an engine's response to a report or an order. All engines may answer at
/// once.
const MAX_ENGINE_RESPONSE_BYTES: usize = 256 * 1024;

/// Maximum number of idle connections kept for further calls.
const MAX_IDLE_CONNECTIONS: usize = 2;

/// Time without a byte of a response's body after which it counts as lost. While all
/// instances of a large fleet read at once, the store's link gives each a small part,
/// and a complete page takes seconds.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum time for a whole body.
const MAX_BODY_TIME: Duration = Duration::from_secs(10);

/// Reason why a call got no response.
#[derive(Debug, Display, Error)]
pub enum CallError {
    /// No connection was established, so the call was not sent.
    #[display("No connection to {address} ({reason}); the call was not sent.")]
    NotConnected {
        /// Address that was called.
        address: SocketAddr,
        /// Error of the operating system, or the timeout.
        reason: String,
    },
    /// The connection ended, the response is invalid, or no complete one arrived in time.
    #[display("No complete response from {address} ({reason}); the call may have been executed.")]
    NoAnswer {
        /// Address that was called.
        address: SocketAddr,
        /// Error of the connection, or the timeout.
        reason: String,
    },
    /// The call could not be encoded as an HTTP request.
    #[display("The call cannot be encoded as an HTTP request; check the names in it.")]
    Unwritable,
}

/// A connection that is closed once it is dropped.
struct CallConnection(Connection);

impl Drop for CallConnection {
    fn drop(&mut self) {
        self.0.close();
    }
}

/// HTTP client for one address, with a pool of idle connections.
pub struct CallClient {
    address: SocketAddr,
    connect_timeout_ms: u64,
    max_response_bytes: usize,
    idle: RefCell<Vec<CallConnection>>,
}

impl CallClient {
    /// Returns a client without connections. `connect_timeout_ms` bounds the
    /// time to establish one.
    pub fn new(address: SocketAddr, connect_timeout_ms: u64) -> CallClient {
        CallClient {
            address,
            connect_timeout_ms,
            max_response_bytes: MAX_RESPONSE_BYTES,
            idle: RefCell::default(),
        }
    }

    /// Returns a client for an engine, whose responses are short.
    pub fn to_engine(address: SocketAddr, connect_timeout_ms: u64) -> CallClient {
        CallClient {
            max_response_bytes: MAX_ENGINE_RESPONSE_BYTES,
            ..CallClient::new(address, connect_timeout_ms)
        }
    }

    /// Makes a call and returns the status and the body of the response.
    ///
    /// # Errors
    ///
    /// Fails if no connection could be established, the call could not be
    /// encoded, no valid response began within `timeout_ms` or its body came to a halt.
    pub async fn call(&self, call: &Call, timeout_ms: u64) -> Result<(u16, Bytes), CallError> {
        let timed_out = |_| {
            self.discard_idle();
            self.no_answer(&"timed out")
        };
        let limit = Duration::from_millis(timeout_ms);
        let (connection, response) = timeout(limit, self.send(call)).await.map_err(timed_out)??;
        let status = response.status().as_u16();
        let body = timeout(MAX_BODY_TIME, self.read_body(response.into_body()));
        let body = body.await.map_err(timed_out)??;
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
        Ok((status, body))
    }

    /// Closes the idle connections. They may have fallen silent together with one that is in
    /// use, and nothing shows it until a call on them has timed out.
    pub fn discard_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    async fn send(
        &self,
        call: &Call,
    ) -> Result<(CallConnection, Response<MeteredBody>), CallError> {
        let mut connection = self.connection().await?;
        let request = call
            .to_request(self.address, |body| Full::new(Bytes::from(body)))
            .map_err(|_| CallError::Unwritable)?;
        let response = connection.0.send(request).await;
        let response = response.map_err(|error| self.no_answer(&error))?;
        Ok((connection, response))
    }

    async fn read_body(&self, body: MeteredBody) -> Result<Bytes, CallError> {
        let mut body = Limited::new(body, self.max_response_bytes);
        let mut bytes = BytesMut::new();
        loop {
            let frame = timeout(BODY_IDLE_TIMEOUT, body.frame()).await;
            let frame = frame.map_err(|_| self.no_answer(&"its body came to a halt"))?;
            let Some(frame) = frame else {
                return Ok(bytes.freeze());
            };
            let frame = frame.map_err(|error| self.no_answer(&error))?;
            if let Ok(data) = frame.into_data() {
                bytes.extend_from_slice(&data);
            }
        }
    }

    async fn connection(&self) -> Result<CallConnection, CallError> {
        loop {
            let idle = self.idle.borrow_mut().pop();
            match idle {
                Some(connection) if connection.0.is_ready() => return Ok(connection),
                Some(_) => {}
                None => return self.connect().await,
            }
        }
    }

    async fn connect(&self) -> Result<CallConnection, CallError> {
        let limit = Duration::from_millis(self.connect_timeout_ms);
        let stream = timeout(limit, TcpStream::connect(self.address)).await;
        let stream = stream
            .unwrap_or_else(|_| Err(io::Error::from(io::ErrorKind::TimedOut)))
            .map_err(|error| self.not_connected(&error))?;
        stream
            .set_nodelay(true)
            .map_err(|error| self.not_connected(&error))?;
        let connection = handshake(stream, &Arc::default()).await;
        let connection = connection.map_err(|error| self.not_connected(&error))?;
        Ok(CallConnection(connection))
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
