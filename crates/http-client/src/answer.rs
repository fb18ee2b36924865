use {super::AnswerBody, http::HeaderMap, mangowalk_core::edge::SendError};

/// Answer to a call, whose body has not been read yet.
pub struct HttpAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body, which is read from the connection.
    pub body: AnswerBody,
}

impl HttpAnswer {
    /// Returns the value of a header; `None` if it is missing or no text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Reads the whole answer. Returns its status and body.
    ///
    /// # Errors
    ///
    /// Fails like [`AnswerBody::read_whole`].
    pub fn read_whole(self, max_bytes: usize) -> Result<(u16, Vec<u8>), SendError> {
        let body = self.body.read_whole(max_bytes)?;
        Ok((self.status, body))
    }
}
