use derive_more::Display;

/// What is known of a request that was not answered completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Outcome {
    /// No upstream received it, or the upstream stated that nothing ran.
    #[display("not_run")]
    NotRun,
    /// It was sent, and it is unknown whether it ran.
    #[display("unknown")]
    Unknown,
    /// It ran.
    #[display("ran")]
    Ran,
}
