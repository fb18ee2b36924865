use {
    super::{AnswerError, ConnectionPool, PooledConnection, connect_to_engine, connect_to_peer},
    crate::{
        bounded::MeteredBody,
        clock::{now_ms, wall_ms},
        instance::Instance,
    },
    bytes::Bytes,
    derive_more::{Display, Error},
    http::{Request, response},
    http_body::Body,
    http_body_util::Full,
    mangowalk_core::{
        engine_notice::SendBarrier,
        pool::{EngineEntry, Incarnation},
    },
    mangowalk_platform::{AnswerHead, BodyFraming},
    std::{net::SocketAddr, rc::Rc},
};

/// Why a request got no answer from an engine.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum SendError {
    /// No byte of the request was sent, so it has not run.
    #[display("The request was not sent: {reason}")]
    NotSent {
        /// Error of the connection.
        reason: String,
    },
    /// The connection ended after the request was sent, or the head of the answer is
    /// invalid, so it may have run.
    #[display("The request was sent and its connection ended: {reason}")]
    Lost {
        /// Error of the connection or of the head.
        reason: String,
    },
    /// The engine accepts no connections and has sent nothing. It may have run the request.
    #[display("The request was sent and the engine is silent.")]
    Silent,
    /// No byte of the request was sent, as the engine wants none.
    #[display("The request was not sent: {_0}")]
    #[error(ignore)]
    Barred(#[error(not(source))] SendBarrier),
}

impl SendError {
    fn of_answer(error: AnswerError) -> SendError {
        let reason = error.to_string();
        match error {
            AnswerError::NotSent(_) => SendError::NotSent { reason },
            AnswerError::Lost(_) | AnswerError::InvalidHead(_) => SendError::Lost { reason },
        }
    }
}

/// An engine's answer whose body has not been read yet.
pub struct Answer {
    /// Decoded fields of the response head.
    pub head: AnswerHead,
    /// Whether only the end of the connection tells the end of the body.
    pub ends_with_connection: bool,
    /// Status and headers as received.
    pub parts: response::Parts,
    /// Body of the response, as a stream.
    pub body: MeteredBody,
    /// The connection, to be returned to the pool once the body is read in full.
    pub connection: PooledConnection,
}

/// Where a request is sent.
#[derive(Debug, Clone, Copy)]
pub enum Destination<'a> {
    /// An engine.
    Engine {
        /// Entry of the engine in the list.
        entry: &'a EngineEntry,
        /// When the request arrived at this instance.
        request_arrived_ms: u64,
    },
    /// A peer that sends the request to an engine.
    Peer {
        /// Name and start of the peer.
        incarnation: &'a Incarnation,
        /// Address at which it takes requests of its peers.
        address: SocketAddr,
    },
}

impl Destination<'_> {
    fn incarnation(&self) -> &Incarnation {
        match self {
            Destination::Engine { entry, .. } => &entry.incarnation,
            Destination::Peer { incarnation, .. } => incarnation,
        }
    }

    /// Returns an error if the engine wants no such request now. It may have said so since it
    /// was chosen, to another request.
    fn check_barrier(&self, instance: &Instance, now_ms: u64) -> Result<(), SendError> {
        let Destination::Engine {
            entry,
            request_arrived_ms,
        } = self
        else {
            return Ok(());
        };
        let barrier = instance.send_barrier(&entry.incarnation, *request_arrived_ms, now_ms);
        barrier.map_or(Ok(()), |barrier| Err(SendError::Barred(barrier)))
    }
}

/// Sends a request to an engine or a peer, on a pooled connection or a new one, and
/// waits for the head of the answer.
///
/// `build_request` is called again if a pooled connection turns out to be closed
/// before a byte was sent. What an engine says of itself in its answer is recorded.
///
/// # Errors
///
/// Fails if the engine wants no request now, no connection can be opened, the
/// connection ends before the head arrives or the head is invalid. The error says whether the
/// request may have run.
pub async fn send(
    instance: &Instance,
    pool: &Rc<ConnectionPool>,
    destination: Destination<'_>,
    build_request: impl Fn() -> Request<Full<Bytes>>,
) -> Result<Answer, SendError> {
    let answer = send_once(instance, pool, destination, build_request).await?;
    if let Destination::Engine { entry, .. } = destination {
        instance.record_notices(entry, answer.parts.status, &answer.head, now_ms());
        instance.record_pace(entry, &answer.head, now_ms());
    }
    Ok(answer)
}

async fn send_once(
    instance: &Instance,
    pool: &Rc<ConnectionPool>,
    destination: Destination<'_>,
    build_request: impl Fn() -> Request<Full<Bytes>>,
) -> Result<Answer, SendError> {
    let incarnation = destination.incarnation();
    while let Some(pooled) = pool.take(incarnation, now_ms()) {
        if let Err(barred) = destination.check_barrier(instance, now_ms()) {
            pooled.return_to_pool(now_ms());
            return Err(barred);
        }
        match send_on(pooled, build_request()).await {
            // The pooled connection was already closed; the next one may be open.
            Err(SendError::NotSent { .. }) => {}
            result => return result,
        }
    }
    destination.check_barrier(instance, now_ms())?;
    let connected = match destination {
        Destination::Engine { entry, .. } => connect_to_engine(instance, entry).await,
        Destination::Peer { address, .. } => connect_to_peer(instance, address).await,
    };
    let connected = connected.map_err(|error| SendError::NotSent {
        reason: error.to_string(),
    })?;
    let connection = pool.wrap(incarnation, connected);
    // The engine may have said so while the connection was opened.
    if let Err(barred) = destination.check_barrier(instance, now_ms()) {
        connection.return_to_pool(now_ms());
        return Err(barred);
    }
    send_on(connection, build_request()).await
}

/// Sends a request on a connection and waits for the head of the answer.
///
/// # Errors
///
/// Fails if the connection ends before the head arrives, or the head is invalid.
pub(super) async fn send_on(
    mut connection: PooledConnection,
    request: Request<Full<Bytes>>,
) -> Result<Answer, SendError> {
    let Some(open) = connection.connection() else {
        return Err(SendError::NotSent {
            reason: "the connection is in use".to_owned(),
        });
    };
    let response = open.send(request).await.map_err(SendError::of_answer)?;
    let (parts, body) = response.into_parts();
    let head = AnswerHead::decode(parts.status, &parts.headers, wall_ms());
    connection.set_keep_alive_s(head.keep_alive_s);
    if head.closes_connection || head.framing == BodyFraming::Connection {
        connection.set_closing();
    }
    // Answers that can't have a body end with their head, whatever it says.
    let ends_with_connection = head.framing == BodyFraming::Connection && !body.is_end_stream();
    Ok(Answer {
        head,
        ends_with_connection,
        parts,
        body,
        connection,
    })
}
