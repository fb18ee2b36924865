use derive_more::Display;

/// What is known of a request that was not answered in full.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Outcome {
    /// No upstream received it, or the upstream stated that nothing ran.
    #[display("not_run")]
    NotRun,
    /// It was sent, and what became of it is not known.
    #[display("unknown")]
    Unknown,
    /// It ran.
    #[display("ran")]
    Ran,
}
