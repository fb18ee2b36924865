use {
    super::{ConnectionPool, PooledConnection, connect},
    crate::{clock::now_ms, instance::GatewaySettings},
    bytes::Bytes,
    derive_more::{Display, Error},
    http::{Request, response},
    http_body_util::Full,
    hyper::body::Incoming,
    mangowalk_core::pool::EngineEntry,
    mangowalk_platform::{AnswerHead, BodyFraming},
    std::rc::Rc,
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
    /// The connection ended after the request was sent, so it may have run.
    #[display("The request was sent and its connection ended: {reason}")]
    Lost {
        /// Error of the connection.
        reason: String,
    },
}

/// An engine's answer whose body has not been read yet.
pub struct Answer {
    /// Decoded fields of the response head.
    pub head: AnswerHead,
    /// Status and headers as received.
    pub parts: response::Parts,
    /// Body of the response, as a stream.
    pub body: Incoming,
    /// The connection, to be returned to the pool once the body is read in full.
    pub connection: PooledConnection,
}

/// Sends a request to an engine, on a pooled connection or a new one, and waits for
/// the head of the answer.
///
/// `build_request` is called again if a pooled connection turns out to be closed
/// before a byte was sent.
///
/// # Errors
///
/// Fails if no connection can be opened or the connection ends before the head
/// arrives. The error says whether the request may have run.
pub async fn send(
    pool: &Rc<ConnectionPool>,
    engine: &EngineEntry,
    settings: &GatewaySettings,
    build_request: impl Fn() -> Request<Full<Bytes>>,
) -> Result<Answer, SendError> {
    loop {
        let (connection, is_new) = match pool.take(engine, now_ms()) {
            Some(pooled) => (pooled, false),
            None => {
                let connected = connect(engine.address, settings).await;
                let (sender, task) = connected.map_err(|error| SendError::NotSent {
                    reason: error.to_string(),
                })?;
                (pool.wrap(engine, sender, task), true)
            }
        };
        match send_on(connection, build_request()).await {
            // The pooled connection was already closed; the next one may be open.
            Err(SendError::NotSent { .. }) if !is_new => {}
            result => return result,
        }
    }
}

async fn send_on(
    mut connection: PooledConnection,
    request: Request<Full<Bytes>>,
) -> Result<Answer, SendError> {
    let Some(sender) = connection.sender() else {
        return Err(SendError::NotSent {
            reason: "the connection is in use".to_owned(),
        });
    };
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            let reason = error.error().to_string();
            return Err(match error.take_message() {
                Some(_) => SendError::NotSent { reason },
                None => SendError::Lost { reason },
            });
        }
    };
    let (parts, body) = response.into_parts();
    let head = AnswerHead::decode(parts.status, &parts.headers);
    connection.set_keep_alive_s(head.keep_alive_s);
    if head.closes_connection || head.framing == BodyFraming::Connection {
        connection.set_closing();
    }
    Ok(Answer {
        head,
        parts,
        body,
        connection,
    })
}
