use {
    crate::edge::ServiceReply,
    serde::{Deserialize, Serialize},
};

/// Maximum length of an answer that is stored in a claim, in bytes. The platform
/// stores values of up to a megabyte, and bytes that are not UTF-8 text grow
/// fourfold as JSON numbers.
pub const MAX_STORED_REPLY_BYTES: usize = 200 << 10;

/// Answer of a service, as stored in a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredReply {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// Body of the answer.
    pub body: ReplyBody,
}

/// Body of an answer, stored without loss.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplyBody {
    /// Valid UTF-8.
    Text(String),
    /// Any other bytes.
    Bytes(Vec<u8>),
}

impl StoredReply {
    /// Returns the answer in its stored form; `None` if it is too long.
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

    /// Returns the answer as the service sent it.
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
