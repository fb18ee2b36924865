use {
    super::HeadFault,
    derive_more::{Display, Error},
};

/// Why a request on an open connection got no answer that can be relied on.
#[derive(Debug, Display, Error)]
pub enum AnswerError {
    /// The connection was closed before a byte of the request was sent.
    #[display("{_0}")]
    NotSent(hyper::Error),
    /// The connection ended before the head of the answer, or the head can't be parsed.
    #[display("{_0}")]
    Lost(hyper::Error),
    /// The head is invalid.
    #[display("the head of the answer is invalid: {_0}")]
    InvalidHead(HeadFault),
}

impl AnswerError {
    /// Returns whether an answer came that can't be read.
    pub fn is_unreadable(&self) -> bool {
        match self {
            AnswerError::NotSent(_) => false,
            AnswerError::Lost(error) => error.is_parse(),
            AnswerError::InvalidHead(_) => true,
        }
    }
}
