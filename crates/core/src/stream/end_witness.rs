/// What a call to an engine showed of its process, after the connection of an answer had
/// ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndFinding {
    /// The process that wrote the answer is alive, so it has ended the answer itself.
    SameProcess,
    /// Another process answered, or the engine is known to have started again.
    OtherProcess,
    /// Nothing listens at the engine's address.
    Refused,
    /// Nothing answered in time.
    NoAnswer,
}

impl EndFinding {
    /// Returns the finding of a report of an engine with the start `reported_born_ms`, where
    /// the one with the start `born_ms` wrote the answer. Other engines reject the call, so
    /// that without a start in the report or the entry (`born_ms` 0) the engine counts as the
    /// same: to start again takes longer than the call may take.
    pub fn of_report(born_ms: u64, reported_born_ms: Option<u64>) -> EndFinding {
        match reported_born_ms {
            Some(reported_ms) if born_ms > 0 && reported_ms != born_ms => EndFinding::OtherProcess,
            _ => EndFinding::SameProcess,
        }
    }

    /// Returns why the answer counts as broken off, or `None` if it is complete.
    pub fn break_reason(self) -> Option<&'static str> {
        match self {
            EndFinding::SameProcess => None,
            EndFinding::OtherProcess => Some("ended_replaced"),
            EndFinding::Refused => Some("ended_refused"),
            EndFinding::NoAnswer => Some("ended_unconfirmed"),
        }
    }

    /// Returns the finding as it is written to logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            EndFinding::SameProcess => "same_process",
            EndFinding::OtherProcess => "other_process",
            EndFinding::Refused => "refused",
            EndFinding::NoAnswer => "no_answer",
        }
    }
}

/// A call that found out about an engine's process, shared by all answers of the engine that
/// ended at the same time.
///
/// Times are places in the order in which this instance saw ends and began calls; two of
/// them are never the same, as milliseconds can be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndWitness {
    /// When the call began.
    pub began: u64,
    /// When it was over.
    pub over: u64,
    /// What it showed.
    pub finding: EndFinding,
}

impl EndWitness {
    /// Returns what the call shows of an answer that ended at `ended`, or `None` if it shows
    /// nothing. A process that was alive may have crashed since and so ended later answers; one
    /// that was gone hasn't ended any that it wrote before.
    pub fn finding_for(&self, ended: u64) -> Option<EndFinding> {
        let is_alive = self.finding == EndFinding::SameProcess;
        let since = if is_alive { self.began } else { self.over };
        (ended < since).then_some(self.finding)
    }
}

/// Bounds on the search for a witness of an answer's end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndWitnessSettings {
    /// Time within which the engine has to answer. Engines answer such calls at once or,
    /// in case of trouble, seconds later; the caller waits for the end of its answer.
    pub max_wait_ms: u64,
    /// Pause before the next call to an engine that resets connections, as it does when it
    /// has too many.
    pub retry_ms: u64,
}

impl Default for EndWitnessSettings {
    fn default() -> EndWitnessSettings {
        EndWitnessSettings {
            max_wait_ms: 700,
            retry_ms: 50,
        }
    }
}
