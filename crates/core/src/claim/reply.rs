use {
    crate::edge::ServiceReply,
    serde::{Deserialize, Serialize},
};

/// Longest answer that is kept in a claim. The platform holds values up to a
/// megabyte, and bytes that are no text grow fourfold as JSON numbers.
pub const MAX_STORED_REPLY_BYTES: usize = 200 << 10;

/// A service's answer as a claim keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredReply {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// Body.
    pub body: ReplyBody,
}

/// A body that keeps each of its bytes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplyBody {
    /// Text.
    Text(String),
    /// Anything else.
    Bytes(Vec<u8>),
}

impl StoredReply {
    /// Returns an answer as it is kept; none if it is too long.
    pub fn from_reply(reply: &ServiceReply) -> Option<StoredReply> {
        if reply.body.len() > MAX_STORED_REPLY_BYTES {
            return None;
        }
        let body = match std::str::from_utf8(&reply.body) {
            Ok(text) => ReplyBody::Text(text.to_owned()),
            Err(_) => ReplyBody::Bytes(reply.body.clone()),
        };
        Some(StoredReply {
            status: reply.status,
            content_type: reply.content_type.clone(),
            body,
        })
    }

    /// Returns the answer as it came.
    pub fn into_reply(self) -> ServiceReply {
        ServiceReply {
            status: self.status,
            content_type: self.content_type,
            body: match self.body {
                ReplyBody::Text(text) => text.into_bytes(),
                ReplyBody::Bytes(bytes) => bytes,
            },
        }
    }
}
