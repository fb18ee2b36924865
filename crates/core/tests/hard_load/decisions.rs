/// Which decisions instances take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Decisions {
    /// A request is sent or refused by the predicted wait alone.
    Before,
    /// Engines' backlog of long prompts is bounded, and what no engine takes is refused.
    Bounded,
    /// The same, and what no engine takes waits in the instance.
    Waiting,
}
