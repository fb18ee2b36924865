/// What a request takes of an engine's memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoomNeed {
    /// Tokens of the prompt and the longest possible answer, in whole blocks. What the engine
    /// has cached doesn't count: it yields to requests.
    pub memory_tokens: u64,
    /// Whether the request resumes a stream that a caller is reading.
    pub is_resumed: bool,
}
