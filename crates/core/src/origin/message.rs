use {
    super::{EngineBuild, ServiceBuilds, StreamKey, StreamOrigin},
    serde::{Deserialize, Serialize},
};

/// Content of a datagram between instances about where streams began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginMessage {
    /// A stream has begun, or goes on, at engines of a build.
    Began {
        /// The stream.
        key: StreamKey,
        /// The build.
        build: EngineBuild,
    },
    /// Asks where a stream began.
    Question(OriginQuestion),
    /// Answers a question.
    Answer(OriginAnswer),
    /// Asks which builds a service has had.
    ReadingQuestion(ReadingQuestion),
    /// Answers it.
    ReadingAnswer(ReadingAnswer),
}

/// Asks where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginQuestion {
    /// Number by which the answer is told from others.
    pub number: u64,
    /// The stream; `None` if its caller doesn't name it.
    pub key: Option<StreamKey>,
    /// Service that may have begun it.
    pub service: String,
}

/// Asks which builds a service has had, by a reading of the store that begins after the
/// question has arrived.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadingQuestion {
    /// Number by which the answer is told from others.
    pub number: u64,
    /// The service.
    pub service: String,
}

/// The builds of a service by a reading of the store that began after the question.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadingAnswer {
    /// Number of the question.
    pub number: u64,
    /// Builds that are kept in the store.
    pub service_builds: ServiceBuilds,
}

/// What an instance knows of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginAnswer {
    /// Number of the question.
    pub number: u64,
    /// Where the stream began, if there is a record.
    pub origin: Option<StreamOrigin>,
    /// Builds of the service since the stream can have begun.
    pub service_builds: ServiceBuilds,
    /// Whether the instance reads current state from the store. Only instances of an earlier
    /// version go by it.
    pub reads_current: bool,
}

impl OriginMessage {
    /// Encodes the message for a datagram.
    ///
    /// # Errors
    ///
    /// Fails if a value can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_allocvec(self)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no message that this build knows.
    pub fn decode(bytes: &[u8]) -> Result<OriginMessage, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
